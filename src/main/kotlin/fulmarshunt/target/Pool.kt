/*
 * Decides for the owner of a pool which waiting request runs next, and at which target. The state is confined to one
 * thread and the time is passed in. Each call returns the effects that the caller has to perform.
 */
package fulmarshunt.target

import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.AdmissionReply
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.RejectReason
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.RunningTicket
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.Configuration
import kotlin.random.Random

/** The number of decided tickets that are kept, so that a resent call is not decided again. */
private const val REMEMBERED_TICKETS = 16_384

/** After the settling time, targets have this long to announce themselves before a service counts as absent. */
private const val FIRST_ANNOUNCEMENTS_MS = 1_500L

/** The advised retry delay when the pool cannot predict when a target will be available. */
private const val RETRY_AFTER_MS = 1_000L

/** A pool of targets that share one queue. */
public class Pool internal constructor(
    private val id: PoolId,
    fence: FencingNumber,
    private val settlingUntilMs: Long,
    policies: PoolPolicies,
    random: Random,
) {
    private val suspects = PoisonSuspects()
    private val lengthEstimates = LengthEstimates()
    private val selector = TargetSelector(policies, suspects, random)
    private val queue = WaitingQueue(policies.queueOrder, QUEUE_CAPACITY)
    private val targets = LinkedHashMap<TargetId, TargetState>()
    private val running = RunningTickets(targets, queue) { effects += it }
    private val dispatcher = Dispatcher(fence, policies, queue, selector, targets)
    private val loadPlanner = LoadPlanner(fence, targets.values, queue, selector)

    private val decided = object : LinkedHashMap<TicketId, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<TicketId, Unit>): Boolean = size > REMEMBERED_TICKETS
    }
    private var configuration = Configuration()
    private var effects = ArrayList<PoolEffect>()
    private var pastPreemptions = 0L

    /** True if a queued request may have lost its last possible target since the last check. */
    private var isAvailabilityReduced = false
    private var hasSettled = false

    /** Queued requests that lost an attempt at a target that may or may not be alive. */
    private val unresolvedLosses = LinkedHashSet<TicketId>()

    /** Processes an announcement of a target. */
    public fun announce(announcement: TargetAnnouncement, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        val target = targets[announcement.target]
        when {
            target == null -> addTarget(announcement, nowMs)
            announcement.incarnation < target.announcement.incarnation -> Unit
            announcement.incarnation > target.announcement.incarnation -> {
                if (target.health != TargetHealth.DEAD) markCrashed(target, nowMs)
                pastPreemptions += target.preemptions
                running.forget(target)
                addTarget(announcement, nowMs)
            }
            else -> applyAnnouncement(target, announcement, nowMs)
        }
    }

    /** Queues a request; it is decided in this call or a later one. */
    public fun admit(request: AdmissionRequest, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        val ticket = request.ticket
        // A resent call must not be decided twice.
        if (ticket in decided || ticket in queue || ticket in running) return@handle
        loadPlanner.countRequest(request.service, nowMs)
        val distribution = lengthEstimates.lengthsOf(request.service, request.account, request.maxOutputTokens)
        val shortMax = configuration.shortMaxTokens(request.service)
        val isShort = request.maxOutputTokens <= shortMax || distribution.isLearnedShort(shortMax)
        val waitMs = dispatcher.expectedWaitMs(request.account, isShort)
        val budgetMs = request.maxWaitMs - request.waitedMs
        if (waitMs > budgetMs && queue.hasWaiting(isShort)) {
            reject(ticket, RejectReason.OVERLOADED, (waitMs - budgetMs).coerceAtLeast(RETRY_AFTER_MS))
            return@handle
        }
        queue.add(request, distribution, isShort, nowMs)?.let { rejectOverloaded(it) }
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS && ticket in queue) rejectIfUnavailable(ticket, nowMs)
    }

    /** Removes a request whose caller left from the queue, or cancels it if it has been granted. */
    public fun withdraw(ticket: TicketId, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        if (queue.remove(ticket) != null) reject(ticket, RejectReason.OVERLOADED, 0)
        running.getOrNull(ticket)?.let { running.cancel(it, nowMs) }
    }

    /** Processes a progress report on a running ticket. */
    public fun progress(
        ticket: TicketId,
        tokens: Int,
        firstTokenMs: Long,
        betweenTokensMs: Double,
        nowMs: Long,
    ): List<PoolEffect> = handle(nowMs) {
        val runningTicket = running.getOrNull(ticket) ?: return@handle
        if (!runningTicket.isReported) runningTicket.reportedMs = nowMs
        running.count(runningTicket, tokens)
        val target = targets[runningTicket.target]?.takeIf { ticket in it.tickets } ?: return@handle
        target.recordProgress(runningTicket, firstTokenMs, betweenTokensMs, nowMs, peersOf(target))
    }

    /** Processes the end of a ticket. */
    public fun end(ticket: TicketId, tokens: Int, outcome: TicketOutcome, nowMs: Long): List<PoolEffect> =
        handle(nowMs) {
            if (queue.remove(ticket) != null) reject(ticket, RejectReason.OVERLOADED, 0)
            val runningTicket = running.getOrNull(ticket) ?: return@handle
            running.count(runningTicket, tokens)
            val target = targets[runningTicket.target]
            if (outcome == TicketOutcome.GONE && target != null && target.isAlive(runningTicket.incarnation)) {
                // The generation still counts as in flight, because it may be running if only the link is broken.
                running.cancel(runningTicket, nowMs)
                target.failures.recordGone(runningTicket, nowMs)
                checkLiveness(nowMs)
                return@handle
            }
            running.release(runningTicket)
            val request = runningTicket.request
            when (outcome) {
                TicketOutcome.FINISHED -> {
                    lengthEstimates.record(request.service, request.account, runningTicket.tokens)
                    suspects.clear(request.fingerprint)
                    if (target != null) target.recordFinished(runningTicket, nowMs, peersOf(target))
                }
                TicketOutcome.REFUSED, TicketOutcome.UNUSED ->
                    queue.charge(request.account, -runningTicket.chargedPromptTokens)
                TicketOutcome.LOST -> if (target != null && target.isAlive(runningTicket.incarnation)) {
                    if (target.failures.recordLost(runningTicket, nowMs)) markCrashed(target, nowMs)
                }
                TicketOutcome.GONE, TicketOutcome.CANCELLED -> Unit
            }
        }

    /** Registers tickets of [vm] that were granted by an earlier owner and still run. */
    public fun reregister(vm: VmId, tickets: List<RunningTicket>, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        for (report in tickets) {
            val request = report.request.copy(vm = vm)
            if (request.ticket in running || request.ticket in decided) continue
            queue.remove(request.ticket)
            val ticket = Ticket(
                request = request,
                target = report.target,
                incarnation = report.incarnation,
                lengths = lengthEstimates.lengthsOf(request.service, request.account, request.maxOutputTokens),
                isShort = request.maxOutputTokens <= configuration.shortMaxTokens(request.service),
                shortMaxTokens = configuration.shortMaxTokens(request.service),
                chargedPromptTokens = 0,
                grantedMs = nowMs,
                tokens = report.tokens,
                reportedMs = nowMs,
            )
            // The time of the grant is unknown, so the total duration is no latency sample.
            ticket.hasLatencySample = true
            val target = targets[report.target]
            if (target == null) {
                running.addUnattached(ticket)
            } else if (target.isAlive(report.incarnation)) {
                running.add(ticket)
                target.adopt(listOf(ticket), raisesLimit(nowMs), nowMs)
            }
            decided[request.ticket] = Unit
        }
    }

    /** Rejects the queued requests of a lost entry VM and cancels its running ones. */
    public fun vmLost(vm: VmId, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        for (entry in queue.entries.filter { it.request.vm == vm }) {
            queue.remove(entry.request.ticket)
            reject(entry.request.ticket, RejectReason.OVERLOADED, 0)
        }
        running.all.filter { it.request.vm == vm }.forEach { running.cancel(it, nowMs) }
    }

    /** Applies a new configuration. */
    public fun configure(configuration: Configuration, nowMs: Long): List<PoolEffect> = handle(nowMs) {
        this.configuration = configuration
        dispatcher.configuration = configuration
        queue.setWeights(configuration.accounts.mapValues { it.value.weight })
        isAvailabilityReduced = true
    }

    /** Performs all actions that are due at [nowMs]. */
    public fun tick(nowMs: Long): List<PoolEffect> = handle(nowMs) { suspects.expire(nowMs) }

    /** Returns when [tick] should be called next, or null if nothing is pending. */
    public fun nextTickMs(): Long? = listOfNotNull(
        queue.nextDeadlineMsOrNull(),
        running.nextReleaseMsOrNull(),
        (settlingUntilMs + if (dispatcher.hasStarted) FIRST_ANNOUNCEMENTS_MS else 0).takeUnless { hasSettled },
        targets.values.mapNotNull { it.nextCheckMsOrNull() }.minOrNull(),
        suspects.nextReleaseMsOrNull().takeIf { queue.size > 0 },
    ).minOrNull()

    /** Returns a snapshot of the pool. */
    public fun view(): PoolView = PoolView(
        pool = id,
        settling = !dispatcher.hasStarted,
        queuedShort = queue.shortSize,
        queuedLong = queue.longSize,
        targets = targets.values.map { it.view(selector.limitOf(it), selector.isLeaving(it, configuration)) },
        preemptions = pastPreemptions + targets.values.sumOf { it.preemptions },
        grantsPerSecond = dispatcher.grantsPerSecond(),
        suspects = suspects.size,
    )

    /** Advances the state to [nowMs], applies [change] and returns the resulting effects. */
    private inline fun handle(nowMs: Long, change: () -> Unit): List<PoolEffect> {
        dispatcher.advance(nowMs)
        checkLiveness(nowMs)
        change()
        running.releaseCancelled(nowMs)
        while (true) rejectOverloaded(queue.expiredOrNull(nowMs) ?: break)
        if (nowMs >= settlingUntilMs) decideWaiting(nowMs)
        // Engines first get time to announce which services they have loaded.
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS) effects += loadPlanner.dueOrders(configuration, nowMs)
        return effects.also { effects = ArrayList() }
    }

    /** Rejects the queued requests that no target can serve, and grants others as far as they fit. */
    private fun decideWaiting(nowMs: Long) {
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS && (isAvailabilityReduced || !hasSettled)) {
            hasSettled = true
            isAvailabilityReduced = false
            queue.entries.map { it.request.ticket }.forEach { rejectIfUnavailable(it, nowMs) }
        }
        if (unresolvedLosses.isNotEmpty()) {
            unresolvedLosses.toList().also { unresolvedLosses.clear() }.forEach { rejectIfUnavailable(it, nowMs) }
        }
        dispatcher.grantAll(nowMs) { ticket, granted ->
            running.add(ticket)
            sendReply(ticket.request.ticket, granted)
        }
    }

    private fun addTarget(announcement: TargetAnnouncement, nowMs: Long) {
        val target = TargetState(announcement, nowMs)
        targets[announcement.target] = target
        target.prefixes.apply(announcement.cacheEvents)
        running.attach(target, raisesLimit(nowMs), nowMs)
        isAvailabilityReduced = true
    }

    /** True during a takeover: what runs then was within the limits that the targets had under the former owner. */
    private fun raisesLimit(nowMs: Long) = nowMs < settlingUntilMs + FIRST_ANNOUNCEMENTS_MS

    private fun applyAnnouncement(target: TargetState, announcement: TargetAnnouncement, nowMs: Long) {
        if (target.health == TargetHealth.DEAD && !target.mayRecover(nowMs)) return
        val before = target.announcement
        target.applyAnnouncement(announcement, nowMs)
        if (target.health == TargetHealth.DEAD) target.recover(nowMs)
        target.health = target.healthAt(nowMs)
        if (announcement.leaving != before.leaving ||
            announcement.services != before.services
        ) {
            isAvailabilityReduced = true
        }
        target.takeUnusedGrants(nowMs).forEach(running::release)
    }

    private fun checkLiveness(nowMs: Long) {
        for (target in targets.values) {
            if (target.health == TargetHealth.DEAD) continue
            val health = target.healthAt(nowMs)
            if (health == TargetHealth.DEAD) markCrashed(target, nowMs) else target.health = health
        }
        suspects.releaseHeld(nowMs)
        val forgotten = targets.values.filter { it.isForgettable(nowMs) }
        for (target in forgotten) {
            pastPreemptions += target.preemptions
            running.forget(target)
            targets.remove(target.id)
        }
    }

    private fun markCrashed(target: TargetState, nowMs: Long) {
        // A target that announced that it is leaving was expected to stop, so its requests are not suspects.
        val requests = if (target.announcement.leaving) emptyMap() else target.requestsAtCrash(nowMs)
        val alreadyCounted = requests.filter { (fingerprint, grantedMs) ->
            suspects.lastCrashMsOrNull(fingerprint)?.let { grantedMs < it } ?: false
        }.keys
        target.markCrashed(nowMs)
        val fingerprints = requests.keys.toList()
        suspects.recordCrash(fingerprints, nowMs)
        effects += ReportCrash(target.id, target.announcement.incarnation, fingerprints, alreadyCounted)
        isAvailabilityReduced = true
    }

    private fun peersOf(target: TargetState): (LatencyKey) -> List<PeerLatency> = { key ->
        targets.values
            .filter { it !== target && it.health != TargetHealth.DEAD }
            .mapNotNull { it.slowStart.latencyOrNull(key) }
    }

    private fun rejectIfUnavailable(ticket: TicketId, nowMs: Long) {
        val entry = queue.getOrNull(ticket) ?: return
        // In another pool the request could reach further targets before the state of its last one is known.
        if (selector.hasUnresolvedLoss(entry, targets)) {
            unresolvedLosses += ticket
            return
        }
        val reason = when (selector.availability(entry, targets.values, configuration)) {
            Availability.SERVED -> return
            Availability.LEAVING -> RejectReason.LEAVING
            Availability.NONE -> RejectReason.NO_TARGET
        }
        loadPlanner.countRejection(entry.request, nowMs)
        queue.remove(ticket)
        reject(ticket, reason, RETRY_AFTER_MS)
    }

    private fun rejectOverloaded(entry: WaitingEntry) {
        queue.remove(entry.request.ticket)
        val waitMs = dispatcher.expectedWaitMs(entry.request.account, entry.isShort)
        val retryMs = (waitMs - entry.request.maxWaitMs).coerceAtLeast(RETRY_AFTER_MS)
        reject(entry.request.ticket, RejectReason.OVERLOADED, retryMs)
    }

    private fun reject(ticket: TicketId, reason: RejectReason, retryAfterMs: Long) =
        sendReply(ticket, Rejected(reason, retryAfterMs))

    private fun sendReply(ticket: TicketId, reply: AdmissionReply) {
        decided[ticket] = Unit
        effects += SendAdmissionReply(ticket, reply)
    }

    private companion object {
        /** About a minute of arrivals at ten times the planned rate of a pool. */
        const val QUEUE_CAPACITY = 4_096
    }
}

/**
 * Returns the pool [id] under the fencing number [fence].
 *
 * @param settlingUntilMs the time until which the pool grants nothing, as another owner's grants may still be in use.
 */
public fun poolOf(
    id: PoolId,
    fence: FencingNumber,
    settlingUntilMs: Long,
    policies: PoolPolicies,
    random: Random,
): Pool = Pool(id, fence, settlingUntilMs, policies, random)
