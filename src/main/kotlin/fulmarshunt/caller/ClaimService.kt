/*
 * The side of the control leader for claims: each call becomes a log command, and its reply is that of the committed
 * command.
 */
package fulmarshunt.caller

import fulmarshunt.Clock
import fulmarshunt.link.LinkHandlers
import fulmarshunt.voter.ApplyClaim
import fulmarshunt.voter.ClaimLogReply
import fulmarshunt.voter.LogProposer
import fulmarshunt.voter.ProposeFailure

/** Handles claim calls by proposing log commands to [proposer]; claims are dated by [wallClock]. */
public class ClaimService internal constructor(private val proposer: LogProposer, private val wallClock: Clock) {
    /** Returns [base] with the handler of [claimChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(claimChannel) { _, call -> handle(call) }

    internal suspend fun handle(call: ClaimCall): ClaimReply =
        proposer.proposeGrouped(ApplyClaim(call, wallClock.nowMs())).fold(::refusal) { reply ->
            checkNotNull(reply as? ClaimLogReply) { "unexpected reply to a claim: $reply" }.reply
        }

    private fun refusal(failure: ProposeFailure): ClaimReply = when (failure) {
        is ProposeFailure.NotLeader -> ClaimNotLeader(failure.leader)
        is ProposeFailure.Refused -> ClaimNotLeader(null)
        is ProposeFailure.Undecided -> ClaimUndecided
    }
}
