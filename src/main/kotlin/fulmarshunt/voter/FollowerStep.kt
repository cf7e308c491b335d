/*
 * How a follower handles the messages of its leader.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex

internal fun StepBuilder.onAppend(envelope: Envelope, message: Append) {
    followLeader(envelope)
    if (isBlank) return refuseAppend(envelope, message)
    val previous = message.previous
    // Entries up to the commit index are the same everywhere, also where the log no longer holds them.
    val isMatching = previous.index <= state.commit || state.log.termAtOrNull(previous.index) == previous.term
    if (!isMatching) return refuseAppend(envelope, message)
    val match = previous.index + message.entries.size
    val newEntries = message.entries.filter { it.index > state.commit && state.log.termAtOrNull(it.index) != it.term }
    if (newEntries.isNotEmpty()) {
        // All entries after the first one that differs also differ or are missing.
        truncateAfter(newEntries.first().index - 1)
        extendLog(newEntries)
        store(newEntries, maxOf(state.commit, minOf(message.commit, match)))
    }
    commitTo(minOf(message.commit, match))
    if (message.entries.isEmpty()) {
        // Behind queued writes, replies could take longer than an election timeout and cost the leader its quorum.
        sendReply(envelope, Appended(LogIndex(0), message.stamp, state.isDiskBlocked), isAfterStore = false)
    } else {
        sendReply(envelope, Appended(match, message.stamp), isAfterStore = true)
    }
}

/** Replies that the entries do not follow this log, or that the sender no longer leads. */
internal fun StepBuilder.refuseAppend(envelope: Envelope, message: Append) {
    val hint = if (isBlank) LogIndex(0) else matchUpperBound(message.previous)
    sendReply(envelope, AppendRefused(message.previous.index, hint, isBlank, message.stamp), isAfterStore = false)
}

/** Returns the greatest index before [previous] at which this log can match the leader's. */
private fun StepBuilder.matchUpperBound(previous: LogPosition): LogIndex {
    val log = state.log
    if (previous.index > log.last.index) return log.last.index
    val conflicting = log.termAtOrNull(previous.index)
    var index = previous.index - 1
    while (index > state.commit && log.termAtOrNull(index) == conflicting) index -= 1
    return index
}

private fun StepBuilder.truncateAfter(index: LogIndex) {
    check(index >= state.commit) { "entry ${index + 1} is committed and cannot be replaced" }
    state =
        state.copy(
            log = state.log.truncatedAfter(index),
            memberships = state.memberships.filter { it.index <= index },
        )
}

internal fun StepBuilder.followLeader(envelope: Envelope) {
    check(state.role !is Leader) { "${envelope.from} and ${state.id} both lead in term ${state.term}" }
    state =
        state.copy(
            role = state.idleRole,
            leader = envelope.from,
            leaderAddress = envelope.replyTo,
            lastLeaderContactAtMs = context.nowMs,
        )
    resetElectionTimer()
}
