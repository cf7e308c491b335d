/*
 * Elections: pre-votes, votes and becoming the leader. A voter that has received a message of a leader within the
 * shortest election timeout grants no votes, so that a member that is cut off from the leader cannot replace it.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VoterId

/** The heartbeats that a voter waits for whose tick was late; the messages of the pause are handled in this time. */
private const val HEARTBEATS_AFTER_PAUSE = 2

/**
 * Handles a due heartbeat or election. A tick that is late shows that this process was paused: messages that arrived
 * meanwhile are handled only after the tick, so that the silence of others proves nothing yet.
 */
internal fun StepBuilder.onTick() {
    val role = state.role
    val lateMs = context.nowMs - state.deadlineMs
    if (role is Leader) {
        if (lateMs >= 0) onHeartbeatDue(isQuorumChecked = lateMs < state.timing.electionTimeoutMinMs)
    } else if (lateMs >= state.timing.heartbeatMs && state.leader != null && !state.isElectionPostponed) {
        val electionAtMs = context.nowMs + HEARTBEATS_AFTER_PAUSE * state.timing.heartbeatMs
        state = state.copy(electionAtMs = electionAtMs, isElectionPostponed = true)
    } else if (lateMs >= 0) {
        // Another term would need another write behind the one that this candidate still waits for.
        if (role is Candidate && state.id !in role.grantedBy) return resetElectionTimer()
        resetElectionTimer()
        state = state.copy(role = state.idleRole, leader = null, leaderAddress = null)
        if (canStand()) startPreVote()
    }
}

private fun StepBuilder.startPreVote() {
    val grantedBy = setOf(state.id)
    state = state.copy(role = PreCandidate(grantedBy))
    promisePreVote(state.id)
    if (state.membership.isQuorum(grantedBy)) return startElection(isHandOver = false)
    otherVoters().forEach { send(it, PreVote(nextTerm(), state.log.last), isAfterStore = false) }
}

private fun StepBuilder.startElection(isHandOver: Boolean) {
    state = state.copy(
        hard = HardState(nextTerm(), state.id),
        role = Candidate(emptySet()),
        leader = null,
        leaderAddress = null,
    )
    awaitElection()
    store(emptyList())
    otherVoters().forEach { send(it, VoteRequest(state.log.last, isHandOver), isAfterStore = true) }
}

/** Starts an election at once, because the leader that this voter follows asks for it. */
internal fun StepBuilder.onHandOver(envelope: Envelope) {
    if (envelope.from == state.leader && state.role is Follower && canStand()) startElection(isHandOver = true)
}

/** Returns whether this voter may start an election; its own vote would wait for a disk that takes no writes. */
private fun StepBuilder.canStand(): Boolean = !isBlank && !state.isDiskBlocked && state.membership.isVoter(state.id)

/** Returns whether no other voter has got a pre-vote that it may still use, so that slow disks do not split votes. */
private fun StepBuilder.canPreVote(id: VoterId): Boolean =
    state.preVotedFor == id || context.nowMs >= state.preVoteUntilMs

private fun StepBuilder.promisePreVote(id: VoterId) {
    state = state.copy(preVotedFor = id, preVoteUntilMs = context.nowMs + state.electionSyncsMs)
    if (id != state.id && state.electionSyncsMs > 0) awaitElection()
}

/** Postpones the own election until the one that is under way can have ended. */
private fun StepBuilder.awaitElection() {
    resetElectionTimer()
    state = state.copy(electionAtMs = state.electionAtMs + state.electionSyncsMs)
}

internal fun StepBuilder.onPreVote(envelope: Envelope, message: PreVote) {
    val isGranted = message.nextTerm > state.term && message.last >= state.log.last &&
        !hasActiveLeader() && !state.isDiskBlocked && canPreVote(envelope.from)
    if (isGranted) promisePreVote(envelope.from)
    sendReply(envelope, PreVoteReply(message.nextTerm, isGranted), isAfterStore = false)
}

internal fun StepBuilder.onPreVoteReply(envelope: Envelope, message: PreVoteReply) {
    if (!message.isGranted) {
        if (envelope.term > state.term) becomeFollower(envelope.term)
        return
    }
    val role = state.role as? PreCandidate ?: return
    if (message.nextTerm != nextTerm()) return
    val grantedBy = role.grantedBy + envelope.from
    state = state.copy(role = PreCandidate(grantedBy))
    if (state.membership.isQuorum(grantedBy)) startElection(isHandOver = false)
}

internal fun StepBuilder.onVoteRequest(envelope: Envelope, message: VoteRequest) {
    if (state.isDiskBlocked || (hasActiveLeader() && !message.isHandOver)) return
    if (envelope.term > state.term) becomeFollower(envelope.term)
    val canVote = state.hard.votedFor == null || state.hard.votedFor == envelope.from
    val isGranted = envelope.term == state.term && canVote && message.last >= state.log.last
    if (isGranted && state.hard.votedFor == null) {
        state = state.copy(hard = HardState(state.term, envelope.from), role = Follower)
        awaitElection()
        store(emptyList())
    }
    sendReply(envelope, VoteReply(isGranted), isAfterStore = true)
}

internal fun StepBuilder.onVoteReply(envelope: Envelope, message: VoteReply) {
    if (message.isGranted) countVote(envelope.from)
}

internal fun StepBuilder.onStored(event: Stored) {
    onDiskWritten(event.tookMs)
    if (event.term != state.term) return
    when (val role = state.role) {
        is Candidate -> {
            awaitElection()
            countVote(state.id)
        }
        is Leader -> {
            state = state.copy(role = role.copy(storedIndex = maxOf(role.storedIndex, event.lastIndex)))
            advanceCommit()
        }
        else -> Unit
    }
}

private fun StepBuilder.countVote(from: VoterId) {
    val role = state.role as? Candidate ?: return
    val grantedBy = role.grantedBy + from
    state = state.copy(role = Candidate(grantedBy))
    if (state.id in grantedBy && state.membership.isQuorum(grantedBy)) becomeLeader()
}

private fun StepBuilder.becomeLeader() {
    val last = state.log.last.index
    val peers = state.membership.members.filter {
        it.id != state.id
    }.associate { it.id to newPeer(last, context.nowMs) }
    val role = Leader(peers, LogIndex(0), last + 1, 0, false, context.nowMs + state.timing.heartbeatMs)
    state = state.copy(role = role, leader = state.id, leaderAddress = state.self.address)
    appendOwn(NoOp)
}

/** Returns a peer whose log is unknown; replication starts after [last], the last entry of the leader. */
internal fun newPeer(last: LogIndex, lastReplyAtMs: Long?): Peer =
    Peer(last + 1, LogIndex(0), null, 0, null, lastReplyAtMs, lastReplyAtMs, Stamp(0, Long.MIN_VALUE), false)

private fun StepBuilder.hasActiveLeader(): Boolean =
    state.role is Leader || context.nowMs < state.lastLeaderContactAtMs + state.timing.electionTimeoutMinMs

private fun StepBuilder.otherVoters(): List<Member> = state.membership.voters.filter { it.id != state.id }

private fun StepBuilder.nextTerm(): Term = Term(state.term.value + 1)
