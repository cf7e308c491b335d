/*
 * The state of a voter as an immutable value. Only the step function creates new versions of it.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.ClusterId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VoterId
import kotlinx.serialization.Serializable

/** An election waits for the disk of the candidate, and then for a voter's, which can be busy with another write. */
private const val SYNCS_OF_ELECTION = 3

/** A slower disk does not delay elections further. */
private const val MAX_ELECTION_SYNC_MS = 2_000L

/** The intervals of elections, heartbeats and snapshots. */
internal data class VoterTiming(
    val electionTimeoutMinMs: Long,
    val electionTimeoutMaxMs: Long,
    val heartbeatMs: Long,
    val snapshotEveryEntries: Int,
    val snapshotEveryBytes: Long,
)

/** The part of the state that must be on disk before a message that depends on it is sent. */
@Serializable
internal data class HardState(val term: Term, val votedFor: VoterId? = null)

/** The membership that is in force from [index] on. */
internal data class IndexedMembership(val index: LogIndex, val membership: Membership)

/** The current role of a voter. */
internal sealed interface Role

internal data object Follower : Role

/** Follows, but neither votes nor leads, because its disk takes no writes; it forwards calls and is kept up to date. */
internal data object Suspended : Role

/** Collects pre-votes before it starts a new term, which interrupts the other voters. */
internal data class PreCandidate(val grantedBy: Set<VoterId>) : Role

/** Collects votes; its own vote counts once it is on disk. */
internal data class Candidate(val grantedBy: Set<VoterId>) : Role

/** Leads in the current term. */
internal data class Leader(
    val peers: Map<VoterId, Peer>,
    /** The last own entry that is on disk. */
    val storedIndex: LogIndex,
    /** The first entry of this term. */
    val firstIndex: LogIndex,
    /** The number of the latest round of heartbeats. */
    val round: Long,
    /** Whether a read barrier waits for a round that starts after the current one. */
    val isRoundRequested: Boolean,
    val heartbeatAtMs: Long,
) : Role

/** The replication progress of another member, as the leader knows it. */
internal data class Peer(
    val nextIndex: LogIndex,
    val matchIndex: LogIndex,
    /** The last entry of the batch that was sent and not yet acknowledged. */
    val inFlightTo: LogIndex?,
    val inFlightSinceMs: Long,
    val transfer: SnapshotTransfer?,
    val lastReplyAtMs: Long?,
    /** When the member last replied while it had everything on disk that it was sent before. */
    val lastStoredAtMs: Long?,
    /** The latest stamp that the member has returned. */
    val acknowledged: Stamp,
    /** Whether the member reported that its disk takes no writes. */
    val isDiskBlocked: Boolean,
)

/** A snapshot that is being sent to a peer. The transfer goes on with it when the leader takes a newer one. */
internal data class SnapshotTransfer(val snapshot: Snapshot, val offsetBytes: Int)

/** The state of a voter. It is blank, and does not vote, until it has a snapshot. */
internal data class VoterState(
    val self: Member,
    val timing: VoterTiming,
    val hard: HardState,
    val snapshot: Snapshot?,
    val log: EntryLog,
    /** The memberships from the snapshot on, oldest first; empty while blank. */
    val memberships: List<IndexedMembership>,
    val commit: LogIndex,
    val role: Role,
    val leader: VoterId?,
    val leaderAddress: Address?,
    /** When the last message of a leader was received; for a voter that has just started, the time of its start. */
    val lastLeaderContactAtMs: Long,
    val electionAtMs: Long,
    /** Whether the election was postponed because this voter could not handle messages; see [onTick]. */
    val isElectionPostponed: Boolean,
    /** The voter that got the latest pre-vote; no other gets one before [preVoteUntilMs]. */
    val preVotedFor: VoterId?,
    val preVoteUntilMs: Long,
    val incoming: IncomingSnapshot?,
    /** Whether a write to the own disk waits for room, or has taken too long. */
    val isDiskBlocked: Boolean,
    /** The recent time of a write with its sync; it falls slowly. */
    val syncMs: Long,
    /** The size of the committed entries that the snapshot does not cover. */
    val uncoveredBytes: Long,
) {
    val id: VoterId get() = self.id
    val term: Term get() = hard.term
    val cluster: ClusterId? get() = snapshot?.header?.cluster
    val membership: Membership get() = memberships.last().membership

    /** The time at which the next [Tick] is due. */
    val deadlineMs: Long get() = (role as? Leader)?.heartbeatAtMs ?: electionAtMs

    /** The time that the disks need during an election, as far as this voter knows from its own disk. */
    val electionSyncsMs: Long get() = SYNCS_OF_ELECTION * minOf(syncMs, MAX_ELECTION_SYNC_MS)

    /** The role of a voter that neither leads nor stands for election. */
    val idleRole: Role get() = if (isDiskBlocked) Suspended else Follower

    /** Whether enough entries were applied since the last snapshot to take another one. */
    val isSnapshotDue: Boolean
        get() {
            val covered = snapshot?.header?.position?.index ?: return false
            return commit.value - covered.value >= timing.snapshotEveryEntries ||
                uncoveredBytes >= timing.snapshotEveryBytes
        }

    /** The point of a snapshot captured now; must not be read while the voter is blank. */
    val snapshotPoint: SnapshotPoint
        get() {
            val term = checkNotNull(log.termAtOrNull(commit)) { "entry $commit is not in the log" }
            return SnapshotPoint(LogPosition(commit, term), checkNotNull(committedMembershipOrNull))
        }

    /** The latest committed membership, or null while blank. */
    val committedMembershipOrNull: Membership? get() = memberships.lastOrNull { it.index <= commit }?.membership
}

/** Returns the greatest round that a quorum has acknowledged, or null if this voter does not lead. */
internal fun VoterState.confirmedRoundOrNull(): Long? {
    val leaderRole = role as? Leader ?: return null
    if (commit < leaderRole.firstIndex) return null
    return membership.quorumValue { if (it == id) leaderRole.round else leaderRole.peers[it]?.acknowledged?.round ?: 0 }
}

/**
 * Returns whether a quorum has acknowledged a message that was sent within the shortest election timeout. Followers
 * grant no vote within that time, so that no other leader can exist.
 */
internal fun VoterState.holdsQuorum(nowMs: Long): Boolean {
    val leaderRole = role as? Leader ?: return false
    if (commit < leaderRole.firstIndex) return false
    val sentAtMs =
        membership.quorumValue {
            if (it ==
                id
            ) {
                nowMs
            } else {
                leaderRole.peers[it]?.acknowledged?.sentAtMs ?: Long.MIN_VALUE
            }
        }
    return sentAtMs > nowMs - timing.electionTimeoutMinMs
}
