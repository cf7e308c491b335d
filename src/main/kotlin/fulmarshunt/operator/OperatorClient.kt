/*
 * The client of the control leader for operators' programs. It tries every control address, follows the leader address
 * in replies of followers, and retries until a deadline. After a lost reply it resends only calls that are safe to
 * repeat.
 */
package fulmarshunt.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.Links
import kotlinx.coroutines.delay

/** Sends a call to the control leader; on the left is why there is no reply, and whether the call may have run. */
public typealias OperatorTransport = suspend (OperatorCall) -> Either<String, OperatorReply>

/** The time limits of a call to the control leader. */
public data class OperatorClientLimits(
    /** The time after which no attempt is made, beyond the time that the call lets the leader wait. */
    public val deadlineMs: Long = 15_000,
    /** The time that one attempt may take, beyond the time that the call lets the leader wait. */
    public val attemptTimeoutMs: Long = 2_000,
    /** The delay after all addresses have been tried; an election takes about a second. */
    public val retryDelayMs: Long = 200,
)

/** Returns a transport that calls the control VMs at [addresses] over [links]. */
public fun operatorClient(
    links: Links,
    addresses: List<Address>,
    clock: Clock,
    limits: OperatorClientLimits = OperatorClientLimits(),
): OperatorTransport = { call ->
    val search = LeaderSearch(addresses)
    val deadlineAtMs = clock.nowMs() + limits.deadlineMs + leaderWaitMs(call)
    var outcome: Either<String, OperatorReply>? = null
    while (outcome == null) {
        val remainingMs = deadlineAtMs - clock.nowMs()
        if (remainingMs <= 0) {
            outcome = search.describeFailure().left()
        } else if (search.isRoundOver) {
            search.startRound()
            delay(limits.retryDelayMs.coerceAtMost(remainingMs))
        } else {
            val address = search.next()
            val timeoutMs = (limits.attemptTimeoutMs + leaderWaitMs(call)).coerceAtMost(remainingMs)
            val result = links.call(address, operatorChannel, call, timeoutMs)
            outcome = search.record(address, result, call)
        }
    }
    outcome
}

/** The addresses left to try, and the result of the attempts so far. */
private class LeaderSearch(private val addresses: List<Address>) {
    private val untried = ArrayDeque(addresses)
    private val hintedLeaders = mutableSetOf<Address>()
    private var lastProblem = "no control VM replied"
    private var mayHaveRun = false

    val isRoundOver: Boolean get() = untried.isEmpty()

    fun startRound() {
        hintedLeaders.clear()
        untried.addAll(addresses)
    }

    fun next(): Address = untried.removeFirst()

    /** Records the [result] of an attempt; returns the final result, or null if another attempt is needed. */
    fun record(
        address: Address,
        result: Either<LinkFailure, OperatorReply>,
        call: OperatorCall,
    ): Either<String, OperatorReply>? = result.fold(
        { failure ->
            lastProblem = failure.reason
            mayHaveRun = mayHaveRun || failure !is LinkFailure.NotSent
            if (failure !is LinkFailure.NotSent && !isRepeatable(call)) describeFailure().left() else null
        },
        { reply ->
            when (reply) {
                is OperatorNotLeader -> {
                    lastProblem = "$address is not the leader"
                    prioritize(reply.leader)
                    null
                }
                is OutcomeUnknown -> {
                    lastProblem = reply.reason
                    mayHaveRun = true
                    if (isRepeatable(call)) null else describeFailure().left()
                }
                else -> reply.right()
            }
        },
    )

    /** Tells why there is no reply, and whether the call may have run. */
    fun describeFailure(): String {
        val effect = if (mayHaveRun) "the outcome is unknown" else "control is unreachable and nothing was done"
        return "$effect: $lastProblem"
    }

    /** Moves [leader] to the front, at most once a round, because two followers may name each other as the leader. */
    private fun prioritize(leader: Address?) {
        if (leader == null || !hintedLeaders.add(leader)) return
        untried.remove(leader)
        untried.addFirst(leader)
    }
}

/** Returns whether [call] is safe to resend: a command has an id that identifies a resend, a voter change has none. */
private fun isRepeatable(call: OperatorCall): Boolean = call !is ChangeVoters

/** The leader waits up to 30 s for a joining voter to catch up, and up to 30 s for the removal of a leaving one. */
private const val MAX_VOTER_CHANGE_MS = 60_000L

/** Returns how long [call] lets the leader wait before it replies. */
private fun leaderWaitMs(call: OperatorCall): Long = when (call) {
    is SubmitCommand -> call.waitInEffectMs
    is ChangeVoters -> MAX_VOTER_CHANGE_MS
    else -> 0
}
