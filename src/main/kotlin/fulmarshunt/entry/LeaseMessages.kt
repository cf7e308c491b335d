/*
 * The calls from an entry VM to the control leader, and the replies. A renewal names the last log entry that the VM has
 * applied, and the reply contains the changes since then. Between renewals the leader pushes changes on [stateChannel].
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

/** How long a lease is valid for the entry VM, from the moment it sent the renewal. */
public const val LEASE_MS: Long = 3_000

/** How much longer the leader waits, to allow for clock drift and for the time to withdraw a grant. */
public const val LEASE_MARGIN_MS: Long = 300

/** The time between two renewals; two may be lost before the lease expires. */
public const val LEASE_RENEWAL_MS: Long = 1_000

/** A call from an entry VM to the control leader. */
@Serializable
public sealed interface LeaseCall

/** Requests a lease or extends it. */
@Serializable
@SerialName("renew")
public data class RenewLease(
    public val vm: EntryVm,
    public val applied: LogIndex,
    /** Pools to which the VM has stopped admission for a graceful shutdown. */
    public val released: List<PoolId> = emptyList(),
    /** True during a graceful shutdown; the VM gets no new pools. */
    public val isShuttingDown: Boolean = false,
) : LeaseCall

/** Releases the lease at the end of a graceful shutdown. */
@Serializable
@SerialName("release")
public data class ReleaseLease(public val vm: EntryVm) : LeaseCall

/** Reports that [target] crashed while the requests in [running] ran on it; the reply is [ReportRecorded]. */
@Serializable
@SerialName("death")
public data class ReportTargetCrash(
    public val pool: PoolId,
    public val fence: FencingNumber,
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val running: List<Fingerprint>,
    /** Those of [running] that were placed before their last crash was known; see [CrashHistory.record]. */
    public val alreadyCounted: Set<Fingerprint> = emptySet(),
) : LeaseCall

/** The reply to a [LeaseCall]. */
@Serializable
public sealed interface LeaseReply

/** The lease is valid for [LEASE_MS] from the moment the renewal was sent. */
@Serializable
@SerialName("granted")
public data class LeaseGranted(
    public val term: Term,
    /** The complete state, if the VM is too far behind to catch up with changes. */
    public val snapshot: SharedState? = null,
    public val changes: List<IndexedChanges> = emptyList(),
    /** True if an operator has requested a graceful shutdown of the VM. */
    public val shutdownRequested: Boolean = false,
) : LeaseReply

/** The lease was released. */
@Serializable
@SerialName("released")
public data object LeaseReleased : LeaseReply

/** The report is committed. */
@Serializable
@SerialName("recorded")
public data object ReportRecorded : LeaseReply

/** The process that received the call is not the leader; [leader] is, if known. */
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
