/*
 * The control state on one voter: decodes log entries, applies them, and keeps the recent changes for entry VMs. It is
 * confined to the control thread.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.caller.ClaimLimits
import fulmarshunt.entry.IndexedChanges
import fulmarshunt.link.linkCbor
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.builtins.ListSerializer

private val commandsSerializer = ListSerializer(LogCommand.serializer())
private val repliesSerializer = ListSerializer(LogReply.serializer())

/** Holds the control state and feeds it with log entries. */
public class ControlStateMachine internal constructor(private val limits: ClaimLimits) {
    private val current = MutableStateFlow(ControlState())

    /** The state, an immutable value that other threads may read. */
    public val state: StateFlow<ControlState> = current.asStateFlow()

    private val recent = RecentChanges()

    /** The operations that the replicated log calls. */
    public val asReplicated: ReplicatedStateMachine =
        ReplicatedStateMachine(::apply, ::snapshot) { index, bytes -> restore(index, bytes) }

    /** Returns the changes after [index], or null when a VM needs the whole state. */
    internal fun changesAfterOrNull(index: LogIndex): List<IndexedChanges>? = recent.afterOrNull(index)

    private fun apply(index: LogIndex, entry: ByteArray): ByteArray {
        val commands = linkCbor.decodeFromByteArray(commandsSerializer, entry)
        val applied = current.value.apply(index, commands, limits)
        if (applied.changes.isNotEmpty()) recent.add(IndexedChanges(index, applied.changes))
        current.value = applied.state
        return linkCbor.encodeToByteArray(repliesSerializer, applied.replies)
    }

    private fun snapshot(): () -> ByteArray {
        val captured = current.value
        return { linkCbor.encodeToByteArray(ControlState.serializer(), captured) }
    }

    private fun restore(index: LogIndex, bytes: ByteArray) {
        val restored = linkCbor.decodeFromByteArray(ControlState.serializer(), bytes)
        check(restored.shared.index <= index) { "the snapshot at $index holds state of ${restored.shared.index}" }
        recent.restart(restored.shared.index)
        current.value = restored
    }
}

/** Returns an empty control state with [limits] on claims; all voters must use the same ones. */
public fun controlStateMachineOf(limits: ClaimLimits = ClaimLimits()): ControlStateMachine = ControlStateMachine(limits)

internal fun encodeCommands(commands: List<LogCommand>): ByteArray =
    linkCbor.encodeToByteArray(commandsSerializer, commands)

internal fun decodeReplies(bytes: ByteArray): List<LogReply> = linkCbor.decodeFromByteArray(repliesSerializer, bytes)
