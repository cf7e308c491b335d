/*
 * Sends claims and crash reports of an entry VM to the control leader, and repeats them at a new leader until the
 * outcome is known or the timeout has passed.
 */
package fulmarshunt.caller

import fulmarshunt.entry.LeaseCall
import fulmarshunt.entry.LeaseNotLeader
import fulmarshunt.entry.LeaseReply
import fulmarshunt.entry.ReportRecorded
import fulmarshunt.entry.ReportTargetCrash
import fulmarshunt.entry.leaseChannel
import fulmarshunt.voter.LeaderCallResult
import fulmarshunt.voter.LeaderCalls
import fulmarshunt.voter.Redirect

/** The timeout of one try; another voter may be the leader by then. */
private const val TRY_MS = 2_500L

/** Calls the control leader on behalf of an entry VM. */
public class ControlClient internal constructor(private val leader: LeaderCalls) {
    /**
     * Makes [call] within [timeoutMs].
     *
     * @return the leader's reply; [ClaimNotLeader] if the call was certainly not recorded; [ClaimUndecided] if it may
     *   have been recorded.
     */
    public suspend fun claim(call: ClaimCall, timeoutMs: Long): ClaimReply {
        var mayBeRecorded = false
        val result =
            leader.retryUntilReplied(claimChannel, call, timeoutMs, TRY_MS) { reply ->
                if (reply is ClaimUndecided) mayBeRecorded = true
                when (reply) {
                    is ClaimNotLeader -> Redirect(reply.leader)
                    is ClaimUndecided -> Redirect(null)
                    else -> null
                }
            }
        return when (result) {
            is LeaderCallResult.Replied -> result.reply
            is LeaderCallResult.NotExecuted -> if (mayBeRecorded) ClaimUndecided else ClaimNotLeader()
            is LeaderCallResult.MaybeExecuted -> ClaimUndecided
        }
    }

    /** Reports the crash of a target; returns whether the report is known to be committed within [timeoutMs]. */
    public suspend fun reportCrash(report: ReportTargetCrash, timeoutMs: Long): Boolean {
        val result =
            leader.retryUntilReplied<LeaseCall, LeaseReply>(leaseChannel, report, timeoutMs, TRY_MS) { reply ->
                (reply as? LeaseNotLeader)?.let { Redirect(it.leader) }
            }
        return result is LeaderCallResult.Replied && result.reply == ReportRecorded
    }
}

/** Returns a client over [leader]. */
public fun controlClientOf(leader: LeaderCalls): ControlClient = ControlClient(leader)
