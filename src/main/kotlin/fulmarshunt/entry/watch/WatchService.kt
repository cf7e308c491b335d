/*
 * The control VM's side of watching: it replies to entry VMs, accepts announcements of targets, and exchanges the state
 * from both with the other control VMs. All state is soft state and confined to the control thread; the state that is
 * lost with a process is announced again within seconds.
 */
package fulmarshunt.entry.watch

import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import fulmarshunt.process.LimitedLog
import fulmarshunt.target.TargetInstance
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.TargetDirectory
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.problemOrNull
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.util.UUID

/** The maximum time that a watch waits for a change; it limits the age of the use that entry VMs know of each other. */
internal const val WATCH_HOLD_MS: Long = 200

/** How often control VMs exchange the use of targets. */
private const val EXCHANGE_PERIOD_MS = 200L

/** How often an exchange also contains the records of targets and the suspects. */
private const val REFRESH_PERIOD_MS = 1_000L

private const val EXCHANGE_TIMEOUT_MS = 500L

/** The maximum time that an acknowledgement waits until another control VM has received a change. */
private const val FORWARD_TIMEOUT_MS = 250L

/**
 * A control VM is isolated if it has had no successful exchange for this long with another one that entry VMs watch.
 * Exchanges are more frequent.
 */
private const val ISOLATED_AFTER_MS = 1_000L

/** How long a report of use is valid. */
private const val REPORT_VALID_MS = 2_000L

/** How long entry VMs are counted after their last watch, so that shares stay small while some are disconnected. */
private const val ENTRY_VM_RETENTION_MS = 30_000L

/** The maximum number of crash reports or causes that are logged at once. */
private const val MAX_LOGGED = 16

/** The collaborators of [WatchService]. */
internal class WatchServiceDependencies(
    val vm: VmId,
    val snapshots: StateFlow<ServingSnapshot>,
    /** The link addresses of all control VMs, this one included. */
    val controls: () -> List<Address>,
    val own: Address,
    /** Whether this VM is in contact with a leader. */
    val isCurrent: () -> Boolean,
    val directory: TargetDirectory,
)

