/*
 * Access to the durable state from any control VM. The leader executes changes and reads; other VMs forward them to the
 * leader. A change is acknowledged once a majority has written it to disk. A read returns once a majority has confirmed
 * the leader, so that no newer state exists.
 */
package fulmarshunt.operator.serving

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.ContentDigest
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.link.Channel
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linkCbor
import fulmarshunt.operator.rollout.RolloutOrder
import fulmarshunt.operator.rollout.StartDecision
import fulmarshunt.operator.rollout.decisionOn
import fulmarshunt.voter.LogAccess
import fulmarshunt.voter.ProposeFailure
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager

/** The time limit for a command. Operators try another VM after a second without a response. */
private const val COMMAND_TIMEOUT_MS = 950L
private const val RETRY_DELAY_MS = 60L
private const val READ_CONFIRMATION_TIMEOUT_MS = 700L

@Serializable
internal sealed interface LeaderCall {
    @Serializable
    @SerialName("p")
    class Propose(val command: ServingCommand) : LeaderCall

    /** Reads the state; leaders of older versions ignore the fields and reply with the document. */
    @Serializable
    @SerialName("r")
    data class Read(
        /** Whether the reply is to have the document, unless it is the [known] one. */
        val isDocumentNeeded: Boolean = true,
        val known: ContentDigest? = null,
    ) : LeaderCall
}

@Serializable
internal sealed interface LeaderReply {
    @Serializable
    @SerialName("d")
    data object Done : LeaderReply

    @Serializable
    @SerialName("s")
    data class State(
        val snapshot: ServingSnapshot,
        /** Whether the document of [snapshot] is left out because it is [LeaderCall.Read.known]. */
        val isDocumentKnown: Boolean = false,
    ) : LeaderReply

    @Serializable
    @SerialName("n")
    data class NotLeader(val leader: Address?) : LeaderReply

    /** The order has no effect: a later one for the same domain was committed before it. */
    @Serializable
    @SerialName("o")
    data object Superseded : LeaderReply

    /** The order is refused while another roll-out of its service runs. */
    @Serializable
    @SerialName("p")
    data object InProgress : LeaderReply

    /** The leader has not executed the call; a leader that is elected meanwhile may be able to. */
    @Serializable
    @SerialName("x")
    data class Refused(val reason: String) : LeaderReply

    @Serializable
    @SerialName("u")
    data class Undecided(val reason: String) : LeaderReply
}

private val leaderChannel: Channel<LeaderCall, LeaderReply> =
    Channel("serving", LeaderCall.serializer(), LeaderReply.serializer())

/** The caller of an order to drain or restore a domain. */
public class OrderCaller(
    /** The earliest time at which it can have sent the order; it gives the order up after a second. */
    public val sentNotBeforeMs: Long,
    /** Polls the connection; returns false if the caller has closed it. */
    public val isConnected: suspend () -> Boolean,
)

/** The end of an order to drain or restore a domain. */
public class DrainOutcome(
    /** The last order for the domain that a leader confirmed, or null if none did. */
    public val basedOn: LogIndex?,
    public val isCallerConnected: Boolean,
    /** On the left is why the order is not acknowledged; it may still take effect unless a later one precedes it. */
    public val result: Either<String, Unit>,
)

/** The end of an order to start a roll-out. */
public sealed interface StartResult {
    /** It is committed, now or earlier. */
    public data object Done : StartResult

    /** Another roll-out of the service runs, so that the order has and will have no effect. */
    public data object InProgress : StartResult

    /** Whether it takes effect is unknown; [reason] says why. */
    public data class Unclear(public val reason: String) : StartResult
}

