/*
 * Changes of the membership, one voter at a time. Any majorities of two memberships that differ by one voter overlap,
 * so that no joint consensus phase is needed.
 */
package fulmarshunt.voter

import fulmarshunt.VoterId

internal fun StepBuilder.onAddMember(member: Member) {
    if (refuseUnlessReady()) return
    if (state.membership.memberOrNull(member.id) == null) {
        reply = AcceptedAt(changeMembership(state.membership.with(member.copy(isLearner = true))))
    } else {
        reply = AcceptedAt(state.log.last.index)
    }
}

internal fun StepBuilder.onRemoveMember(id: VoterId) {
    if (refuseUnlessReady()) return
    val next = state.membership.without(id)
    reply =
        when {
            next == state.membership -> AcceptedAt(state.log.last.index)
            next.voters.isEmpty() -> Refused("$id is the last voter")
            !next.isQuorum(storingMembers()) ->
                Refused("without $id, the voters that respond and write to disk would not be a majority")
            else -> AcceptedAt(changeMembership(next))
        }
}

/** Promotes a learner that has caught up to a voter, unless another change is pending. */
internal fun StepBuilder.promoteLearner() {
    val leader = state.role as? Leader ?: return
    if (isChangePending()) return
    val learner =
        state.membership.members.find { member ->
            member.isLearner && leader.peers[member.id].let { it != null && it.matchIndex >= state.commit }
        } ?: return
    changeMembership(state.membership.with(learner.copy(isLearner = false)))
}

private fun StepBuilder.changeMembership(membership: Membership) = appendOwn(MembershipChange(membership)).index

private fun StepBuilder.refuseUnlessReady(): Boolean {
    val problem =
        when {
            state.role !is Leader -> "not the leader"
            isChangePending() -> "another change of the membership is under way"
            else -> return false
        }
    reply = Refused(problem)
    return true
}

/**
 * Returns whether a membership change is not yet committed. Before the first entry of its term is committed, a leader
 * may not know of a change that its predecessor has committed.
 */
private fun StepBuilder.isChangePending(): Boolean =
    state.commit < leaderRole().firstIndex || state.memberships.last().index > state.commit
