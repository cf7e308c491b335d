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
import fulmarshunt.operator.rollout.EvidenceTable
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import fulmarshunt.target.TargetInstance
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.LimitStatement
import fulmarshunt.target.fleet.NamedLimits
import fulmarshunt.target.fleet.TargetDirectory
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.problemOrNull
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import java.util.UUID

/**
 * How long a watch that reports use waits for a change; it limits the age of the use that entry VMs know of each other.
 */
internal const val WATCH_HOLD_MS: Long = 200

/** The maximum time that a watch may wait for a change. */
private const val MAX_HOLD_MS = 2_000L

/** How often control VMs exchange the use of targets, if it has changed. */
private const val EXCHANGE_PERIOD_MS = 200L

/** How often an exchange takes place in any case, with the records of targets and the suspects. */
private const val REFRESH_PERIOD_MS = 1_000L

/**
 * How many refreshes pass from one that has the records of all targets to the next; the others have the records that
 * targets announced to the sender. With more, a target that is heard only beyond a cut would count as silent.
 */
private const val REFRESHES_PER_RELAY = 3

/** The age at which the total use is computed anew; replies within this time share it. */
private const val TOTAL_USE_AGE_MS = 50L

private const val EXCHANGE_TIMEOUT_MS = 500L

/** The maximum time that an acknowledgement waits until another control VM has received a change. */
private const val FORWARD_TIMEOUT_MS = 250L

/**
 * A control VM is isolated if it has had no successful exchange for this long with another one that entry VMs watch.
 * Exchanges are more frequent.
 */
private const val ISOLATED_AFTER_MS = 1_500L

/** How long a report of use is valid. */
private const val REPORT_VALID_MS = 2_000L

/** How long the use that was sent to an entry VM is kept after its last watch. */
private const val SENT_USE_RETENTION_MS = 30_000L

/**
 * The refreshes in contact with a leader after which the count of entry VMs is complete. In this time, entry VMs turn
 * to this control VM or to another one, which takes the longest watch, and the refreshes of the other one arrive.
 */
private const val COMPLETE_AFTER_REFRESHES = 5

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
    /** What entry VMs have observed in running roll-outs. */
    val evidence: EvidenceTable = EvidenceTable(),
)

