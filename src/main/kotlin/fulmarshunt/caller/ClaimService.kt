/*
 * The control leader's side of claims: each call becomes a log command, and its reply is that of the committed command.
 */
package fulmarshunt.caller

import fulmarshunt.Clock
import fulmarshunt.link.LinkHandlers
import fulmarshunt.voter.ApplyClaim
import fulmarshunt.voter.ClaimLogReply
import fulmarshunt.voter.LogProposer
import fulmarshunt.voter.ProposeFailure

/** Answers claim calls through [proposer]; claims are dated by [wallClock]. */
public class ClaimService internal constructor(private val proposer: LogProposer, private val wallClock: Clock) {
    /** Returns [base] with the handler of [claimChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(claimChannel) { _, call -> answer(call) }

    internal suspend fun answer(call: ClaimCall): ClaimReply =
        proposer.proposeGrouped(ApplyClaim(call, wallClock.nowMs())).fold(::refusal) { reply ->
            checkNotNull(reply as? ClaimLogReply) { "a claim has the reply $reply" }.reply
        }

    private fun refusal(failure: ProposeFailure): ClaimReply = when (failure) {
        is ProposeFailure.NotLeader -> ClaimNotLeader(failure.leader)
        is ProposeFailure.Undecided -> ClaimUndecided
    }
}