/** Submits commands that change the durable state, and reads it. */
public class ServingStateAccess internal constructor(
    private val access: LogAccess,
    private val machine: ServingStateMachine,
    private val clock: Clock,
    private val ownAddress: Address,
) {
    private val log = LogManager.getLogger(ServingStateAccess::class.java)

    /** Returns [base] with the handler for calls of other control VMs added. */
    internal fun handlers(base: LinkHandlers): LinkHandlers = base.with(leaderChannel) { _, call -> handle(call) }

    /** The index of the last change that this VM has applied; the leader may have applied later ones. */
    public val appliedRevision: LogIndex get() = machine.snapshots.value.revision

    /** Commits [command]; on the left is why its outcome is unknown: it may still take effect. */
    public suspend fun submit(command: ServingCommand, links: Links): Either<String, Unit> =
        callLeader(LeaderCall.Propose(command), links, clock.nowMs() + COMMAND_TIMEOUT_MS).map { }

    /** Whether the caller of a call that it can have sent at [sentNotBeforeMs] can have given it up. */
    public fun isExpired(sentNotBeforeMs: Long): Boolean = clock.nowMs() >= sentNotBeforeMs + COMMAND_TIMEOUT_MS

    /**
     * Drains or restores [domain], unless [caller] can have given the order up before the state that it is based on was
     * read. An order for the domain that is committed after that read supersedes this one.
     */
    public suspend fun setDrained(
        domain: FailureDomainId,
        isDrained: Boolean,
        caller: OrderCaller,
        links: Links,
    ): DrainOutcome {
        val deadlineAtMs = caller.sentNotBeforeMs + COMMAND_TIMEOUT_MS
        val state = readSummary(links, deadlineAtMs)
        val isConnected = caller.isConnected()
        val result = state.flatMap {
            when {
                !isConnected -> "the caller has left".left()
                isExpired(caller.sentNotBeforeMs) -> "the caller may have timed out".left()
                else -> {
                    val command = ServingCommand.SetDrained(domain, isDrained, it.lastOrderFor(domain))
                    callLeader(LeaderCall.Propose(command), links, deadlineAtMs).map { }
                }
            }
        }
        return DrainOutcome(state.getOrNull()?.lastOrderFor(domain), isConnected, result)
    }

    /**
     * Starts a roll-out by [order], unless [caller] can have given it up. An order that was committed before is
     * acknowledged again, whatever has become of its roll-out.
     */
    public suspend fun startRollout(
        order: RolloutOrder,
        startedAtEpochMs: Long,
        caller: OrderCaller,
        links: Links,
    ): StartResult {
        val deadlineAtMs = caller.sentNotBeforeMs + COMMAND_TIMEOUT_MS
        val state = readSummary(links, deadlineAtMs).getOrElse { return StartResult.Unclear(it) }
        val current = state.rollouts[order.service]
        val basedOn = current?.orderIndex ?: LogIndex(0)
        when (current.decisionOn(order, basedOn)) {
            StartDecision.REPEATED -> return StartResult.Done
            StartDecision.IN_PROGRESS -> return StartResult.InProgress
            else -> Unit
        }
        if (!caller.isConnected()) return StartResult.Unclear("the caller has left")
        if (isExpired(caller.sentNotBeforeMs)) return StartResult.Unclear("the caller may have timed out")
        val command = ServingCommand.StartRollout(order, basedOn, startedAtEpochMs)
        return callLeader(LeaderCall.Propose(command), links, deadlineAtMs).fold(
            { StartResult.Unclear(it) },
            { if (it == LeaderReply.InProgress) StartResult.InProgress else StartResult.Done },
        )
    }

    /** Whether this VM leads the replicated log, as far as it knows. */
    public val isLeader: Boolean get() = access.leadership.value.isLeader

    /** Commits [command] if this VM leads; on the left is why its outcome is unknown. */
    public suspend fun submitAsLeader(command: ServingCommand): Either<String, Unit> =
        when (val reply = propose(command)) {
            LeaderReply.Done -> Unit.right()
            else -> "$reply".left()
        }

    /** Returns the latest state; on the left is why it cannot be confirmed. */
    public suspend fun read(links: Links): Either<String, ServingSnapshot> {
        val known = machine.snapshots.value.document
        val call = LeaderCall.Read(known = known?.digest)
        return callLeader(call, links, clock.nowMs() + COMMAND_TIMEOUT_MS).map {
            val state = it as LeaderReply.State
            if (state.isDocumentKnown) state.snapshot.copy(document = known) else state.snapshot
        }
    }

    /** Returns the latest state, possibly without its document. */
    private suspend fun readSummary(links: Links, deadlineAtMs: Long): Either<String, ServingSnapshot> =
        callLeader(LeaderCall.Read(isDocumentNeeded = false), links, deadlineAtMs).map {
            (it as LeaderReply.State).snapshot
        }

    private suspend fun callLeader(call: LeaderCall, links: Links, deadlineAtMs: Long): Either<String, LeaderReply> {
        var reason = "no leader is known, or the time was over"
        while (true) {
            val remainingMs = deadlineAtMs - clock.nowMs()
            if (remainingMs <= 0) break
            val leader = access.leadership.value.leader
            val reply = when {
                access.leadership.value.isLeader || leader == ownAddress -> handle(call)
                leader == null -> LeaderReply.NotLeader(null)
                else -> links.call(leader, leaderChannel, call, remainingMs).fold({
                    LeaderReply.Undecided(it.reason)
                }, { it })
            }
            when (reply) {
                LeaderReply.Done, LeaderReply.InProgress, is LeaderReply.State -> return reply.right()
                LeaderReply.Superseded -> return "superseded by a later order".left()
                is LeaderReply.NotLeader -> reason = "no leader replies, last known leader ${reply.leader ?: leader}"
                is LeaderReply.Refused -> reason = reply.reason
                is LeaderReply.Undecided -> reason = reply.reason
            }
            delay(RETRY_DELAY_MS)
        }
        log.warn("order unclear call={} reason={}", call::class.simpleName, reason)
        return reason.left()
    }

    private suspend fun handle(call: LeaderCall): LeaderReply = when (call) {
        is LeaderCall.Propose -> propose(call.command)
        is LeaderCall.Read ->
            if (access.confirmLeadership(READ_CONFIRMATION_TIMEOUT_MS)) {
                stateFor(call, machine.snapshots.value)
            } else {
                LeaderReply.NotLeader(access.leadership.value.leader)
            }
    }

    private fun stateFor(call: LeaderCall.Read, snapshot: ServingSnapshot): LeaderReply.State {
        val isKnown = call.known != null && call.known == snapshot.document?.digest
        val isSent = call.isDocumentNeeded && !isKnown
        return LeaderReply.State(if (isSent) snapshot else snapshot.copy(document = null), isDocumentKnown = isKnown)
    }

    private suspend fun propose(command: ServingCommand): LeaderReply {
        val bytes = linkCbor.encodeToByteArray(ServingCommand.serializer(), command)
        return access.propose(bytes, COMMAND_TIMEOUT_MS).fold(
            { failure ->
                when (failure) {
                    is ProposeFailure.NotLeader -> LeaderReply.NotLeader(failure.leader)
                    is ProposeFailure.Refused -> LeaderReply.Refused(failure.reason)
                    is ProposeFailure.Undecided -> LeaderReply.Undecided(failure.reason)
                }
            },
            { result ->
                when (result.firstOrNull()) {
                    null -> LeaderReply.Done
                    CommandResult.IN_PROGRESS -> LeaderReply.InProgress
                    else -> LeaderReply.Superseded
                }
            },
        )
    }
}
