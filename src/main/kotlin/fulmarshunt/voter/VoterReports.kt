/*
 * The reports of a voter about its leadership, the members of the cluster and its own identity.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.operator.VoterStatus

internal fun leadershipOf(state: VoterState): Leadership =
    Leadership(state.term, state.role is Leader, state.leaderAddress)

internal fun statusOf(state: VoterState, nowMs: Long): List<VoterStatus> {
    val leader = state.role as? Leader
    val members = state.memberships.lastOrNull()?.membership?.members.orEmpty()
    return members.map { member ->
        val peer = leader?.peers?.get(member.id)
        val isSelf = member.id == state.id
        VoterStatus(
            id = member.id,
            vm = member.vm,
            address = member.address,
            isLeader = member.id == state.leader,
            isLearner = member.isLearner,
            matchIndex = if (isSelf) state.log.last.index else peer?.matchIndex ?: LogIndex(0),
            lastHeardMs = if (isSelf) 0 else peer?.lastReplyAtMs?.let { nowMs - it } ?: -1,
        )
    }
}

/**
 * Returns the reply of this voter to a probe. The initial membership is included only if [isSnapshotStored]: a voter
 * that sent it and then lost it in a crash could form another cluster under the same id.
 */
internal fun identityOf(state: VoterState, settings: VoterSettings, isSnapshotStored: Boolean): Identity {
    val header = state.snapshot?.header
    val initial = header?.takeIf { isSnapshotStored && it.position == LogPosition.START }
    return Identity(state.id, settings.vm, header == null, settings.bootstrap, initial)
}
