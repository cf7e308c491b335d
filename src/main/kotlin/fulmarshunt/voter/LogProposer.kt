/*
 * Proposing commands to the replicated log. Commands that may share a log entry are collected while the previous entry
 * is being committed, so that the number of disk syncs does not grow with the number of concurrent calls.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/** The maximum number of commands in a log entry; a command with a recorded response takes up to 9 KiB. */
private const val MAX_COMMANDS_PER_ENTRY = 64

/** The maximum size of an encoded entry, below the limit of the replicated log. */
private const val MAX_ENTRY_BYTES = 1_000 * 1_024

/** The maximum number of commands that wait for the next entry. */
private const val MAX_WAITING_COMMANDS = 4_096

/** How long a proposal may take; an election takes about a second. */
internal const val PROPOSE_TIMEOUT_MS: Long = 2_000

/** Proposes commands, in entries of their own or grouped. */
public class LogProposer internal constructor(private val log: LogAccess, private val scope: CoroutineScope) {
    private class PendingCommand(val command: LogCommand) {
        val result = CompletableDeferred<Either<ProposeFailure, LogReply>>()
    }

    private val queue = Channel<PendingCommand>(MAX_WAITING_COMMANDS)

    /** Starts committing grouped commands until the scope ends. */
    internal fun start() {
        scope.launch {
            for (first in queue) {
                val group = mutableListOf(first)
                while (group.size < MAX_COMMANDS_PER_ENTRY) group += queue.tryReceive().getOrNull() ?: break
                commit(group)
            }
        }
    }

    /** Proposes [command] as an entry of its own. */
    public suspend fun propose(command: LogCommand): Either<ProposeFailure, LogReply> =
        proposeTogether(listOf(command)).map { it.single() }

    /** Proposes [command] in an entry that it may share with other grouped commands. */
    public suspend fun proposeGrouped(command: LogCommand): Either<ProposeFailure, LogReply> {
        val pending = PendingCommand(command)
        if (queue.trySend(pending).isFailure) {
            // Nothing was added to the log, as when this voter does not lead, so that a retry may succeed.
            return ProposeFailure.NotLeader(null).left()
        }
        return pending.result.await()
    }

    private suspend fun commit(group: List<PendingCommand>) {
        val replies = proposeTogether(group.map { it.command })
        group.forEachIndexed { position, pending -> pending.result.complete(replies.map { it[position] }) }
    }

    /** Proposes [commands] as one entry and returns their replies in order. */
    public suspend fun proposeTogether(commands: List<LogCommand>): Either<ProposeFailure, List<LogReply>> {
        val entry = encodeCommands(commands)
        if (entry.size > MAX_ENTRY_BYTES) {
            return ProposeFailure.Undecided("${commands.size} commands take ${entry.size} bytes").left()
        }
        return log.propose(entry, PROPOSE_TIMEOUT_MS).flatMap { bytes ->
            val replies = decodeReplies(bytes)
            check(replies.size == commands.size) { "${commands.size} commands have ${replies.size} replies" }
            replies.right()
        }
    }
}
