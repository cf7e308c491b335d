/*
 * The decision which membership change the leader makes next, so that the members match the control VMs that exist. A
 * VM whose voter id is not a member is new, replaced or wiped, and joins. A member is removed once its VM has restarted
 * under another id, or once it is silent and a successor exists, so that the number of voters stays odd.
 */
package fulmarshunt.voter

import fulmarshunt.VoterId

/** A member is silent after this long without a message, which is longer than an election and a process restart. */
internal const val MEMBER_SILENCE_MS: Long = 3_000

/** A silent voter is removed only while there are more voters than this. */
private const val MIN_VOTERS = 3

/** One change of the membership. The text form of this class is logged. */
internal sealed interface MembershipStep {
    data class Add(val vm: ControlVm) : MembershipStep

    data class Remove(val id: VoterId, val reason: String) : MembershipStep
}

/**
 * Returns the next change, or null if the membership needs none.
 *
 * @param present the control VMs that were seen within [MEMBER_SILENCE_MS].
 */
internal fun nextMembershipStepOrNull(
    membership: Membership,
    present: List<ControlVm>,
    self: VoterId,
): MembershipStep? {
    val presentIds = present.mapTo(mutableSetOf()) { it.voter }
    val absent = membership.members.filter { it.id !in presentIds && it.id != self }
    val replaced = absent.find { member -> present.any { it.linkAddress == member.address } }
    if (replaced != null) return MembershipStep.Remove(replaced.id, "its VM came back with an empty disk")
    val joining = present.find { membership.memberOrNull(it.voter) == null }
    val silentLearner = absent.find { it.isLearner }
    val silent = absent.find { !it.isLearner }
    val hasSpareVoter = membership.voters.size > MIN_VOTERS && (joining != null || membership.voters.size % 2 == 0)
    return when {
        silentLearner != null -> MembershipStep.Remove(silentLearner.id, "it stopped responding before it voted")
        silent != null && hasSpareVoter -> MembershipStep.Remove(silent.id, "it is silent and has a successor")
        joining != null -> MembershipStep.Add(joining)
        else -> null
    }
}
