/*
 * Hosts the pools that are assigned to this VM. The state is confined to the control thread; cancellations, reports and
 * load orders run on traffic threads. A pool keeps its running tickets while the lease is lost and the assignment is
 * unchanged, because no other VM can have granted placements in it; it grants nothing during that time.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.process.ControlThread
import fulmarshunt.process.retryWithBackoff
import fulmarshunt.target.CancelGeneration
import fulmarshunt.target.IssueLoad
import fulmarshunt.target.PoolEffect
import fulmarshunt.target.PoolView
import fulmarshunt.target.ReportCrash
import fulmarshunt.target.SendAdmissionReply
import fulmarshunt.target.TargetAnnouncement
import fulmarshunt.target.TargetKind
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** How long a new owner waits for running tickets to be registered again before it admits requests. */
public const val SETTLING_MS: Long = 1_000

private const val NOT_OWNER_RETRY_MS = 100L

/** Longer than the delivery of a call can take, so that a withdrawal that overtakes its request still counts. */
private const val WITHDRAWAL_RETENTION_MS = 10_000L

/** The operations that a host runs outside the control thread. */
public class PoolHostActions(
    /** Cancels a generation; returns whether it no longer runs. */
    public val cancel: suspend (Address, TicketId) -> Boolean,
    /** Returns the running generations of an engine, or null if it does not reply. */
    public val list: suspend (Address) -> Map<TicketId, VmId>?,
    /** Reports a crash; returns whether the report is committed. */
    public val reportCrash: suspend (ReportTargetCrash) -> Boolean,
    /** Orders an engine to load a service; the pool repeats the order while it needs the load. */
    public val load: suspend (IssueLoad) -> Unit,
)

