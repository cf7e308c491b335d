/*
 * The entry VM's side of watching. It watches a few control VMs in different failure domains, replaces those that do
 * not reply or are out of contact with a leader, and merges their replies. Confined to the control thread.
 */
package fulmarshunt.entry.watch

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.document.ConfigurationFetcher
import fulmarshunt.entry.document.DecodeConfiguration
import fulmarshunt.entry.forward.Forwarder
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.Links
import fulmarshunt.process.ControlThread
import fulmarshunt.process.LimitedLog
import fulmarshunt.process.guardRound
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.Refusals
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.problemOrNull
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** How many control VMs an entry VM watches: one may be lost and another out of contact at the same time. */
private const val WATCHED_CONTROL_VMS = 3

/** How long the beginning of a reply may take beyond the time for which it waits for a change. */
private const val WATCH_MARGIN_MS = 700L

/** How long the watch that reports use waits for a change while this VM has none. */
private const val IDLE_HOLD_MS = 1_000L

/** How long the other watches wait, which serve to hear of changes and of the loss of a control VM. */
private const val SECOND_HOLD_MS = 2_000L

/** How often the view is updated without a change, so that targets that are no longer listed are removed. */
private const val PUBLISH_PERIOD_MS = 1_000L
private const val RETRY_PAUSE_MS = 100L

/** The minimum time between two calls to one control VM, which limits the number of calls for a series of changes. */
private const val MIN_WATCH_PERIOD_MS = 20L

/** How long a control VM that failed is not tried in place of one that replies but has no contact with a leader. */
private const val RETRY_FAILED_MS = 3_000L

/** How long a target that no watched control VM lists is kept; it covers several announcement periods. */
private const val UNLISTED_RETENTION_MS = 6_000L

/** The maximum number of refused causes that are logged at once. */
private const val MAX_LOGGED = 16

