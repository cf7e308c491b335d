/*
 * The events that a voter handles, and the actions that result from them.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VoterId

/** The time of a step on the voter's clock, and a random number from 0 (inclusive) to 1 (exclusive) for timeouts. */
internal data class StepContext(val nowMs: Long, val random: Double)

internal sealed interface VoterEvent

/** The deadline of the state has passed. */
internal data object Tick : VoterEvent

internal data class MessageReceived(val envelope: Envelope) : VoterEvent

/** Everything up to a [Store] or [StoreSnapshot] with this term and index is on disk; the write took [tookMs]. */
internal data class Stored(val term: Term, val lastIndex: LogIndex, val tookMs: Long = 0) : VoterEvent

/** A write finds no room on the disk, or does not end in time; everything is stored again with the next [Stored]. */
internal data object DiskBlocked : VoterEvent

internal class Propose(val command: ByteArray) : VoterEvent

/** Requests a round of heartbeats that starts now or later. */
internal data object ConfirmLeadership : VoterEvent

/** Adds [member] as a learner; the leader makes it a voter once it has caught up. */
internal data class AddMember(val member: Member) : VoterEvent

internal data class RemoveMember(val id: VoterId) : VoterEvent

/** The state machine was captured at [point], possibly some entries ago, and encoded as [data]. */
internal class SnapshotTaken(val point: SnapshotPoint, val data: ByteArray) : VoterEvent

/** Makes a blank voter join the cluster that starts with [initial]. */
internal class JoinInitial(val initial: SnapshotHeader) : VoterEvent

/** An action that the replicated log must perform; the actions of a step are performed in order. */
internal sealed interface Action

/** Appends to the write-ahead file. An entry replaces stored entries at its index and after it. */
internal class Store(
    val term: Term,
    val lastIndex: LogIndex,
    val hard: HardState,
    /** An entry that is known to be committed; it may lag, because a commit alone does not cause a sync. */
    val committed: LogIndex,
    val entries: List<LogEntry>,
) : Action

/** Replaces the stored snapshot, and then the write-ahead file by [hard], [base] and [entries]. */
internal class StoreSnapshot(
    val hard: HardState,
    val snapshot: Snapshot,
    val base: LogPosition,
    val entries: List<LogEntry>,
) : Action

/** Sends a message; if [isAfterStore], not before everything stored so far is on disk. */
internal data class Send(val address: Address, val envelope: Envelope, val isAfterStore: Boolean) : Action

/** Applies committed entries. */
internal class Apply(val entries: List<LogEntry>) : Action

/** Replaces the state of the state machine. */
internal class Restore(val snapshot: Snapshot) : Action

/** Captures the state machine unless a snapshot is being encoded already; [SnapshotTaken] follows. */
internal data object TakeSnapshot : Action

/** The immediate reply to a request. */
internal sealed interface RequestReply

/** The command is in the leader's log at [index]; it is not yet committed. */
internal data class AcceptedAt(val index: LogIndex) : RequestReply

/** Leadership is confirmed when a quorum has acknowledged [round]. */
internal data class ConfirmedBy(val round: Long) : RequestReply

internal data class Refused(val reason: String) : RequestReply

/** The [state] after a step, the [actions] to carry out and the [reply] to a request, or null without one. */
internal class StepResult(val state: VoterState, val actions: List<Action>, val reply: RequestReply?)
