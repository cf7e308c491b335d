/*
 * The step function of a voter: a pure function from a state and an event to the next state and the actions that
 * follow. Everything that an action promises to a peer is stored by an earlier action of the same or an earlier step.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term

/** Returns the state after [event], which happens at [at], and what must be done. */
internal fun step(state: VoterState, event: VoterEvent, at: Moment): StepResult {
    val draft = Draft(state, at)
    when (event) {
        is Tick -> draft.onTick()
        is MessageReceived -> draft.onEnvelope(event.envelope)
        is Stored -> draft.onStored(event)
        is Propose -> draft.onPropose(event)
        is ConfirmLeadership -> draft.onConfirmLeadership()
        is AddMember -> draft.onAddMember(event.member)
        is RemoveMember -> draft.onRemoveMember(event.id)
        is SnapshotTaken -> draft.onSnapshotTaken(event)
        is JoinInitial -> draft.onJoinInitial(event.initial)
    }
    return StepResult(draft.state, draft.actions, draft.reply)
}

/** A step in progress. It lives only inside [step]. */
internal class Draft(var state: VoterState, val at: Moment) {
    val actions: MutableList<Action> = mutableListOf()
    var reply: RequestReply? = null

    val isBlank: Boolean get() = state.snapshot == null
}

internal fun Draft.resetElectionTimer() {
    val timing = state.timing
    val spreadMs = (timing.electionTimeoutMaxMs - timing.electionTimeoutMinMs) * at.draw
    state = state.copy(electionAtMs = at.nowMs + timing.electionTimeoutMinMs + spreadMs.toLong())
}

/** Makes this voter a follower, in a new term if [term] is greater than the current one. */
internal fun Draft.becomeFollower(term: Term) {
    if (state.role is Leader) resetElectionTimer()
    state = state.copy(role = Follower)
    if (term > state.term) {
        state = state.copy(hard = HardState(term), leader = null, leaderAddress = null, incoming = null)
        // A blank voter never votes, so that it may forget the term until it has a snapshot.
        if (!isBlank) store(emptyList())
    }
}

/** Stores [entries], which are in the log already, the term and vote, and which entry is [committed]. */
internal fun Draft.store(entries: List<LogEntry>, committed: LogIndex = state.commit) {
    actions += Store(state.term, state.log.last.index, state.hard, committed, entries)
}

internal fun Draft.send(member: Member, message: VoterMessage, isAfterStore: Boolean) {
    val cluster = checkNotNull(state.cluster) { "a blank voter starts no conversation" }
    val envelope = Envelope(cluster, state.id, state.self.address, member.id, state.term, message)
    actions += Send(member.address, envelope, isAfterStore)
}

/** Answers [envelope] once everything stored so far is on disk. */
internal fun Draft.answer(envelope: Envelope, message: VoterMessage) {
    val answer = Envelope(envelope.cluster, state.id, state.self.address, envelope.from, state.term, message)
    actions += Send(envelope.replyTo, answer, isAfterStore = true)
}

/** Puts [entries] at the end of the log, without storing them. */
internal fun Draft.extendLog(entries: List<LogEntry>) {
    val changes =
        entries.mapNotNull { entry ->
            (entry.payload as? MembershipChange)?.let { DatedMembership(entry.index, it.membership) }
        }
    state = state.copy(log = state.log.append(entries), memberships = state.memberships + changes)
}

/** Raises the commit index to [index] and applies what became committed. */
internal fun Draft.commitTo(index: LogIndex) {
    if (index <= state.commit) return
    actions += Apply(state.log.slice(state.commit + 1, index))
    val current = state.memberships.indexOfLast { it.index <= index }
    state = state.copy(commit = index, memberships = state.memberships.drop(current))
    if (state.isSnapshotDue) actions += TakeSnapshot
}

private fun Draft.onEnvelope(envelope: Envelope) {
    if (envelope.to != state.id) return
    if (state.cluster?.let { it != envelope.cluster } == true) return
    val message = envelope.message
    if (isBlank && message !is Append && message !is SnapshotChunk) return
    when (message) {
        is PreVote -> onPreVote(envelope, message)
        is PreVoteReply -> onPreVoteReply(envelope, message)
        is VoteRequest -> onVoteRequest(envelope, message)
        else -> onTermedMessage(envelope, message)
    }
}

private fun Draft.onTermedMessage(envelope: Envelope, message: VoterMessage) {
    if (envelope.term > state.term) becomeFollower(envelope.term)
    val isCurrent = envelope.term == state.term
    when (message) {
        // The answer to a former leader carries the newer term, which makes it step down.
        is Append -> if (isCurrent) onAppend(envelope, message) else refuseAppend(envelope, message)
        is SnapshotChunk -> if (isCurrent) onSnapshotChunk(envelope, message) else refuseChunk(envelope, message)
        is VoteReply -> if (isCurrent) onVoteReply(envelope, message)
        is Appended -> if (isCurrent) onAppended(envelope, message)
        is AppendRefused -> if (isCurrent) onAppendRefused(envelope, message)
        is SnapshotChunkReply -> if (isCurrent) onSnapshotChunkReply(envelope, message)
        is PreVote, is PreVoteReply, is VoteRequest -> error("handled before")
    }
}