/** Watches control VMs and updates the view of [fleet]. */
public class FleetWatcher internal constructor(
    private val vm: VmId,
    private val seeds: () -> List<Address>,
    decode: DecodeConfiguration,
    private val fleet: Fleet,
    private val links: Links,
    private val control: ControlThread,
    private val clock: Clock,
    /** This VM as a forwarder, or null if it forwards nothing. */
    private val ownForwarder: Forwarder? = null,
) {
    private val log = LogManager.getLogger(FleetWatcher::class.java)
    private val isolationLog = LimitedLog(log)

    /** The state of one watched control VM. */
    private inner class Slot(val number: Int) {
        var address: Address? = null
        var source = ""
        var targetChange = 0L
        val targets = mutableMapOf<TargetId, ListedTarget>()
        var suspected = emptySet<Fingerprint>()
        var refused = emptySet<Fingerprint>()

        var use = emptyMap<TargetId, TargetUse>()
        var useNumber = 0L
        var controlsNumber = 0L
        var forwarders = emptyList<Forwarder>()
        var forwardersNumber = 0L
        var forwarderSentAtMs = Long.MIN_VALUE / 2

        /** The number of the last evidence that the control VM has received. */
        var evidenceNumber = 0L

        /** The process of the control VM that has received all crash reports that are kept, if it has. */
        var reportedTo = ""

        fun clear() {
            address = null
            source = ""
            targetChange = 0
            targets.clear()
            suspected = emptySet()
            refused = emptySet()
            use = emptyMap()
            useNumber = 0
            controlsNumber = 0
            forwarders = emptyList()
            forwardersNumber = 0
            forwarderSentAtMs = Long.MIN_VALUE / 2
            reportedTo = ""
            evidenceNumber = 0
        }
    }

    private val slots = List(WATCHED_CONTROL_VMS) { Slot(it) }
    private var controls = emptyList<Address>()
    private val failedAtMs = mutableMapOf<Address, Long>()
    private val knownTargets = mutableMapOf<TargetId, KnownTarget>()
    private val listedAtMs = mutableMapOf<TargetId, Long>()
    private var reportedUse = emptyMap<TargetId, TargetUse>()
    private var publishedAtMs = Long.MIN_VALUE / 2
    private val refusals = Refusals { fleet.crashes.soundAgesMs(it).keys }
    private val entryVmCount = EntryVmCount()
    private val viewState = MutableStateFlow(FleetView())
    private val configurations = ConfigurationFetcher(links, control, clock, decode, ::documentSources) {
        publish(viewState.value.copy(table = it))
    }

    private val forwarderState = MutableStateFlow(emptyList<Forwarder>())

    /** The other entry VMs that forward connections. */
    public val forwarders: StateFlow<List<Forwarder>> = forwarderState.asStateFlow()

    /** The number of control VMs that reply. May be read from any thread. */
    @Volatile
    public var watchedControlVms: Int = 0
        private set

    /** What control VMs list, without what targets have told this VM; [Fleet.views] has both. */
    public val views: StateFlow<FleetView> = viewState.asStateFlow()

    /** Starts watching. */
    public fun start() {
        slots.forEach { slot -> control.scope.launch { watch(slot) } }
        configurations.start()
    }

    private suspend fun watch(slot: Slot) {
        while (true) {
            var hasFailed = false
            val onFailure = { e: Exception ->
                hasFailed = true
                recordFailure(slot, e)
            }
            guardRound(onFailure) { watchOnce(slot) }
            if (hasFailed) delay(RETRY_PAUSE_MS)
        }
    }

    private suspend fun watchOnce(slot: Slot) {
        val startedAtMs = clock.nowMs()
        val address = slot.address ?: selectOrNull(slot)
        if (address == null) {
            delay(RETRY_PAUSE_MS)
            return
        }
        slot.address = address
        val isReporting = slot === reportingSlot()
        val holdMs = when {
            !isReporting -> SECOND_HOLD_MS
            fleet.isInUse.value -> WATCH_HOLD_MS
            else -> IDLE_HOLD_MS
        }
        val use = if (isReporting) fleet.use() else emptyMap()
        val sendsAllReports = slot.reportedTo.isEmpty()
        val crashAgesMs = fleet.crashes.reportAgesMs(sendsAllReports)
        val isForwarderDue = startedAtMs - slot.forwarderSentAtMs >= FORWARDER_RETENTION_MS / 2
        if (isForwarderDue) slot.forwarderSentAtMs = startedAtMs
        val request = Watch(
            vm,
            isReporting,
            use,
            crashAgesMs.keys.toList(),
            viewState.value.revision,
            slot.source,
            slot.targetChange,
            fleet.crashes.soundAgesMs(slot.suspected),
            crashAgesMs.values.toList(),
            fleet.unlistedLeaving(),
            holdMs,
            slot.useNumber,
            slot.controlsNumber,
            fleet.limits.heard(),
            ownForwarder.takeIf { isForwarderDue },
            slot.forwardersNumber,
            if (isReporting) fleet.versions.reportOrNull(vm, slot.evidenceNumber) else null,
            fetchesDocuments = true,
        )
        val reply = call(address, request, isEndedByUse = holdMs == IDLE_HOLD_MS)
        if (reply == null) {
            delay((startedAtMs + MIN_WATCH_PERIOD_MS - clock.nowMs()).coerceAtLeast(0))
            return
        }
        reply.onRight {
            if (sendsAllReports) slot.reportedTo = it.source
            // The control VM has restarted between two calls.
            if (slot.reportedTo != it.source) slot.reportedTo = ""
            request.evidence?.let { evidence -> slot.evidenceNumber = evidence.number }
            if (it.isCurrent) fleet.versions.recordContact()
        }
        reply.fold({ disconnect(slot, it.reason) }, { accept(slot, it, use.takeIf { isReporting }) })
        if (reply.isLeft()) delay(RETRY_PAUSE_MS)
        delay((startedAtMs + MIN_WATCH_PERIOD_MS - clock.nowMs()).coerceAtLeast(0))
    }

    /** Calls the control VM at [address]; returns null if [isEndedByUse] and there is use to report first. */
    private suspend fun call(
        address: Address,
        request: Watch,
        isEndedByUse: Boolean,
    ): Either<LinkFailure, WatchReply>? {
        val timeoutMs = request.holdMs + WATCH_MARGIN_MS
        if (!isEndedByUse) return links.call(address, watchChannel, request, timeoutMs, isExtended = true)
        return coroutineScope {
            val pending = async { links.call(address, watchChannel, request, timeoutMs, isExtended = true) }
            val used = async { fleet.isInUse.first { it } }
            select<Either<LinkFailure, WatchReply>?> {
                pending.onAwait { it }
                used.onAwait { null }
            }.also { coroutineContext.cancelChildren() }
        }
    }

    /** Leaves the control VM of [slot] after an exception; the view is not updated, because that may have caused it. */
    private fun recordFailure(slot: Slot, e: Exception) {
        log.error("watch failed address={} slot={}", slot.address, slot.number, e)
        slot.address?.let { failedAtMs[it] = clock.nowMs() }
        slot.clear()
        countWatched()
    }

    /** Returns the control VM that failed longest ago; ties are broken in a different order on each entry VM. */
    private fun selectOrNull(slot: Slot): Address? {
        val taken = slots.filter { it !== slot }.mapNotNull { it.address }
        val candidates = (controls.ifEmpty { seeds() } + seeds()).distinct() - taken.toSet()
        return candidates.minWithOrNull(compareBy({ failedAtMs[it] ?: 0L }, { (it.toString() + vm.value).hashCode() }))
    }

    private fun disconnect(slot: Slot, reason: String) {
        val address = slot.address ?: return
        // A warning only for a control VM that has replied before; the others may simply not be running.
        val level = if (slot.source.isEmpty()) Level.DEBUG else Level.WARN
        log.log(level, "control-vm lost address={} slot={} reason={}", address, slot.number, reason)
        failedAtMs[address] = clock.nowMs()
        refusals.keep(slot.refused)
        slot.clear()
        countWatched()
        if (watchedControlVms == 0) {
            isolationLog.log(Level.WARN, "no control-vm reached address=$address reason=$reason")
        }
        publish(viewState.value.copy(isInContact = watchedControlVms > 0))
    }

    /** Returns the slot whose control VM gets the use of targets; another one if that of the first slot is lost. */
    private fun reportingSlot(): Slot = slots.firstOrNull { it.source.isNotEmpty() } ?: slots.first()

    /** Accepts [reply]; [reported] is the use that it replies to, or null if the watch reported none. */
    private fun accept(slot: Slot, reply: WatchReply, reported: Map<TargetId, TargetUse>?) {
        if (slot.source != reply.source) {
            log.info("control-vm watched address={} slot={} targets={}", slot.address, slot.number, reply.targets.size)
            slot.targets.clear()
            // The control VM has restarted, so that it lacks what its former process received.
            if (slot.source.isNotEmpty()) slot.evidenceNumber = 0
            refusals.keep(slot.refused)
        }
        slot.source = reply.source
        countWatched()
        slot.targetChange = reply.targetChange
        reply.targets.filter(::isUsable).forEach { slot.targets[it.record.id] = it }
        slot.suspected = reply.suspected
        slot.refused = reply.refused
        if (reply.controls.isNotEmpty()) controls = reply.controls
        slot.controlsNumber = reply.controlsNumber
        receiveForwarders(slot, reply)
        fleet.recordLimits(reply.limits, isDirect = false)
        var view = viewState.value
        (reply.summary ?: reply.state?.toSummary())?.let { view = view.withState(it) }
        reply.state?.document?.let(configurations::receive)
        reply.summary?.document?.let { configurations.want(it, slot.address) }
        if (reported != null) view = view.copy(othersUse = receiveUse(slot, reply, reported))
        val refused = refusals.decide(slots.flatMapTo(mutableSetOf()) { it.refused }, clock.nowMs())
        logRefusals(view.refused, refused)
        val next = view.copy(
            entryVms = countEntryVms(reply, view.entryVms),
            refused = refused,
            isInContact = true,
        )
        val isPublishDue = clock.nowMs() - publishedAtMs >= PUBLISH_PERIOD_MS
        if (reply.targets.isEmpty() && next == viewState.value && !isPublishDue) fleet.retryWaiting() else publish(next)
        if (!reply.isCurrent && hasAlternative()) disconnect(slot, "it is out of contact with a leader")
    }

    /** Receives the forwarders that a control VM lists; without contact, the last known ones are kept. */
    private fun receiveForwarders(slot: Slot, reply: WatchReply) {
        slot.forwardersNumber = reply.forwardersNumber
        if (reply.forwarders.isEmpty()) return
        slot.forwarders = reply.forwarders
        val known = slots.flatMap { it.forwarders }.distinctBy { it.vm }.filter { it.vm != vm }
        if (known.size != forwarderState.value.size) log.info("forwarders changed count={}", known.size)
        forwarderState.value = known
    }

    private fun countEntryVms(reply: WatchReply, former: Int): Int {
        val nowMs = clock.nowMs()
        entryVmCount.receive(reply.entryVms, reply.isEntryCountComplete, nowMs)
        return entryVmCount.at(nowMs).also {
            if (it !=
                former
            ) {
                log.info("entry-vm count changed count={} former={} reported={}", it, former, reply.entryVms)
            }
        }
    }

    private fun countWatched() {
        watchedControlVms = slots.count { it.source.isNotEmpty() }
    }

    private fun isUsable(listed: ListedTarget): Boolean {
        val problem = listed.record.problemOrNull() ?: return true
        log.warn("target ignored id={} problem={}", listed.record.id, problem)
        return false
    }

    private fun logRefusals(before: Set<Fingerprint>, refused: Set<Fingerprint>) {
        val added = refused - before
        val lifted = before - refused
        if (added.isNotEmpty()) log.warn("causes refused count={} causes={}", added.size, added.take(MAX_LOGGED))
        if (lifted.isNotEmpty()) log.info("refusals lifted count={} causes={}", lifted.size, lifted.take(MAX_LOGGED))
    }

    /**
     * Returns whether there is another control VM that has not failed recently. Without this check, every control VM
     * would be disconnected during an election, when all are out of contact with a leader.
     */
    private fun hasAlternative(): Boolean {
        val sinceMs = clock.nowMs() - RETRY_FAILED_MS
        return (controls - slots.mapNotNull { it.address }.toSet()).any { (failedAtMs[it] ?: 0) < sinceMs }
    }

    private fun FleetView.withState(state: StateSummary): FleetView {
        if (state.revision <= revision) return this
        log.info(
            "state applied revision={} version={} drained={} rollouts={}",
            state.revision,
            state.document?.version,
            state.drained,
            state.rollouts.size,
        )
        return copy(revision = state.revision, drained = state.drained, rollouts = state.rollouts)
    }

    /** Returns the control VMs from which documents are fetched: those that reply to watches first. */
    private fun documentSources(): List<Address> =
        (slots.filter { it.source.isNotEmpty() }.mapNotNull { it.address } + controls.ifEmpty { seeds() }).distinct()

    /** Receives the total use, and returns the part of the other entry VMs. */
    private fun receiveUse(
        slot: Slot,
        reply: WatchReply,
        reported: Map<TargetId, TargetUse>,
    ): Map<TargetId, TargetUse> {
        if (reply.isUseChange && reply.use.isEmpty() && reported == reportedUse) return viewState.value.othersUse
        slot.use = if (reply.isUseChange) slot.use.withChanges(reply.use) else reply.use
        slot.useNumber = reply.useNumber
        return othersUse(slot.use).also { reportedUse = reported }
    }

    /** Returns the use of the other entry VMs: the total without the use that this VM had reported for it. */
    private fun othersUse(total: Map<TargetId, TargetUse>): Map<TargetId, TargetUse> = total.mapValues { (id, use) ->
        val own = reportedUse[id] ?: return@mapValues use
        use - own
    }

    private fun publish(view: FleetView) {
        publishedAtMs = clock.nowMs()
        val newest = mutableMapOf<TargetId, ListedTarget>()
        for (listed in slots.flatMap { it.targets.values }) {
            val other = newest[listed.record.id]
            val isNewer = other == null || listed.record.isNewerThan(other.record)
            val hasRecentContact = other != null && other.record.startedAtMs == listed.record.startedAtMs &&
                other.record.phase == listed.record.phase && other.isSilent && !listed.isSilent
            if (isNewer || hasRecentContact) newest[listed.record.id] = listed
        }
        newest.values.forEach { knownTargets[it.record.id] = merge(knownTargets[it.record.id], it) }
        removeUnlisted(newest.keys)
        val next = view.copy(targets = knownTargets.toMap())
        viewState.value = next
        fleet.update(next)
    }

    /** Removes targets that have been unlisted for a while. Control VMs that have just started do not list them yet. */
    private fun removeUnlisted(listed: Set<TargetId>) {
        val nowMs = clock.nowMs()
        if (slots.none { it.source.isNotEmpty() }) return
        listed.forEach { listedAtMs[it] = nowMs }
        knownTargets.keys.removeIf { nowMs - listedAtMs.getOrPut(it) { nowMs } > UNLISTED_RETENTION_MS }
        listedAtMs.keys.retainAll(knownTargets.keys)
    }

    private fun merge(previous: KnownTarget?, listed: ListedTarget): KnownTarget {
        if (previous?.record == listed.record) return previous.copy(isSilent = listed.isSilent)
        return KnownTarget(listed.record, listed.isSilent, clock.nowMs() + listed.record.coldForMs)
    }
}
