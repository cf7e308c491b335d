/*
 * The state of a voter after reading its disk and before the first event.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex

/**
 * Returns the state of a voter that starts with [stored].
 *
 * @param random from 0 (inclusive) to 1 (exclusive), so that voters that start together do not split their votes.
 */
internal fun initialState(settings: VoterSettings, stored: StoredState, nowMs: Long, random: Double = 0.0): VoterState {
    val spreadMs = (settings.electionTimeoutMaxMs - settings.electionTimeoutMinMs) * random
    val header = stored.snapshot?.header
    val covered = header?.position?.index ?: LogIndex(0)
    val commit = maxOf(covered, minOf(stored.committed, stored.log.last.index))
    val later =
        stored.log.slice(maxOf(covered, stored.log.base.index) + 1).mapNotNull { entry ->
            (entry.payload as? MembershipChange)?.let { IndexedMembership(entry.index, it.membership) }
        }
    return VoterState(
        self = Member(stored.id, settings.vm, settings.address),
        timing =
        VoterTiming(
            settings.electionTimeoutMinMs,
            settings.electionTimeoutMaxMs,
            settings.heartbeatMs,
            settings.snapshotEveryEntries,
            settings.snapshotEveryBytes,
        ),
        hard = stored.hard,
        snapshot = stored.snapshot,
        log = stored.log,
        memberships = listOfNotNull(header?.let { IndexedMembership(covered, it.membership) }) + later,
        commit = commit,
        role = Follower,
        leader = null,
        leaderAddress = null,
        lastLeaderContactAtMs = nowMs,
        electionAtMs = nowMs + settings.electionTimeoutMinMs + spreadMs.toLong(),
        isElectionPostponed = false,
        preVotedFor = null,
        preVoteUntilMs = nowMs,
        incoming = null,
        isDiskBlocked = false,
        syncMs = 0,
        uncoveredBytes = stored.log.sizeBytesBetween(covered, commit),
    )
}

/** Returns the entries that a starting voter applies after its snapshot, which are those known to be committed. */
internal fun replayedEntries(initial: VoterState): List<LogEntry> {
    val covered = initial.snapshot?.header?.position?.index ?: return emptyList()
    return initial.log.slice(covered + 1, initial.commit)
}