/** Hosts pools; functions other than [handle] run on the control thread. */
public class PoolHost(
    private val vm: VmId,
    private val clock: Clock,
    private val control: ControlThread,
    private val traffic: CoroutineScope,
    private val hasLease: (Long) -> Boolean,
    private val createPool: CreatePool,
    private val actions: PoolHostActions,
) {
    private class Hosted(val id: PoolId, val fence: FencingNumber, val pool: HostedPool, val settlingUntilMs: Long) {
        val waiting = mutableMapOf<TicketId, CompletableDeferred<AdmissionReply>>()
        val knownTickets = mutableSetOf<TicketId>()
        val engines = mutableMapOf<TargetId, Address>()
        var timer: Job? = null
        var timerAtMs: Long? = null
    }

    private val hosted = mutableMapOf<PoolId, Hosted>()
    private val withdrawnAtMs = LinkedHashMap<TicketId, Long>()
    private var state = SharedState()
    private var isReleasing = false

    /** Applies a new shared state: drops and adds pools and reconfigures the others. */
    public fun apply(newState: SharedState) {
        val nowMs = clock.nowMs()
        val lost = state.entryVms.keys - newState.entryVms.keys
        val isReconfigured = state.configuration.revision != newState.configuration.revision
        state = newState
        val change = hostingChange(hosted.mapValues { it.value.fence }, newState, vm)
        change.dropped.forEach { dropPool(it) }
        for (entry in hosted.values.toList()) {
            if (isReconfigured) execute(entry, entry.pool.configure(newState.configuration, nowMs))
            lost.forEach { execute(entry, entry.pool.vmLost(it, nowMs)) }
            if (lost.isNotEmpty()) entry.engines.values.forEach { cancelOrphans(entry, it) }
        }
        change.added.forEach { (id, fence) -> addPool(id, fence, nowMs) }
    }

    /** Rejects every waiting request with [RejectReason.NOT_OWNER]; call it when the lease has expired. */
    public fun rejectWaitingRequests() {
        hosted.values.forEach { entry ->
            entry.waiting.keys.toList().forEach { ticket ->
                execute(entry, entry.pool.withdraw(ticket, clock.nowMs()))
                reply(entry, ticket, notOwner())
            }
        }
    }

    /** Stops admission to all pools for a graceful shutdown and returns the pools that can be released. */
    public fun release(): List<PoolId> {
        isReleasing = true
        rejectWaitingRequests()
        return hosted.keys.toList()
    }

    /** The pools that this VM hosts. */
    public fun hostedPools(): Set<PoolId> = hosted.keys.toSet()

    /** Returns a snapshot of each hosted pool. */
    public fun views(): List<PoolView> = hosted.values.map { it.pool.view() }

    /** Returns the reply to a call of an entry VM; that to a request for admission comes when it leaves the queue. */
    public suspend fun handle(call: AdmissionCall): AdmissionReply {
        if (call !is Admit) return control.run { accept(call) }
        val reply = CompletableDeferred<AdmissionReply>()
        control.run { admit(call, reply) }
        try {
            return reply.await()
        } finally {
            if (!reply.isCompleted) control.scope.launch { accept(Withdraw(call.pool, call.request.ticket)) }
        }
    }

    private fun admit(call: Admit, reply: CompletableDeferred<AdmissionReply>) {
        val nowMs = clock.nowMs()
        val entry = hosted[call.pool]
        val ticket = call.request.ticket
        if (entry == null || isReleasing || !hasLease(nowMs)) {
            reply.complete(notOwner())
            return
        }
        if (withdrawnAtMs.containsKey(ticket)) {
            reply.complete(Rejected(RejectReason.LEAVING, NOT_OWNER_RETRY_MS))
            return
        }
        entry.waiting[ticket] = reply
        execute(entry, entry.pool.admit(call.request, nowMs))
    }

    private fun accept(call: AdmissionCall): AdmissionReply {
        val nowMs = clock.nowMs()
        if (call is Withdraw) recordWithdrawal(call.ticket, nowMs)
        val entry = hosted[call.pool] ?: return notOwner()
        val effects =
            when (call) {
                is Withdraw -> {
                    entry.waiting.remove(call.ticket)
                        ?.complete(Rejected(RejectReason.LEAVING, NOT_OWNER_RETRY_MS))
                    entry.knownTickets -= call.ticket
                    // A grant may have been on its way to the entry VM when the caller disconnected.
                    entry.pool.withdraw(call.ticket, nowMs) +
                        entry.pool.end(call.ticket, 0, TicketOutcome.UNUSED, nowMs)
                }
                is Progress -> entry.pool.progress(call, nowMs)
                is EndTicket -> {
                    entry.knownTickets -= call.ticket
                    entry.pool.end(call.ticket, call.tokens, call.outcome, nowMs)
                }
                is Reregister -> {
                    entry.knownTickets += call.tickets.map { it.request.ticket }
                    entry.pool.reregister(call.vm, call.tickets, nowMs)
                }
                is ForwardAnnouncement -> announce(entry, call.announcement, nowMs)
                is Admit -> error("a request for admission is not a report")
            }
        execute(entry, effects)
        return ReportAccepted
    }

    private fun announce(entry: Hosted, announcement: TargetAnnouncement, nowMs: Long): List<PoolEffect> {
        val isNew = entry.engines[announcement.target] != announcement.address
        if (announcement.kind == TargetKind.ENGINE) {
            entry.engines[announcement.target] = announcement.address
            if (isNew && nowMs >= entry.settlingUntilMs) cancelOrphans(entry, announcement.address)
        }
        return entry.pool.announce(announcement, nowMs)
    }

    private fun addPool(id: PoolId, fence: FencingNumber, nowMs: Long) {
        val entry = Hosted(id, fence, createPool(id, fence, nowMs + SETTLING_MS), nowMs + SETTLING_MS)
        hosted[id] = entry
        execute(entry, entry.pool.configure(state.configuration, nowMs))
        control.scope.launch {
            delay(SETTLING_MS)
            if (hosted[id] === entry) entry.engines.values.forEach { cancelOrphans(entry, it) }
        }
    }

    private fun dropPool(id: PoolId) {
        val entry = hosted.remove(id) ?: return
        entry.timer?.cancel()
        entry.waiting.keys.toList().forEach { reply(entry, it, notOwner()) }
    }

    private fun execute(entry: Hosted, effects: List<PoolEffect>) {
        for (effect in effects) {
            when (effect) {
                is SendAdmissionReply -> decide(entry, effect)
                // A plain service has no generations; a cancellation would reach it as an ordinary call.
                is CancelGeneration ->
                    if (effect.target in entry.engines) cancelWithRetry(effect.address, effect.ticket)
                is ReportCrash -> reportCrash(entry, effect)
                is IssueLoad ->
                    if (hasLease(clock.nowMs()) && !isReleasing) traffic.launch { actions.load(effect) }
            }
        }
        schedule(entry)
    }

    private fun decide(entry: Hosted, effect: SendAdmissionReply) {
        val nowMs = clock.nowMs()
        val isGrant = effect.reply is Granted
        if (isGrant && (!hasLease(nowMs) || effect.ticket !in entry.waiting)) {
            execute(entry, entry.pool.end(effect.ticket, 0, TicketOutcome.UNUSED, nowMs))
            return reply(entry, effect.ticket, notOwner())
        }
        if (isGrant) entry.knownTickets += effect.ticket
        reply(entry, effect.ticket, effect.reply)
    }

    private fun reply(entry: Hosted, ticket: TicketId, reply: AdmissionReply) {
        entry.waiting.remove(ticket)?.complete(reply)
    }

    private fun cancelWithRetry(address: Address, ticket: TicketId) {
        traffic.launch { retryWithBackoff { actions.cancel(address, ticket) } }
    }

    private fun reportCrash(entry: Hosted, effect: ReportCrash) {
        val report =
            ReportTargetCrash(
                entry.id,
                entry.fence,
                effect.target,
                effect.incarnation,
                effect.running,
                effect.alreadyCounted,
            )
        traffic.launch { retryWithBackoff { actions.reportCrash(report) } }
    }

    /** Cancels the generations at [address] that no caller waits for; see [orphanedTickets]. */
    private fun cancelOrphans(entry: Hosted, address: Address) {
        traffic.launch {
            var listed: Map<TicketId, VmId>? = null
            retryWithBackoff { actions.list(address).also { listed = it } != null }
            val generations = listed ?: return@launch
            control.run {
                if (hosted[entry.id] === entry && hasLease(clock.nowMs())) {
                    orphanedTickets(generations, entry.knownTickets, state).forEach { cancelWithRetry(address, it) }
                }
            }
        }
    }

    private fun schedule(entry: Hosted) {
        if (hosted[entry.id] !== entry) return
        val nextMs = entry.pool.nextTickMs()
        if (nextMs == entry.timerAtMs && entry.timer?.isActive == true) return
        entry.timer?.cancel()
        entry.timerAtMs = nextMs
        entry.timer =
            nextMs?.let {
                control.scope.launch {
                    delay((it - clock.nowMs()).coerceAtLeast(1))
                    entry.timerAtMs = null
                    entry.timer = null
                    execute(entry, entry.pool.tick(clock.nowMs()))
                }
            }
    }

    private fun recordWithdrawal(ticket: TicketId, nowMs: Long) {
        withdrawnAtMs[ticket] = nowMs
        val oldest = withdrawnAtMs.entries.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().value > WITHDRAWAL_RETENTION_MS) oldest.remove()
    }

    private fun notOwner(): Rejected = Rejected(RejectReason.NOT_OWNER, NOT_OWNER_RETRY_MS)
}
