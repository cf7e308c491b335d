/*
 * The messages of watching. An entry VM requests the changes since its last watch and reports its use of targets; the
 * reply is sent as soon as there is a change, or after a short time. Control VMs exchange the records and reports that
 * they have received.
 */
package fulmarshunt.entry.watch

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.document.DocumentReference
import fulmarshunt.entry.forward.Forwarder
import fulmarshunt.link.Channel
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.target.TargetInstance
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.LimitStatement
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.rollout.EvidenceReport
import kotlinx.serialization.Serializable

/** The state that an entry VM has received from a control VM, and the reports of the entry VM. */
@Serializable
internal data class Watch(
    val vm: VmId,
    /** Whether [use] is reported to this control VM, which shares it with the others; one of the watched ones does. */
    val isReporting: Boolean,
    val use: Map<TargetId, TargetUse>,
    val suspects: List<CrashReport>,
    val revision: LogIndex,
    /** The process of the control VM whose changes [targetChange] numbers. */
    val source: String,
    val targetChange: Long,
    /** The suspected causes that are sound, with the time since a run at this entry VM last showed it. */
    val soundAgesMs: Map<Fingerprint, Long> = emptyMap(),
    /** The time since each crash of [suspects] was noticed, in their order; older versions send none. */
    val suspectAgesMs: List<Long> = emptyList(),
    /** Targets that have said that they are leaving, but are listed as ready. */
    val leaving: Set<TargetInstance> = emptySet(),
    /** How long the reply may wait for a change. */
    val holdMs: Long = WATCH_HOLD_MS,
    /** The number of the last [WatchReply.use] received from [source]; null asks for the use of all targets. */
    val useNumber: Long? = null,
    /** The number of the last [WatchReply.controls] that was received from [source]. */
    val controlsNumber: Long = 0,
    /** What targets have said to the entry VM of their limits. */
    val limits: List<LimitStatement> = emptyList(),
    /** The entry VM as a forwarder, until the control VM has it; null also if it forwards nothing. */
    val forwarder: Forwarder? = null,
    /** The number of the last [WatchReply.forwarders] that was received from [source]. */
    val forwardersNumber: Long = 0,
    /** What the entry VM has observed in running roll-outs; null if nothing, or if the control VM has it. */
    val evidence: EvidenceReport? = null,
    /** Whether the entry VM fetches documents by their references; older versions do not. */
    val fetchesDocuments: Boolean = false,
)

/** The changes since a [Watch]. */
@Serializable
internal data class WatchReply(
    /** False if the control VM has no contact with a leader, so that it may lack changes. */
    val isCurrent: Boolean,
    /** The state with its document, if it is newer than [Watch.revision] and not [Watch.fetchesDocuments]. */
    val state: ServingSnapshot?,
    val source: String,
    val targetChange: Long,
    val targets: List<ListedTarget>,
    /** All control VMs, or none if they have not changed since the last reply. */
    val controls: List<Address>,
    /** The number of known entry VMs; there may be more. */
    val entryVms: Int,
    /** The total use of all entry VMs, if [Watch.isReporting]; only what has changed, if [isUseChange]. */
    val use: Map<TargetId, TargetUse>,
    val refused: Set<Fingerprint>,
    /** The causes that were present at several crashes; entry VMs that know them to be sound say so. */
    val suspected: Set<Fingerprint> = emptySet(),
    /** Whether [use] has only the targets whose use differs from that of number [Watch.useNumber]. */
    val isUseChange: Boolean = false,
    val useNumber: Long = 0,
    val controlsNumber: Long = 0,
    /** Whether [entryVms] has all entry VMs in contact; false from older versions, which do not say it. */
    val isEntryCountComplete: Boolean = false,
    /** What targets have said to any entry VM of their limits. */
    val limits: List<LimitStatement> = emptyList(),
    /** All forwarders, or none if they have not changed since the last reply. */
    val forwarders: List<Forwarder> = emptyList(),
    val forwardersNumber: Long = 0,
    /** The state without its document, if it is newer than [Watch.revision] and [Watch.fetchesDocuments]. */
    val summary: StateSummary? = null,
)

/** The durable state of a deployment, with a reference in place of the document. */
@Serializable
internal data class StateSummary(
    val revision: LogIndex,
    val document: DocumentReference?,
    val drained: Set<FailureDomainId>,
    val rollouts: Map<ServiceId, Rollout>,
)

/** Returns this state with a reference in place of its document. */
internal fun ServingSnapshot.toSummary(): StateSummary = StateSummary(
    revision,
    document?.let { DocumentReference(it.version, it.digest, it.bytes.size) },
    drained,
    rollouts,
)

/** The records and reports that one control VM sends to the others. */
@Serializable
internal data class StateExchange(
    val vm: VmId,
    val records: List<AgedRecord>,
    val suspects: List<CrashReport>,
    /** The total use of the entry VMs that report to the sender; null if this exchange says nothing of it. */
    val use: Map<TargetId, TargetUse>?,
    /** The entry VMs that report to the sender. */
    val entryVms: Set<VmId>?,
    /** Causes of crash reports that are sound, with the time since a run last showed it. */
    val soundAgesMs: Map<Fingerprint, Long> = emptyMap(),
    /** The time since each crash of [suspects] was noticed, in their order; older versions send none. */
    val suspectAgesMs: List<Long> = emptyList(),
    /** Targets that have said to entry VMs that they are leaving. */
    val leaving: Set<TargetInstance> = emptySet(),
    /** The number of the use that [use] changes, in the process [source] of the sender; null if [use] is complete. */
    val useChanges: Long? = null,
    val useNumber: Long = 0,
    val source: String = "",
    /** What targets have said of their limits to entry VMs that watch the sender. */
    val limits: List<LimitStatement> = emptyList(),
    /** The forwarders that have told the sender of themselves; none if the receiver has those of [forwardersNumber]. */
    val forwarders: List<Forwarder> = emptyList(),
    /** The number of the forwarders in the process [source] of the sender; 0 if this exchange says nothing of them. */
    val forwardersNumber: Long = 0,
    /** What entry VMs that watch the sender have observed in running roll-outs. */
    val evidence: List<EvidenceReport> = emptyList(),
)

/** The reply to a [StateExchange]. */
@Serializable
internal data class StateExchangeReply(
    val vm: VmId,
    /** Whether the replying control VM is in contact with a leader, so that entry VMs watch it. */
    val isCurrent: Boolean,
    /** Whether the receiver now has the use that was sent. */
    val hasUse: Boolean = true,
    /** The number of the forwarders of the sender that the receiver has. */
    val forwardersNumber: Long = 0,
)

/** Returns [reports] with their ages, which are 0 if [agesMs] does not have them. */
internal fun withAges(reports: List<CrashReport>, agesMs: List<Long>): Map<CrashReport, Long> =
    reports.withIndex().associate { (index, report) -> report to (agesMs.getOrNull(index) ?: 0L) }

internal val watchChannel: Channel<Watch, WatchReply> = Channel("watch", Watch.serializer(), WatchReply.serializer())

internal val exchangeChannel: Channel<StateExchange, StateExchangeReply> =
    Channel("exchange", StateExchange.serializer(), StateExchangeReply.serializer())