/** Replies to watches and accepts announcements of targets. */
public class WatchService internal constructor(
    private val dependencies: WatchServiceDependencies,
    private val control: ControlThread,
    private val clock: Clock,
) {
    private val log = LogManager.getLogger(WatchService::class.java)
    private val source = UUID.randomUUID().toString()
    private val suspects = CrashReportTable()
    private val lastSuspectChange = MutableStateFlow(0L)
    private val limits = NamedLimits()
    private val lastLimitChange = MutableStateFlow(0L)

    private class Report(
        val use: Map<TargetId, TargetUse>,
        val atMs: Long,
        val number: Long = 0,
        val source: String = "",
    )

    /** Another control VM, as the receiver of the use of targets. */
    private class Peer {
        val sent = SentUse()
        var received: Long? = null

        /** The number of the forwarders that it has. */
        var forwardersNumber = 0L
        var isCalled = false
    }

    private val reportsOfEntryVms = mutableMapOf<VmId, Report>()
    private val reportsOfControlVms = mutableMapOf<VmId, Report>()
    private val entryVmsSeenAtMs = mutableMapOf<VmId, Long>()
    private val forwarders = ForwarderDirectory()
    private val sentToEntryVms = mutableMapOf<VmId, SentUse>()
    private val peers = mutableMapOf<Address, Peer>()
    private var lastRefreshAtMs = 0L
    private var refreshes = 0L
    private var refreshesInContact = 0
    private var totalUse = emptyMap<TargetId, TargetUse>()
    private var totalUseAtMs = Long.MIN_VALUE / 2
    private var controls = emptyList<Address>()
    private var controlsNumber = 0L

    /** Counts what watches may wait for, so that each needs to observe only this. */
    private val news = MutableStateFlow(0L)
    private var wasCurrent = false
    private var lastContactAtMs = Long.MIN_VALUE / 2
    private val contacts = ControlContacts()

    /** The number of other control VMs that replied to the last exchange with them. May be read from any thread. */
    public val reachedControlVms: Int get() = contacts.reachedCount

    @Volatile
    private var links: Links? = null

    /** Returns [base] with the handlers for entry VMs and other control VMs. */
    internal fun handlers(base: LinkHandlers): LinkHandlers = base
        .with(watchChannel) { _, watch -> withContext(control.dispatch) { replyTo(watch) } }
        .with(exchangeChannel) { _, exchange -> control.run { receive(exchange) } }

    /** Starts the state exchange with the other control VMs. */
    public fun start(links: Links) {
        this.links = links
        val sources =
            listOf(dependencies.snapshots, dependencies.directory.lastChange, lastSuspectChange, lastLimitChange)
        sources.forEach { source -> control.scope.launch { source.collect { news.value += 1 } } }
        control.every(EXCHANGE_PERIOD_MS) {
            dependencies.directory.expire(clock.nowMs())
            noticeContact()
            exchangeState()
        }
    }

    /** Ends the waits of watches when this VM gains or loses contact with a leader. */
    private fun noticeContact() {
        val isCurrent = dependencies.isCurrent()
        if (isCurrent != wasCurrent) news.value += 1
        wasCurrent = isCurrent
    }

    /**
     * Accepts the announcement of a target and forwards it to the other control VMs.
     *
     * @return whether entry VMs will receive it. If not, the target must announce itself to another control VM, because
     * this one may be isolated from all others.
     */
    internal suspend fun announce(record: TargetRecord): Boolean {
        val isChange = control.run { dependencies.directory.receive(record, clock.nowMs(), isDirect = true) }
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
        watch.forwarder?.takeIf { it.vm == watch.vm }?.let(forwarders::receive)
        recordSuspects(withAges(watch.suspects, watch.suspectAgesMs))
        recordSound(watch.soundAgesMs)
        recordLeaving(watch.leaving)
        recordLimits(watch.limits, isDirect = true)
        watch.evidence?.takeIf { it.vm == watch.vm }?.let { dependencies.evidence.receive(it, isDirect = true) }
        val isKnown = watch.source == source
        val change = if (isKnown) watch.targetChange else 0
        val knownSuspectChange = lastSuspectChange.value
        val knownLimitChange = lastLimitChange.value
        val isCurrent = dependencies.isCurrent()
        withTimeoutOrNull(watch.holdMs.coerceIn(0, MAX_HOLD_MS)) {
            news.first {
                dependencies.snapshots.value.revision > watch.revision ||
                    dependencies.directory.lastChange.value > change ||
                    lastSuspectChange.value > knownSuspectChange ||
                    lastLimitChange.value > knownLimitChange ||
                    dependencies.isCurrent() != isCurrent
            }
        }
        return replyNow(watch, change, isKnown)
    }

    private fun replyNow(watch: Watch, change: Long, isKnown: Boolean): WatchReply {
        val state = dependencies.snapshots.value
        val isNews = state.revision > watch.revision
        numberControls()
        val useMessage = if (watch.isReporting) {
            sentToEntryVms.getOrPut(watch.vm) { SentUse() }
                .messageFor(watch.useNumber.takeIf { isKnown }, totalUse(clock.nowMs()))
        } else {
            null
        }
        return WatchReply(
            isCurrent = dependencies.isCurrent(),
            state = state.takeIf { isNews && !watch.fetchesDocuments },
            summary = if (isNews && watch.fetchesDocuments) state.toSummary() else null,
            source = source,
            targetChange = dependencies.directory.lastChange.value,
            targets = dependencies.directory.changedAfter(change),
            controls = if (isKnown && watch.controlsNumber == controlsNumber) emptyList() else controls,
            entryVms = entryVmsSeenAtMs.size,
            // An entry VM needs it from only one of the control VMs that it watches.
            use = useMessage?.use.orEmpty(),
            refused = suspects.refused(),
            suspected = suspects.suspected(),
            isUseChange = useMessage?.changes != null,
            useNumber = useMessage?.number ?: 0,
            controlsNumber = controlsNumber,
            isEntryCountComplete = refreshesInContact >= COMPLETE_AFTER_REFRESHES,
            limits = limits.statements(clock.nowMs(), onlyDirect = false),
            forwarders = if (isKnown && watch.forwardersNumber == forwarders.number) emptyList() else forwarders.all,
            forwardersNumber = forwarders.number,
        )
    }

    private fun numberControls() {
        val current = dependencies.controls()
        if (current == controls) return
        controls = current
        controlsNumber += 1
    }

    private fun receive(exchange: StateExchange): StateExchangeReply {
        val nowMs = clock.nowMs()
        exchange.records.filter { it.record.isUsable(log) }
            .forEach { dependencies.directory.receive(it.record, nowMs, it.ageMs) }
        recordSuspects(withAges(exchange.suspects, exchange.suspectAgesMs))
        recordSound(exchange.soundAgesMs)
        dependencies.directory.receiveLeaving(exchange.leaving, nowMs)
        recordLimits(exchange.limits, isDirect = false)
        exchange.evidence.forEach { dependencies.evidence.receive(it, isDirect = false) }
        exchange.entryVms?.forEach { entryVmsSeenAtMs[it] = nowMs }
        return StateExchangeReply(
            dependencies.vm,
            dependencies.isCurrent(),
            receiveUse(exchange, nowMs),
            forwarders.receive(exchange, nowMs),
        )
    }

    /** Receives the use in [exchange], and returns false if it changes one that this VM does not have. */
    private fun receiveUse(exchange: StateExchange, nowMs: Long): Boolean {
        val use = exchange.use ?: return true
        val former = reportsOfControlVms[exchange.vm]
        val isBaseKnown = former?.number == exchange.useChanges && former?.source == exchange.source
        val complete = when {
            exchange.useChanges == null -> use
            former != null && isBaseKnown -> former.use.withChanges(use)
            else -> return false
        }
        reportsOfControlVms[exchange.vm] = Report(complete, nowMs, exchange.useNumber, exchange.source)
        return true
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

    /** Records what targets have said to an entry VM, and forwards it, so that others need not hear it themselves. */
    private fun recordLeaving(instances: Set<TargetInstance>) {
        val added = dependencies.directory.receiveLeaving(instances, clock.nowMs())
        if (added.isEmpty()) return
        val exchange = StateExchange(dependencies.vm, emptyList(), emptyList(), null, null, leaving = added)
        otherControls().forEach { send(it, exchange) }
    }

    /** Records what targets have said; [isDirect] says that an entry VM has sent it, so that changes are forwarded. */
    private fun recordLimits(statements: List<LimitStatement>, isDirect: Boolean) {
        val changed = statements.filter { it.isValid && limits.record(it, clock.nowMs(), isDirect) }
        if (changed.isEmpty()) return
        lastLimitChange.value += 1
        changed.take(MAX_LOGGED).forEach {
            log.info(
                "target limit changed id={} requestsPerS={} refusalsPerS={}",
                it.instance.target,
                limits.limitOrNull(it.instance),
                limits.refusalLimitOrNull(it.instance),
            )
        }
        if (!isDirect) return
        val exchange = StateExchange(dependencies.vm, emptyList(), emptyList(), null, null, limits = changed)
        otherControls().forEach { send(it, exchange) }
    }

    private fun exchangeState() {
        val nowMs = clock.nowMs()
        limits.expire(nowMs)
        if (suspects.expire(nowMs)) lastSuspectChange.value += 1
        entryVmsSeenAtMs.values.removeIf { nowMs - it > ENTRY_VM_RETENTION_MS }
        forwarders.expire(nowMs) { nowMs - (entryVmsSeenAtMs[it] ?: 0) <= FORWARDER_RETENTION_MS }
        sentToEntryVms.keys.removeIf { nowMs - (entryVmsSeenAtMs[it] ?: 0) > SENT_USE_RETENTION_MS }
        reportsOfEntryVms.values.removeIf { nowMs - it.atMs > REPORT_VALID_MS }
        reportsOfControlVms.values.removeIf { nowMs - it.atMs > REPORT_VALID_MS }
        val others = otherControls()
        contacts.retain(others.toSet())
        peers.keys.retainAll(others.toSet())
        val refresh = if (nowMs - lastRefreshAtMs >= REFRESH_PERIOD_MS) refreshAt(nowMs) else null
        val changed = dependencies.evidence.takeChanged()
        if (changed.isNotEmpty()) {
            val exchange = StateExchange(dependencies.vm, emptyList(), emptyList(), null, null, evidence = changed)
            others.forEach { send(it, exchange) }
        }
        val use = sumOfUse(reportsOfEntryVms.values.map { it.use })
        for (address in others) {
            val peer = peers.getOrPut(address) { Peer() }
            val isDue = refresh != null || peer.sent.isChange(peer.received, use)
            if (isDue && !peer.isCalled) sendUse(address, peer, use, refresh)
        }
    }

    /** Returns what all other control VMs get of the state of this one, besides the use of targets. */
    private fun refreshAt(nowMs: Long): StateExchange {
        lastRefreshAtMs = nowMs
        refreshes += 1
        if (dependencies.isCurrent() && refreshesInContact < COMPLETE_AFTER_REFRESHES) refreshesInContact += 1
        val isRelay = refreshes % REFRESHES_PER_RELAY == 0L
        val crashAgesMs = suspects.reportsToRepeat(nowMs)
        return StateExchange(
            vm = dependencies.vm,
            records = if (isRelay) {
                dependencies.directory.announcedWithin((REFRESHES_PER_RELAY + 1) * REFRESH_PERIOD_MS, nowMs)
            } else {
                dependencies.directory.announcedWithin(2 * REFRESH_PERIOD_MS, nowMs, isDirect = true)
            },
            suspects = crashAgesMs.keys.toList(),
            use = null,
            entryVms = reportsOfEntryVms.keys.toSet(),
            soundAgesMs = suspects.soundAgesMs(nowMs),
            suspectAgesMs = crashAgesMs.values.toList(),
            leaving = dependencies.directory.leavingInstances(),
            limits = limits.statements(nowMs, onlyDirect = true),
            evidence = dependencies.evidence.direct(),
        )
    }

    /** Sends [use] and [refresh]; one call at a time, because a later one may change what an earlier one brings. */
    private fun sendUse(address: Address, peer: Peer, use: Map<TargetId, TargetUse>, refresh: StateExchange?) {
        val message = peer.sent.messageFor(peer.received, use)
        val number = if (refresh == null) 0 else forwarders.toldNumber
        val exchange = (refresh ?: StateExchange(dependencies.vm, emptyList(), emptyList(), null, null)).copy(
            use = message.use,
            useChanges = message.changes,
            useNumber = message.number,
            source = source,
            forwarders = if (number == peer.forwardersNumber) emptyList() else forwarders.told,
            forwardersNumber = number,
        )
        peer.isCalled = true
        control.scope.launch {
            try {
                val reply = exchangeWith(address, exchange)
                peer.received = message.number.takeIf { reply?.hasUse == true }
                if (number > 0) peer.forwardersNumber = reply?.forwardersNumber ?: 0
            } finally {
                peer.isCalled = false
            }
        }
    }

    private fun send(address: Address, exchange: StateExchange) {
        control.scope.launch { exchangeWith(address, exchange) }
    }

    private suspend fun exchangeWith(address: Address, exchange: StateExchange): StateExchangeReply? {
        val result = links?.call(address, exchangeChannel, exchange, EXCHANGE_TIMEOUT_MS) ?: return null
        contacts.record(address, result.leftOrNull()?.reason)
        return result.getOrNull()?.also { if (it.isCurrent) lastContactAtMs = clock.nowMs() }
    }

    private fun otherControls(): List<Address> = dependencies.controls() - dependencies.own

    private fun totalUse(nowMs: Long): Map<TargetId, TargetUse> {
        if (nowMs - totalUseAtMs >= TOTAL_USE_AGE_MS) {
            val reports = reportsOfEntryVms.values + reportsOfControlVms.values
            totalUse = sumOfUse(reports.filter { nowMs - it.atMs <= REPORT_VALID_MS }.map { it.use })
            totalUseAtMs = nowMs
        }
        return totalUse
    }
}

/** Returns whether this record is valid; a control VM of an older version passes on what it has accepted. */
private fun TargetRecord.isUsable(log: Logger): Boolean {
    val problem = problemOrNull() ?: return true
    log.warn("target ignored id={} problem={}", id, problem)
    return false
}