/** Replies to watches and accepts announcements of targets. */
public class WatchService internal constructor(
    private val dependencies: WatchServiceDependencies,
    private val control: ControlThread,
    private val clock: Clock,
) {
    private val log = LogManager.getLogger(WatchService::class.java)
    private val contactLog = LimitedLog(log)
    private val source = UUID.randomUUID().toString()
    private val suspects = CrashReportTable()
    private val lastSuspectChange = MutableStateFlow(0L)

    private class Report(val use: Map<TargetId, TargetUse>, val atMs: Long)

    private val reportsOfEntryVms = mutableMapOf<VmId, Report>()
    private val reportsOfControlVms = mutableMapOf<VmId, Report>()
    private val entryVmsSeenAtMs = mutableMapOf<VmId, Long>()
    private var lastRefreshAtMs = 0L
    private var lastContactAtMs = Long.MIN_VALUE / 2
    private val reached = mutableSetOf<Address>()

    /** The number of other control VMs that replied to the last exchange with them. May be read from any thread. */
    @Volatile
    public var reachedControlVms: Int = 0
        private set

    @Volatile
    private var links: Links? = null

    /** Returns [base] with the handlers for entry VMs and other control VMs. */
    internal fun handlers(base: LinkHandlers): LinkHandlers = base
        .with(watchChannel) { _, watch -> withContext(control.dispatch) { replyTo(watch) } }
        .with(exchangeChannel) { _, exchange -> control.run { receive(exchange) } }

    /** Starts the state exchange with the other control VMs. */
    public fun start(links: Links) {
        this.links = links
        control.every(EXCHANGE_PERIOD_MS) {
            dependencies.directory.expire(clock.nowMs())
            exchangeState()
        }
    }

    /**
     * Accepts the announcement of a target and forwards it to the other control VMs.
     *
     * @return whether entry VMs will receive it. If not, the target must announce itself to another control VM, because
     * this one may be isolated from all others.
     */
    internal suspend fun announce(record: TargetRecord): Boolean {
        val isChange = control.run { dependencies.directory.receive(record, clock.nowMs()) }
        if (record.phase != TargetPhase.READY) return forwardAndAwait(record)
        if (isChange) forward(record)
        return control.run { isConnected() }
    }

    /** Records that a target has left, and returns whether entry VMs will receive this; see [announce]. */
    internal suspend fun leave(id: TargetId, startedAtMs: Long?): Boolean {
        val record = control.run { dependencies.directory.leave(id, startedAtMs, clock.nowMs()) }
        if (record != null) return forwardAndAwait(record)
        log.warn("target left id={} unknown here", id)
        return true
    }

    private fun isConnected(): Boolean =
        dependencies.isCurrent() || clock.nowMs() - lastContactAtMs < ISOLATED_AFTER_MS || otherControls().isEmpty()

    /** Starts to forward [record]; each call returns whether the receiver has it and is watched by entry VMs. */
    private fun forward(record: TargetRecord): List<Deferred<Boolean>> {
        val exchange = StateExchange(dependencies.vm, listOf(AgedRecord(record, 0)), emptyList(), null, null)
        return otherControls().map { address ->
            control.scope.async { exchangeWith(address, exchange)?.isCurrent == true }
        }
    }

    private suspend fun forwardAndAwait(record: TargetRecord): Boolean {
        val pending = forward(record).toMutableList()
        if (pending.isEmpty()) return true
        return withTimeoutOrNull(FORWARD_TIMEOUT_MS) {
            while (pending.isNotEmpty()) {
                val (call, isReceived) = select {
                    pending.forEach { call -> call.onAwait { call to it } }
                }
                if (isReceived) return@withTimeoutOrNull true
                pending -= call
            }
            false
        } ?: false
    }

    private suspend fun replyTo(watch: Watch): WatchReply {
        val nowMs = clock.nowMs()
        entryVmsSeenAtMs[watch.vm] = nowMs
        if (watch.isReporting) {
            reportsOfEntryVms[watch.vm] = Report(watch.use, nowMs)
        } else {
            reportsOfEntryVms.remove(watch.vm)
        }
        recordSuspects(withAges(watch.suspects, watch.suspectAgesMs))
        recordSound(watch.soundAgesMs)
        recordLeaving(watch.leaving)
        val change = if (watch.source == source) watch.targetChange else 0
        val knownSuspectChange = lastSuspectChange.value
        withTimeoutOrNull(WATCH_HOLD_MS) {
            combine(
                dependencies.snapshots,
                dependencies.directory.lastChange,
                lastSuspectChange,
            ) { state, targetChange, suspectChange ->
                state.revision > watch.revision || targetChange > change || suspectChange > knownSuspectChange
            }.first { it }
        }
        val state = dependencies.snapshots.value
        return WatchReply(
            isCurrent = dependencies.isCurrent(),
            state = state.takeIf { it.revision > watch.revision },
            source = source,
            targetChange = dependencies.directory.lastChange.value,
            targets = dependencies.directory.changedAfter(change),
            controls = dependencies.controls(),
            entryVms = entryVmsSeenAtMs.size,
            // An entry VM needs it from only one of the control VMs that it watches.
            use = if (watch.isReporting) totalUse(clock.nowMs()) else emptyMap(),
            refused = suspects.refused(),
            suspected = suspects.suspected(),
        )
    }

    private fun receive(exchange: StateExchange): StateExchangeReply {
        val nowMs = clock.nowMs()
        exchange.records.filter { isUsable(it.record) }
            .forEach { dependencies.directory.receive(it.record, nowMs, it.ageMs) }
        recordSuspects(withAges(exchange.suspects, exchange.suspectAgesMs))
        recordSound(exchange.soundAgesMs)
        dependencies.directory.receiveLeaving(exchange.leaving, nowMs)
        exchange.use?.let { reportsOfControlVms[exchange.vm] = Report(it, nowMs) }
        exchange.entryVms?.forEach { entryVmsSeenAtMs[it] = nowMs }
        return StateExchangeReply(dependencies.vm, dependencies.isCurrent())
    }

    /** Returns whether [record] is valid; a control VM of an older version passes on what it has accepted. */
    private fun isUsable(record: TargetRecord): Boolean {
        val problem = record.problemOrNull() ?: return true
        log.warn("target ignored id={} problem={}", record.id, problem)
        return false
    }

    private fun recordSuspects(reportedAgesMs: Map<CrashReport, Long>) {
        val added = suspects.receive(reportedAgesMs, clock.nowMs())
        if (added.isEmpty()) return
        lastSuspectChange.value += 1
        added.entries.take(MAX_LOGGED).forEach { (report, ageMs) ->
            log.warn(
                "suspect request={} target={} born={} ageMs={}",
                report.request,
                report.target,
                report.startedAtMs,
                ageMs,
            )
        }
        if (added.size > MAX_LOGGED) log.warn("suspects not logged count={}", added.size - MAX_LOGGED)
        val exchange = StateExchange(
            dependencies.vm,
            emptyList(),
            added.keys.toList(),
            null,
            null,
            suspectAgesMs = added.values.toList(),
        )
        otherControls().forEach { send(it, exchange) }
    }

    private fun recordSound(soundAgesMs: Map<Fingerprint, Long>) {
        val cleared = suspects.clear(soundAgesMs, clock.nowMs())
        if (cleared.isEmpty()) return
        lastSuspectChange.value += 1
        log.info("causes cleared count={} causes={}", cleared.size, cleared.keys.take(MAX_LOGGED))
        val exchange = StateExchange(dependencies.vm, emptyList(), emptyList(), null, null, cleared)
        otherControls().forEach { send(it, exchange) }
    }

    /** Records what targets have said to an entry VM, and forwards it so that the other entry VMs need not hear it too. */
    private fun recordLeaving(instances: Set<TargetInstance>) {
        val added = dependencies.directory.receiveLeaving(instances, clock.nowMs())
        if (added.isEmpty()) return
        val exchange = StateExchange(dependencies.vm, emptyList(), emptyList(), null, null, leaving = added)
        otherControls().forEach { send(it, exchange) }
    }

    private fun exchangeState() {
        val nowMs = clock.nowMs()
        entryVmsSeenAtMs.values.removeIf { nowMs - it > ENTRY_VM_RETENTION_MS }
        reportsOfEntryVms.values.removeIf { nowMs - it.atMs > REPORT_VALID_MS }
        reportsOfControlVms.values.removeIf { nowMs - it.atMs > REPORT_VALID_MS }
        reached.retainAll(otherControls().toSet())
        val isRefreshDue = nowMs - lastRefreshAtMs >= REFRESH_PERIOD_MS
        if (isRefreshDue) lastRefreshAtMs = nowMs
        val crashAgesMs = if (isRefreshDue) suspects.reportsToRepeat(nowMs) else emptyMap()
        val exchange = StateExchange(
            vm = dependencies.vm,
            records =
            if (isRefreshDue) dependencies.directory.announcedWithin(2 * REFRESH_PERIOD_MS, nowMs) else emptyList(),
            suspects = crashAgesMs.keys.toList(),
            use = sumOf(reportsOfEntryVms.values),
            entryVms = reportsOfEntryVms.keys.toSet(),
            soundAgesMs = if (isRefreshDue) suspects.soundAgesMs(nowMs) else emptyMap(),
            suspectAgesMs = crashAgesMs.values.toList(),
            leaving = if (isRefreshDue) dependencies.directory.leavingInstances() else emptySet(),
        )
        otherControls().forEach { send(it, exchange) }
    }

    private fun send(address: Address, exchange: StateExchange) {
        control.scope.launch { exchangeWith(address, exchange) }
    }

    private suspend fun exchangeWith(address: Address, exchange: StateExchange): StateExchangeReply? {
        val result = links?.call(address, exchangeChannel, exchange, EXCHANGE_TIMEOUT_MS) ?: return null
        recordContact(address, result.leftOrNull()?.reason)
        return result.getOrNull()?.also { if (it.isCurrent) lastContactAtMs = clock.nowMs() }
    }

    /** Logs a control VM that is reached for the first time or again, or that is lost; [problem] is null if it replied. */
    private fun recordContact(address: Address, problem: String?) {
        if (problem == null) {
            if (reached.add(address)) log.info("control-vm reached address={}", address)
        } else if (reached.remove(address)) {
            log.warn("control-vm lost address={} reason={}", address, problem)
        } else {
            contactLog.log(Level.WARN, "control-vm not reached address=$address reason=$problem")
        }
        reachedControlVms = reached.size
    }

    private fun otherControls(): List<Address> = dependencies.controls() - dependencies.own

    private fun totalUse(nowMs: Long): Map<TargetId, TargetUse> =
        sumOf((reportsOfEntryVms.values + reportsOfControlVms.values).filter { nowMs - it.atMs <= REPORT_VALID_MS })

    private fun sumOf(reports: Collection<Report>): Map<TargetId, TargetUse> {
        val sum = mutableMapOf<TargetId, TargetUse>()
        for (report in reports) {
            report.use.forEach { (target, use) -> sum[target] = (sum[target] ?: TargetUse.NONE) + use }
        }
        return sum
    }
}
