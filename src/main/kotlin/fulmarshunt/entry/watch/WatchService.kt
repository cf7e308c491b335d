/*
 * The control VM's side of watching: it answers entry VMs, takes announcements of targets, and exchanges both with the
 * other control VMs. All state is soft and confined to the control thread; what is lost with a process is announced
 * again within seconds.
 */
package fulmarshunt.entry.watch

import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.TargetDirectory
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.TargetUse
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
import org.apache.logging.log4j.LogManager
import java.util.UUID

/** The longest time that a watch waits for a change; it bounds the age of what entry VMs know of each other's use. */
internal const val WATCH_HOLD_MS: Long = 200

/** How often control VMs exchange use and refresh records. */
private const val EXCHANGE_PERIOD_MS = 200L
private const val REFRESH_PERIOD_MS = 1_000L
private const val EXCHANGE_TIMEOUT_MS = 500L

/** The longest time that an acknowledgement waits for another control VM to have a change. */
private const val PASS_ON_LIMIT_MS = 250L

/** A control VM that has reached none that entry VMs watch for this long is isolated; exchanges are more frequent. */
private const val ISOLATED_AFTER_MS = 1_000L

/** Reports older than this no longer count. */
private const val REPORT_LIFE_MS = 2_000L

/** Entry VMs count for this long after their last report, so that shares stay small while some are cut off. */
private const val ENTRY_VM_LIFE_MS = 30_000L

/** What the watch service needs of the rest of a control VM. */
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

