/*
 * Reaching the control leader on behalf of an operator. The client tries every control address, follows the leader's
 * address in refusals, and resends until a deadline. Only calls that are safe to repeat are resent after a lost answer.
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

/** Carries a call to the control leader; a text says why there is no answer, and whether the call may have run. */
public typealias OperatorTransport = suspend (OperatorCall) -> Either<String, OperatorReply>

/** The limits within which the client looks for an answer. */
public data class OperatorClientLimits(
    /** The time after which no further attempt is made. */
    public val deadlineMs: Long = 15_000,
    /** The time that one attempt may take, beyond the time that the call itself asks the leader to wait. */
    public val attemptMs: Long = 2_000,
    /** The pause after every address has been tried; an election takes about a second. */
    public val pauseMs: Long = 200,
)

/** Returns a port that calls the control VMs at [addresses] over [links]. */
public fun operatorClient(
    links: Links,
    addresses: List<Address>,
    clock: Clock,
    limits: OperatorClientLimits = OperatorClientLimits(),
): OperatorTransport = { call ->
    val search = LeaderSearch(addresses)
    val endMs = clock.nowMs() + limits.deadlineMs + waitMs(call)
    var answer: Either<String, OperatorReply>? = null
    while (answer == null) {
        val remainingMs = endMs - clock.nowMs()
        if (remainingMs <= 0) {
            answer = search.describeFailure().left()
        } else if (search.isRoundOver) {
            search.startRound()
            delay(limits.pauseMs.coerceAtMost(remainingMs))
        } else {
            val address = search.next()
            val timeoutMs = (limits.attemptMs + waitMs(call)).coerceAtMost(remainingMs)
            val result = links.call(address, operatorChannel, call, timeoutMs)
            answer = search.record(address, result, call)
        }
    }
    answer
}

/** The addresses still to be tried, and what is known from the attempts so far. */
private class LeaderSearch(private val addresses: List<Address>) {
    private val waiting = ArrayDeque(addresses)
    private val hinted = mutableSetOf<Address>()
    private var lastProblem = "no control address answered"
    private var mayHaveRun = false

    val isRoundOver: Boolean get() = waiting.isEmpty()

    fun startRound() {
        hinted.clear()
        waiting.addAll(addresses)
    }

    fun next(): Address = waiting.removeFirst()

    /** Returns the answer, or null when another attempt is to be made. */
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
                    lastProblem = "$address does not lead"
                    follow(reply.leader)
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

    fun describeFailure(): String {
        val outcome = if (mayHaveRun) "the outcome is unknown" else "control is unreachable and nothing was done"
        return "$outcome: $lastProblem"
    }

    /** Tries [leader] next, once a round, so that two processes that name each other do not keep the client busy. */
    private fun follow(leader: Address?) {
        if (leader == null || !hinted.add(leader)) return
        waiting.remove(leader)
        waiting.addFirst(leader)
    }
}

/** A submitted command carries an id by which the leader recognises it; a voter change does not. */
private fun isRepeatable(call: OperatorCall): Boolean = call !is ChangeVoters

/** The leader lets a joining voter catch up for up to 30 s and takes as long again for the leaving one. */
private const val VOTER_CHANGE_MS = 60_000L

private fun waitMs(call: OperatorCall): Long = when (call) {
    is SubmitCommand -> call.waitInEffectMs
    is ChangeVoters -> VOTER_CHANGE_MS
    else -> 0
}
