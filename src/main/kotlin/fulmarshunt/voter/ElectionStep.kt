/*
 * Elections: pre-vote, votes and becoming the leader. A voter that has heard a leader within the shortest election
 * timeout supports no other one, so that a member that cannot hear the leader does not depose it.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VoterId

internal fun Draft.onTick() {
    val role = state.role
    if (role is Leader) {
        if (at.nowMs >= role.heartbeatAtMs) onHeartbeatDue()
    } else if (at.nowMs >= state.electionAtMs) {
        resetElectionTimer()
        state = state.copy(role = Follower, leader = null, leaderAddress = null)
        if (!isBlank && state.membership.isVoter(state.id)) startPreVote()
    }
}

private fun Draft.startPreVote() {
    val granted = setOf(state.id)
    state = state.copy(role = PreCandidate(granted))
    if (state.membership.isQuorum(granted)) return startElection()
    otherVoters().forEach { send(it, PreVote(nextTerm(), state.log.last), isAfterStore = false) }
}

private fun Draft.startElection() {
    state = state.copy(hard = HardState(nextTerm(), state.id), role = Candidate(emptySet()))
    resetElectionTimer()
    store(emptyList())
    otherVoters().forEach { send(it, VoteRequest(state.log.last), isAfterStore = true) }
}

internal fun Draft.onPreVote(envelope: Envelope, message: PreVote) {
    val isGranted = message.nextTerm > state.term && message.last >= state.log.last && !followsLeader()
    answer(envelope, PreVoteReply(message.nextTerm, isGranted))
}

internal fun Draft.onPreVoteReply(envelope: Envelope, message: PreVoteReply) {
    if (!message.isGranted) {
        if (envelope.term > state.term) becomeFollower(envelope.term)
        return
    }
    val role = state.role as? PreCandidate ?: return
    if (message.nextTerm != nextTerm()) return
    val granted = role.granted + envelope.from
    state = state.copy(role = PreCandidate(granted))
    if (state.membership.isQuorum(granted)) startElection()
}

internal fun Draft.onVoteRequest(envelope: Envelope, message: VoteRequest) {
    if (followsLeader()) return
    if (envelope.term > state.term) becomeFollower(envelope.term)
    val isFree = state.hard.votedFor == null || state.hard.votedFor == envelope.from
    val isGranted = envelope.term == state.term && isFree && message.last >= state.log.last
    if (isGranted && state.hard.votedFor == null) {
        state = state.copy(hard = HardState(state.term, envelope.from), role = Follower)
        resetElectionTimer()
        store(emptyList())
    }
    answer(envelope, VoteReply(isGranted))
}

internal fun Draft.onVoteReply(envelope: Envelope, message: VoteReply) {
    if (message.isGranted) countVote(envelope.from)
}

internal fun Draft.onStored(event: Stored) {
    if (event.term != state.term) return
    when (val role = state.role) {
        is Candidate -> countVote(state.id)
        is Leader -> {
            state = state.copy(role = role.copy(storedIndex = maxOf(role.storedIndex, event.lastIndex)))
            advanceCommit()
        }
        else -> Unit
    }
}

private fun Draft.countVote(from: VoterId) {
    val role = state.role as? Candidate ?: return
    val granted = role.granted + from
    state = state.copy(role = Candidate(granted))
    if (state.id in granted && state.membership.isQuorum(granted)) becomeLeader()
}

private fun Draft.becomeLeader() {
    val last = state.log.last.index
    val peers = state.membership.members.filter { it.id != state.id }.associate { it.id to newPeer(last, at.nowMs) }
    val role = Leader(peers, LogIndex(0), last + 1, 0, false, at.nowMs + state.timing.heartbeatMs)
    state = state.copy(role = role, leader = state.id, leaderAddress = state.self.address)
    appendOwn(NoOp)
}

/** Returns a peer about which nothing is known but that its log may be as long as the leader's. */
internal fun newPeer(last: LogIndex, heardAtMs: Long?): Peer =
    Peer(last + 1, LogIndex(0), null, 0, null, heardAtMs, Stamp(0, Long.MIN_VALUE))

private fun Draft.followsLeader(): Boolean =
    state.role is Leader || at.nowMs < state.heardLeaderAtMs + state.timing.electionTimeoutMinMs

private fun Draft.otherVoters(): List<Member> = state.membership.voters.filter { it.id != state.id }

private fun Draft.nextTerm(): Term = Term(state.term.value + 1)