/** Answers watches and takes announcements. */
public class WatchService internal constructor(
    private val parts: WatchServiceDependencies,
    private val control: ControlThread,
    private val clock: Clock,
) {
    private val log = LogManager.getLogger(WatchService::class.java)
    private val source = UUID.randomUUID().toString()
    private val suspects = CrashReportTable()
    private val suspectChange = MutableStateFlow(0L)

    private class Report(val use: Map<TargetId, TargetUse>, val atMs: Long)

    private val reportsOfEntryVms = mutableMapOf<VmId, Report>()
    private val reportsOfControlVms = mutableMapOf<VmId, Report>()
    private val entryVmsSeenAtMs = mutableMapOf<VmId, Long>()
    private var lastRefreshAtMs = 0L
    private var reachedCurrentAtMs = Long.MIN_VALUE / 2

    @Volatile
    private var links: Links? = null

    /** Returns [base] with the handlers for entry VMs and other control VMs. */
    internal fun handlers(base: LinkHandlers): LinkHandlers = base
        .with(watchChannel) { _, watch -> withContext(control.dispatch) { answer(watch) } }
        .with(exchangeChannel) { _, exchange -> control.run { receive(exchange) } }

    /** Starts the exchange with other control VMs. */
    public fun start(links: Links) {
        this.links = links
        control.every(EXCHANGE_PERIOD_MS) {
            parts.directory.expire(clock.nowMs())
            exchangeUse()
        }
    }

    /**
     * Takes what a target said of itself and passes it on.
     *
     * @return whether entry VMs will hear of it. If not, the target must turn to another control VM, because this one
     * may be cut off from all others.
     */
    internal suspend fun announce(record: TargetRecord): Boolean {
        val isChange = control.run { parts.directory.receive(record, clock.nowMs()) }
        if (record.phase != TargetPhase.READY) return passOnAwaited(record)
        if (isChange) passOn(record)
        return control.run { isReached() }
    }

    /** Notes that a target has left, and returns whether entry VMs will hear of it. */
    internal suspend fun leave(id: TargetId, startedAtMs: Long?): Boolean {
        val record = control.run { parts.directory.leave(id, startedAtMs, clock.nowMs()) }
        if (record != null) return passOnAwaited(record)
        log.warn("target left id={} unknown here", id)
        return true
    }

    private fun isReached(): Boolean =
        parts.isCurrent() || clock.nowMs() - reachedCurrentAtMs < ISOLATED_AFTER_MS || others().isEmpty()

    /** Starts to pass [record] on; each call returns whether a control VM has it that entry VMs watch. */
    private fun passOn(record: TargetRecord): List<Deferred<Boolean>> {
        val exchange = StateExchange(parts.vm, listOf(AgedRecord(record, 0)), emptyList(), null, null)
        return others().map { address -> control.scope.async { exchangeWith(address, exchange)?.isCurrent == true } }
    }

    private suspend fun passOnAwaited(record: TargetRecord): Boolean {
        val pending = passOn(record).toMutableList()
        if (pending.isEmpty()) return true
        return withTimeoutOrNull(PASS_ON_LIMIT_MS) {
            while (pending.isNotEmpty()) {
                val (call, isTaken) = select {
                    pending.forEach { call -> call.onAwait { call to it } }
                }
                if (isTaken) return@withTimeoutOrNull true
                pending -= call
            }
            false
        } ?: false
    }

    private suspend fun answer(watch: Watch): WatchReply {
        val nowMs = clock.nowMs()
        entryVmsSeenAtMs[watch.vm] = nowMs
        if (watch.isReporting) {
            reportsOfEntryVms[watch.vm] = Report(watch.use, nowMs)
        } else {
            reportsOfEntryVms.remove(watch.vm)
        }
        takeSuspects(watch.suspects)
        val change = if (watch.source == source) watch.targetChange else 0
        val knownSuspects = suspectChange.value
        withTimeoutOrNull(WATCH_HOLD_MS) {
            combine(parts.snapshots, parts.directory.lastChange, suspectChange) { state, lastChange, suspectNumber ->
                state.revision > watch.revision || lastChange > change || suspectNumber > knownSuspects
            }.first { it }
        }
        val state = parts.snapshots.value
        return WatchReply(
            isCurrent = parts.isCurrent(),
            state = state.takeIf { it.revision > watch.revision },
            source = source,
            targetChange = parts.directory.lastChange.value,
            targets = parts.directory.changedAfter(change),
            controls = parts.controls(),
            entryVms = entryVmsSeenAtMs.size,
            // One of the watched control VMs is enough to learn it from.
            use = if (watch.isReporting) totalUse(clock.nowMs()) else emptyMap(),
            refused = suspects.refused(),
        )
    }

    private fun receive(exchange: StateExchange): StateExchangeReply {
        val nowMs = clock.nowMs()
        exchange.records.forEach { parts.directory.receive(it.record, nowMs, it.ageMs) }
        takeSuspects(exchange.suspects)
        exchange.use?.let { reportsOfControlVms[exchange.vm] = Report(it, nowMs) }
        exchange.entryVms?.forEach { entryVmsSeenAtMs[it] = nowMs }
        return StateExchangeReply(parts.vm, parts.isCurrent())
    }

    private fun takeSuspects(reported: List<CrashReport>) {
        val fresh = suspects.receive(reported, clock.nowMs())
        if (fresh.isEmpty()) return
        suspectChange.value += 1
        fresh.forEach { log.warn("suspect request={} target={} born={}", it.request, it.target, it.startedAtMs) }
        val exchange = StateExchange(parts.vm, emptyList(), fresh, null, null)
        others().forEach { send(it, exchange) }
    }

    private fun exchangeUse() {
        val nowMs = clock.nowMs()
        entryVmsSeenAtMs.values.removeIf { nowMs - it > ENTRY_VM_LIFE_MS }
        reportsOfEntryVms.values.removeIf { nowMs - it.atMs > REPORT_LIFE_MS }
        reportsOfControlVms.values.removeIf { nowMs - it.atMs > REPORT_LIFE_MS }
        val isRefreshDue = nowMs - lastRefreshAtMs >= REFRESH_PERIOD_MS
        if (isRefreshDue) lastRefreshAtMs = nowMs
        val exchange = StateExchange(
            vm = parts.vm,
            records = if (isRefreshDue) parts.directory.announcedWithin(2 * REFRESH_PERIOD_MS, nowMs) else emptyList(),
            suspects = if (isRefreshDue) suspects.all() else emptyList(),
            use = sumOf(reportsOfEntryVms.values),
            entryVms = reportsOfEntryVms.keys.toSet(),
        )
        others().forEach { send(it, exchange) }
    }

    private fun send(address: Address, exchange: StateExchange) {
        control.scope.launch { exchangeWith(address, exchange) }
    }

    private suspend fun exchangeWith(address: Address, exchange: StateExchange): StateExchangeReply? {
        val result = links?.call(address, exchangeChannel, exchange, EXCHANGE_TIMEOUT_MS) ?: return null
        result.onLeft { log.debug("exchange to={} failed reason={}", address, it.reason) }
        return result.getOrNull()?.also { if (it.isCurrent) reachedCurrentAtMs = clock.nowMs() }
    }

    private fun others(): List<Address> = parts.controls() - parts.own

    private fun totalUse(nowMs: Long): Map<TargetId, TargetUse> =
        sumOf((reportsOfEntryVms.values + reportsOfControlVms.values).filter { nowMs - it.atMs <= REPORT_LIFE_MS })

    private fun sumOf(reports: Collection<Report>): Map<TargetId, TargetUse> {
        val sum = mutableMapOf<TargetId, TargetUse>()
        for (report in reports) {
            report.use.forEach { (target, use) -> sum[target] = (sum[target] ?: TargetUse.NONE) + use }
        }
        return sum
    }
}
