/*
 * Calls of operators' programs to the control leader. A command whose answer was lost is sent again with the same id,
 * which is safe because the voters recognise it.
 */
package fulmarshunt.operator

import fulmarshunt.voter.LeaderAnswer
import fulmarshunt.voter.LeaderCalls
import fulmarshunt.voter.Redirect

/** How long one try waits besides the time that the call itself asks for. */
private const val TRY_MS = 5_000L

/** Adding a voter includes its catching up. */
private const val VOTER_CHANGE_TRY_MS = 65_000L

/** Calls the control leader on behalf of an operator. */
public class OperatorClient internal constructor(private val leader: LeaderCalls) {
    /**
     * Makes [call] within [timeoutMs].
     *
     * @return the leader's reply; [OperatorNotLeader] if no leader was reached and nothing can have changed;
     *   [OutcomeUnknown] if the call may have been carried out.
     */
    public suspend fun call(call: OperatorCall, timeoutMs: Long): OperatorReply {
        var unclear: OutcomeUnknown? = null
        val tryMs =
            when (call) {
                is SubmitCommand -> TRY_MS + call.waitInEffectMs
                is ChangeVoters -> VOTER_CHANGE_TRY_MS
                else -> TRY_MS
            }
        val answer =
            leader.repeat(operatorChannel, call, timeoutMs, tryMs, repeatsUnclear = call !is ChangeVoters) { reply ->
                if (reply is OutcomeUnknown) unclear = reply
                when (reply) {
                    is OperatorNotLeader -> Redirect(reply.leader)
                    is OutcomeUnknown -> Redirect(null)
                    else -> null
                }
            }
        return when (answer) {
            is LeaderAnswer.Replied -> answer.reply
            is LeaderAnswer.NotReached -> unclear ?: OperatorNotLeader()
            is LeaderAnswer.Unclear -> OutcomeUnknown(answer.reason)
        }
    }
}

/** Returns a client over [leader]. */
public fun operatorClientOf(leader: LeaderCalls): OperatorClient = OperatorClient(leader)
