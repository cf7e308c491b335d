/*
 * The step function of a voter: a pure function from a state and an event to the next state and the resulting actions.
 * Whatever a message acknowledges to a peer is stored by an earlier action of the same or an earlier step.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term

/** Returns the state after [event] and the actions to perform. */
internal fun step(state: VoterState, event: VoterEvent, context: StepContext): StepResult {
    val builder = StepBuilder(state, context)
    when (event) {
        is Tick -> builder.onTick()
        is MessageReceived -> builder.onEnvelope(event.envelope)
        is Stored -> builder.onStored(event)
        is DiskBlocked -> builder.onDiskBlocked()
        is Propose -> builder.onPropose(event)
        is ConfirmLeadership -> builder.onConfirmLeadership()
        is AddMember -> builder.onAddMember(event.member)
        is RemoveMember -> builder.onRemoveMember(event.id)
        is SnapshotTaken -> builder.onSnapshotTaken(event)
        is JoinInitial -> builder.onJoinInitial(event.initial)
    }
    return StepResult(builder.state, builder.actions, builder.reply)
}

/** Collects the state changes and actions of a step in progress. It is used only within [step]. */
internal class StepBuilder(var state: VoterState, val context: StepContext) {
    val actions: MutableList<Action> = mutableListOf()
    var reply: RequestReply? = null

    val isBlank: Boolean get() = state.snapshot == null
}

internal fun StepBuilder.resetElectionTimer() {
    val timing = state.timing
    val spreadMs = (timing.electionTimeoutMaxMs - timing.electionTimeoutMinMs + state.electionSyncsMs) * context.random
    state = state.copy(
        electionAtMs = context.nowMs + timing.electionTimeoutMinMs + spreadMs.toLong(),
        isElectionPostponed = false,
    )
}

/** Makes this voter a follower, in a new term if [term] is greater than the current one. */
internal fun StepBuilder.becomeFollower(term: Term) {
    if (state.role is Leader) resetElectionTimer()
    state = state.copy(role = state.idleRole)
    if (term > state.term) {
        state = state.copy(hard = HardState(term), leader = null, leaderAddress = null, incoming = null)
        // A blank voter never votes, so that it need not store the term until it has a snapshot.
        if (!isBlank) store(emptyList())
    }
}

/** Stores the term, the vote, [entries], which are in the log already, and the index of the [committed] entry. */
internal fun StepBuilder.store(entries: List<LogEntry>, committed: LogIndex = state.commit) {
    actions += Store(state.term, state.log.last.index, state.hard, committed, entries)
}

internal fun StepBuilder.send(member: Member, message: VoterMessage, isAfterStore: Boolean) {
    val cluster = checkNotNull(state.cluster) { "a blank voter sends no messages of its own" }
    val envelope = Envelope(cluster, state.id, state.self.address, member.id, state.term, message)
    actions += Send(member.address, envelope, isAfterStore)
}

/**
 * Sends [message] in reply to [envelope] once everything stored so far is on disk, or at once if [isAfterStore] is
 * false. Only a message that acknowledges nothing stored may be sent at once, and it should be: behind the writes of a
 * slow or full disk it would come too late.
 */
internal fun StepBuilder.sendReply(envelope: Envelope, message: VoterMessage, isAfterStore: Boolean) {
    val response = Envelope(envelope.cluster, state.id, state.self.address, envelope.from, state.term, message)
    actions += Send(envelope.replyTo, response, isAfterStore)
}

/** Appends [entries] to the log without storing them. */
internal fun StepBuilder.extendLog(entries: List<LogEntry>) {
    val changes =
        entries.mapNotNull { entry ->
            (entry.payload as? MembershipChange)?.let { IndexedMembership(entry.index, it.membership) }
        }
    state = state.copy(log = state.log.append(entries), memberships = state.memberships + changes)
}

/** Advances the commit index to [index] and applies the newly committed entries. */
internal fun StepBuilder.commitTo(index: LogIndex) {
    if (index <= state.commit) return
    val entries = state.log.slice(state.commit + 1, index)
    actions += Apply(entries)
    val current = state.memberships.indexOfLast { it.index <= index }
    state =
        state.copy(
            commit = index,
            memberships = state.memberships.drop(current),
            uncoveredBytes = state.uncoveredBytes + entries.sumOf { it.sizeBytes.toLong() },
        )
    if (state.isSnapshotDue) actions += TakeSnapshot
}

private fun StepBuilder.onEnvelope(envelope: Envelope) {
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

private fun StepBuilder.onTermedMessage(envelope: Envelope, message: VoterMessage) {
    if (envelope.term > state.term) becomeFollower(envelope.term)
    val isCurrent = envelope.term == state.term
    when (message) {
        // The reply to a previous leader carries the newer term, which makes it step down.
        is Append -> if (isCurrent) onAppend(envelope, message) else refuseAppend(envelope, message)
        is SnapshotChunk -> if (isCurrent) onSnapshotChunk(envelope, message) else refuseChunk(envelope, message)
        is VoteReply -> if (isCurrent) onVoteReply(envelope, message)
        is Appended -> if (isCurrent) onAppended(envelope, message)
        is HandOver -> if (isCurrent) onHandOver(envelope)
        is AppendRefused -> if (isCurrent) onAppendRefused(envelope, message)
        is SnapshotChunkReply -> if (isCurrent) onSnapshotChunkReply(envelope, message)
        is PreVote, is PreVoteReply, is VoteRequest -> error("handled by onEnvelope")
    }
}
