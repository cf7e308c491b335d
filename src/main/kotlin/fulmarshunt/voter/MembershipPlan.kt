/*
 * How the leader keeps the voters in line with the control VMs that exist. A VM that shows up with a voter id which is
 * no member is new, replaced or wiped, and joins. A member is removed once its VM has come back under another id, or
 * once it has been silent while a successor has joined, so that the voters that count stay an odd number.
 */
package fulmarshunt.voter

import fulmarshunt.VoterId

/** The silence after which a member counts as gone: longer than an election and a restart of its process. */
internal const val MEMBER_SILENCE_MS: Long = 3_000

/** Fewer voters than this are not reduced further. */
private const val MIN_VOTERS = 3

/** One change of the membership. */
internal sealed interface MembershipStep {
    data class Add(val vm: ControlVm) : MembershipStep

    data class Remove(val id: VoterId, val reason: String) : MembershipStep
}

/**
 * Returns the next change, or null if the membership fits.
 *
 * @param present the control VMs that were heard of lately.
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
        silentLearner != null -> MembershipStep.Remove(silentLearner.id, "it stopped answering before it voted")
        silent != null && hasSpareVoter -> MembershipStep.Remove(silent.id, "it is silent and has a successor")
        joining != null -> MembershipStep.Add(joining)
        else -> null
    }
}
