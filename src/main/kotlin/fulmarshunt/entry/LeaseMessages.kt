/*
 * What an entry VM tells the control leader, and the answers. The renewal carries the last log entry that the VM has
 * applied, and the answer brings what is missing. The leader pushes changes at once on [stateChannel].
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.TargetId
import fulmarshunt.Term
import fulmarshunt.link.Channel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How long a lease lasts for the entry VM, from the moment it sent the renewal. */
public const val LEASE_MS: Long = 3_000

/** How much longer the leader waits, to cover clock drift and the time a grant needs to be withdrawn. */
public const val LEASE_MARGIN_MS: Long = 300

/** The time between two renewals; two may be lost before the lease runs out. */
public const val LEASE_RENEWAL_MS: Long = 1_000

/** What an entry VM asks of the control leader. */
@Serializable
public sealed interface LeaseCall

/** Asks for a lease, or for a longer one. */
@Serializable
@SerialName("renew")
public data class RenewLease(
    public val vm: EntryVm,
    public val applied: LogIndex,
    /** Pools that the VM has stopped admitting to, because a graceful shutdown is under way. */
    public val released: List<PoolId> = emptyList(),
    /** True while a graceful shutdown is under way; the VM gets no new pools. */
    public val isShuttingDown: Boolean = false,
) : LeaseCall

/** Gives the lease back at the end of a graceful shutdown. */
@Serializable
@SerialName("release")
public data class ReleaseLease(public val vm: EntryVm) : LeaseCall

/** Reports that [target] died while the requests in [running] ran on it; answered by [ReportRecorded]. */
@Serializable
@SerialName("death")
public data class ReportTargetCrash(
    public val pool: PoolId,
    public val fence: FencingNumber,
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val running: List<Fingerprint>,
    /** Those of [running] that were placed before their last death was known; see [CrashHistory.record]. */
    public val alreadyCounted: Set<Fingerprint> = emptySet(),
) : LeaseCall

/** The answer to a [LeaseCall]. */
@Serializable
public sealed interface LeaseReply

/** The lease holds for [LEASE_MS] from the moment the renewal was sent. */
@Serializable
@SerialName("granted")
public data class LeaseGranted(
    public val term: Term,
    /** The complete state, when the VM is too far behind for changes. */
    public val snapshot: SharedState? = null,
    public val changes: List<IndexedChanges> = emptyList(),
    /** True when an operator has asked the VM for a graceful shutdown. */
    public val shutdownRequested: Boolean = false,
) : LeaseReply

/** The lease was given back. */
@Serializable
@SerialName("released")
public data object LeaseReleased : LeaseReply

/** The report is committed. */
@Serializable
@SerialName("recorded")
public data object ReportRecorded : LeaseReply

/** The process that was asked does not lead; [leader] does, if known. */
@Serializable
@SerialName("not-leader")
public data class LeaseNotLeader(public val leader: Address? = null) : LeaseReply

/** Carries lease calls from entry VMs to the control leader. */
public val leaseChannel: Channel<LeaseCall, LeaseReply> =
    Channel("lease", LeaseCall.serializer(), LeaseReply.serializer())

/** Changes that the leader pushes to an entry VM between renewals. */
@Serializable
public data class StatePush(public val changes: List<IndexedChanges>)

/** The last log entry that the VM has applied after a push. */
@Serializable
public data class StatePushReply(public val applied: LogIndex)

/** Carries pushed changes from the control leader to entry VMs. */
public val stateChannel: Channel<StatePush, StatePushReply> =
    Channel("state", StatePush.serializer(), StatePushReply.serializer())
