/*
 * What a voter does while its disk takes no writes, because it is full or hangs. It goes on following and forwarding,
 * but acknowledges nothing: replies that confirm entries wait behind the write. A leader hands its leadership over, if
 * another voter can store entries, and otherwise refuses proposals.
 */
package fulmarshunt.voter

import fulmarshunt.VoterId

/** The part of the recent time of a sync that is forgotten with each faster one. */
private const val SYNC_DECAY_DIVISOR = 8

internal fun StepBuilder.onDiskBlocked() {
    if (state.isDiskBlocked) return
    state = state.copy(isDiskBlocked = true)
    if (state.role is Leader) {
        handOverIfPossible()
    } else {
        state = state.copy(role = Suspended)
        resetElectionTimer()
    }
}

/** Records that a write has ended, after [tookMs]. */
internal fun StepBuilder.onDiskWritten(tookMs: Long) {
    state =
        state.copy(syncMs = maxOf(tookMs, state.syncMs - (state.syncMs + SYNC_DECAY_DIVISOR - 1) / SYNC_DECAY_DIVISOR))
    if (!state.isDiskBlocked) return
    state = state.copy(isDiskBlocked = false)
    if (state.role is Suspended) {
        state = state.copy(role = Follower)
        resetElectionTimer()
    }
}

/** Stops leading and makes the most advanced voter that stores entries stand for election, if it can be elected. */
internal fun StepBuilder.handOverIfPossible() {
    val peers = leaderRole().peers
    val storing = storingMembers()
    if (!state.membership.isQuorum(storing)) return
    val successor = state.membership.voters
        .filter { it.id in storing && it.id != state.id }
        .maxByOrNull { peers.getValue(it.id).matchIndex } ?: return
    send(successor, HandOver, isAfterStore = false)
    becomeFollower(state.term)
    state = state.copy(leader = null, leaderAddress = null)
}

/** Returns whether this leader may still commit what is proposed now: a majority may reply and write. */
internal fun StepBuilder.isMajorityWriting(): Boolean {
    val sinceMs = context.nowMs - state.timing.electionTimeoutMaxMs
    val writing = leaderRole().peers
        .filterValues { !it.isDiskBlocked && (it.lastReplyAtMs ?: Long.MIN_VALUE) > sinceMs }.keys
    return state.membership.isQuorum(if (state.isDiskBlocked) writing else writing + state.id)
}

/** Returns the members that could commit entries now; one whose disk hangs still replies to heartbeats. */
internal fun StepBuilder.storingMembers(): Set<VoterId> {
    val sinceMs = context.nowMs - state.timing.electionTimeoutMaxMs
    val peers = leaderRole().peers
        .filterValues { !it.isDiskBlocked && (it.lastStoredAtMs ?: Long.MIN_VALUE) > sinceMs }.keys
    return if (state.isDiskBlocked) peers else peers + state.id
}
