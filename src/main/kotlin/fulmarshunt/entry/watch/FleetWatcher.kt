/*
 * The entry VM's side of watching. It keeps watching a few control VMs in different failure domains, leaves those that
 * do not answer or are out of contact with a leader, and merges what they say. Confined to the control thread.
 */
package fulmarshunt.entry.watch

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.link.Links
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.TargetUse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** How many control VMs an entry VM watches: one may be lost and another out of contact at the same time. */
private const val WATCHED_CONTROL_VMS = 3
private const val WATCH_TIMEOUT_MS = 900L
private const val RETRY_PAUSE_MS = 100L

/** The least time between two calls to one control VM, so that a series of changes costs a bounded number of calls. */
private const val MIN_WATCH_PERIOD_MS = 20L

/** How long a control VM that failed is not preferred to one that works without contact to a leader. */
private const val RETRY_FAILED_MS = 3_000L

/** How long a target stays known that no watched control VM lists: several announcements. */
private const val FORGET_UNLISTED_MS = 6_000L

/** Turns a document into a configuration, or says why that is impossible. */
public typealias DecodeConfiguration = (ConfigurationDocument) -> Either<String, ServingConfiguration>

/** Watches control VMs and keeps the view of [fleet]. */
public class FleetWatcher internal constructor(
    private val vm: VmId,
    private val seeds: () -> List<Address>,
    private val decode: DecodeConfiguration,
    private val fleet: Fleet,
    private val links: Links,
    private val control: ControlThread,
    private val clock: Clock,
) {
    private val log = LogManager.getLogger(FleetWatcher::class.java)

    /** One watched control VM. */
    private inner class Slot(val number: Int) {
        var address: Address? = null
        var source = ""
        var targetChange = 0L
        val targets = mutableMapOf<TargetId, ListedTarget>()

        fun leave() {
            address = null
            source = ""
            targetChange = 0
            targets.clear()
        }
    }

    private val slots = List(WATCHED_CONTROL_VMS) { Slot(it) }
    private var controls = emptyList<Address>()
    private val failedAtMs = mutableMapOf<Address, Long>()
    private val known = mutableMapOf<TargetId, KnownTarget>()
    private val listedAtMs = mutableMapOf<TargetId, Long>()
    private var reportedUse = emptyMap<TargetId, TargetUse>()
    private val viewState = MutableStateFlow(FleetView())

    /** The newest view. */
    public val views: StateFlow<FleetView> = viewState.asStateFlow()

    /** Starts watching. */
    public fun start() {
        slots.forEach { slot -> control.scope.launch { watch(slot) } }
    }

    private suspend fun watch(slot: Slot) {
        while (true) {
            val startedAtMs = clock.nowMs()
            val address = slot.address ?: pick(slot)
            if (address == null) {
                delay(RETRY_PAUSE_MS)
                continue
            }
            slot.address = address
            val use = fleet.use()
            val request = Watch(
                vm,
                slot.number == 0,
                if (slot.number == 0) use else emptyMap(),
                fleet.crashReports(),
                viewState.value.revision,
                slot.source,
                slot.targetChange,
            )
            val reply = links.call(address, watchChannel, request, WATCH_TIMEOUT_MS)
            reply.fold({ lose(slot, it.reason) }, { take(slot, it, use) })
            if (reply.isLeft()) delay(RETRY_PAUSE_MS)
            delay((startedAtMs + MIN_WATCH_PERIOD_MS - clock.nowMs()).coerceAtLeast(0))
        }
    }

    /** Picks the control VM that failed longest ago, by an order of its own for each entry VM. */
    private fun pick(slot: Slot): Address? {
        val taken = slots.filter { it !== slot }.mapNotNull { it.address }
        val open = (controls.ifEmpty { seeds() } + seeds()).distinct() - taken.toSet()
        return open.minWithOrNull(compareBy({ failedAtMs[it] ?: 0L }, { (it.toString() + vm.value).hashCode() }))
    }

    private fun lose(slot: Slot, reason: String) {
        val address = slot.address ?: return
        // One line for each control VM that was watched; those that never answered are not news.
        val level = if (slot.source.isEmpty()) Level.DEBUG else Level.WARN
        log.log(level, "control-vm lost address={} slot={} reason={}", address, slot.number, reason)
        failedAtMs[address] = clock.nowMs()
        slot.leave()
        publish(viewState.value)
    }

    private suspend fun take(slot: Slot, reply: WatchReply, reported: Map<TargetId, TargetUse>) {
        if (slot.source != reply.source) {
            log.info("control-vm watched address={} slot={} targets={}", slot.address, slot.number, reply.targets.size)
            slot.targets.clear()
        }
        slot.source = reply.source
        slot.targetChange = reply.targetChange
        reply.targets.forEach { slot.targets[it.record.id] = it }
        controls = reply.controls
        val table = reply.state?.let { tableOf(it) }
        var view = viewState.value
        if (reply.state != null) view = view.after(reply.state, table)
        if (slot.number == 0) {
            view = view.copy(othersUse = othersUse(reply.use))
            reportedUse = reported
        }
        publish(view.copy(entryVms = reply.entryVms.coerceAtLeast(1), refused = reply.refused))
        if (!reply.isCurrent && hasUntried()) lose(slot, "it is out of contact with a leader")
    }

    /** Says whether a control VM is left that has not failed lately; while an election runs, all are out of contact. */
    private fun hasUntried(): Boolean {
        val sinceMs = clock.nowMs() - RETRY_FAILED_MS
        return (controls - slots.mapNotNull { it.address }.toSet()).any { (failedAtMs[it] ?: 0) < sinceMs }
    }

    private suspend fun tableOf(state: ServingSnapshot): RoutingTable? {
        val document = state.document ?: return null
        if (viewState.value.table?.configuration?.version == document.version) return viewState.value.table
        return withContext(Dispatchers.Default) {
            decode(document).fold(
                { problem ->
                    log.error("configuration unusable version={} problem={}", document.version, problem)
                    null
                },
                { RoutingTable(it) },
            )
        }
    }

    private fun FleetView.after(state: ServingSnapshot, table: RoutingTable?): FleetView {
        if (state.revision <= revision) return this
        log.info(
            "state applied revision={} version={} drained={}",
            state.revision,
            state.document?.version,
            state.drained,
        )
        return copy(revision = state.revision, drained = state.drained, table = table ?: this.table)
    }

    /** What the others use: the sum of all without what this VM had reported when the sum was made. */
    private fun othersUse(total: Map<TargetId, TargetUse>): Map<TargetId, TargetUse> = total.mapValues { (id, use) ->
        val own = reportedUse[id] ?: return@mapValues use
        TargetUse(
            (use.running - own.running).coerceAtLeast(0),
            (use.tokens - own.tokens).coerceAtLeast(0),
            (use.unreadTokens - own.unreadTokens).coerceAtLeast(0),
        )
    }

    private fun publish(view: FleetView) {
        val newest = mutableMapOf<TargetId, ListedTarget>()
        for (listed in slots.flatMap { it.targets.values }) {
            val other = newest[listed.record.id]
            val isNewer = other == null || listed.record.isNewerThan(other.record)
            val isLivelier = other != null && other.record.startedAtMs == listed.record.startedAtMs &&
                other.record.phase == listed.record.phase && other.isSilent && !listed.isSilent
            if (isNewer || isLivelier) newest[listed.record.id] = listed
        }
        newest.values.forEach { known[it.record.id] = merge(known[it.record.id], it) }
        forgetUnlisted(newest.keys)
        val next = view.copy(targets = known.toMap())
        viewState.value = next
        fleet.update(next)
    }

    /** Control VMs that have just started do not yet list the targets, so that an unlisted one stays for a while. */
    private fun forgetUnlisted(listed: Set<TargetId>) {
        val nowMs = clock.nowMs()
        if (slots.none { it.source.isNotEmpty() }) return
        listed.forEach { listedAtMs[it] = nowMs }
        known.keys.removeIf { nowMs - listedAtMs.getOrPut(it) { nowMs } > FORGET_UNLISTED_MS }
        listedAtMs.keys.retainAll(known.keys)
    }

    private fun merge(former: KnownTarget?, listed: ListedTarget): KnownTarget {
        if (former?.record == listed.record) return former.copy(isSilent = listed.isSilent)
        return KnownTarget(listed.record, listed.isSilent, clock.nowMs() + listed.record.coldForMs)
    }
}
