/*
 * The state of a voter between reading its disk and the first event.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex

/** Returns the state of a voter that has just started with what is on its disk. */
internal fun initialState(settings: VoterSettings, stored: StoredState, nowMs: Long): VoterState {
    val header = stored.snapshot?.header
    val commit = header?.position?.index ?: LogIndex(0)
    val later =
        stored.log.slice(maxOf(commit, stored.log.base.index) + 1).mapNotNull { entry ->
            (entry.payload as? MembershipChange)?.let { DatedMembership(entry.index, it.membership) }
        }
    return VoterState(
        self = Member(stored.id, settings.vm, settings.address),
        timing =
        VoterTiming(
            settings.electionTimeoutMinMs,
            settings.electionTimeoutMaxMs,
            settings.heartbeatMs,
            settings.snapshotEveryEntries,
        ),
        hard = stored.hard,
        snapshot = stored.snapshot,
        log = stored.log,
        memberships = listOfNotNull(header?.let { DatedMembership(commit, it.membership) }) + later,
        commit = commit,
        role = Follower,
        leader = null,
        leaderAddress = null,
        heardLeaderAtMs = nowMs,
        electionAtMs = nowMs + settings.electionTimeoutMinMs,
        incoming = null,
    )
}
