/*
 * What entry VMs and control VMs tell each other: an entry VM asks for what changed and says what it uses; the answer
 * comes when something changed, or after a short time. Control VMs pass on to each other what they alone have heard.
 */
package fulmarshunt.entry.watch

import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.link.Channel
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.TargetUse
import kotlinx.serialization.Serializable

/** What an entry VM has from a control VM, and what it tells it. */
@Serializable
internal data class Watch(
    val vm: VmId,
    /** Whether this control VM shall pass on what the entry VM uses; one of the watched ones does. */
    val isReporting: Boolean,
    val use: Map<TargetId, TargetUse>,
    val suspects: List<CrashReport>,
    val revision: LogIndex,
    /** The process of the control VM whose changes [targetChange] numbers. */
    val source: String,
    val targetChange: Long,
)

/** What has changed since a [Watch]. */
@Serializable
internal data class WatchReply(
    /** False if the control VM knows no leader, so that it may lack changes. */
    val isCurrent: Boolean,
    /** Present if it is newer than what the entry VM has. */
    val state: ServingSnapshot?,
    val source: String,
    val targetChange: Long,
    val targets: List<ListedTarget>,
    val controls: List<Address>,
    /** The number of entry VMs, at least. */
    val entryVms: Int,
    /** The use of all entry VMs together, if the entry VM reports its own to this control VM. */
    val use: Map<TargetId, TargetUse>,
    val refused: Set<Fingerprint>,
)

/** What one control VM passes on to the others. */
@Serializable
internal data class StateExchange(
    val vm: VmId,
    val records: List<AgedRecord>,
    val suspects: List<CrashReport>,
    /** What the entry VMs use that report to the sender. */
    val use: Map<TargetId, TargetUse>?,
    /** The entry VMs that report to the sender. */
    val entryVms: Set<VmId>?,
)

/** The answer to an [StateExchange]. */
@Serializable
internal data class StateExchangeReply(
    val vm: VmId,
    /** Whether this control VM is in contact with a leader, so that entry VMs watch it. */
    val isCurrent: Boolean,
)

internal val watchChannel: Channel<Watch, WatchReply> = Channel("watch", Watch.serializer(), WatchReply.serializer())

internal val exchangeChannel: Channel<StateExchange, StateExchangeReply> =
    Channel("exchange", StateExchange.serializer(), StateExchangeReply.serializer())
