/*
 * The decisions of a pool's owner: which waiting request runs next, and at which target. The state is confined to one
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

/** The number of decided tickets that are remembered, so that a resent call is not decided again. */
private const val REMEMBERED_TICKETS = 16_384

/** After the settling time, targets get this long to announce themselves before a service counts as absent. */
private const val FIRST_ANNOUNCEMENTS_MS = 1_500L

/** The retry advice when the pool cannot know when a target will come. */
private const val RETRY_LATER_MS = 1_000L

/** A pool of targets with one queue. */
public class Pool internal constructor(
    private val id: PoolId,
    fence: FencingNumber,
    private val settlingUntilMs: Long,
    policies: PoolPolicies,
    random: Random,
) {
    private val suspects = Suspects()
    private val lengths = LengthEstimates()
    private val placement = Placement(policies, suspects, random)
    private val queue = WaitingQueue(policies.queueOrder, QUEUE_CAPACITY)
    private val targets = LinkedHashMap<TargetId, TargetState>()
    private val running = RunningTickets(targets, queue) { effects += it }
    private val dispatcher = Dispatcher(fence, policies, queue, placement, targets)
    private val loads = LoadOrders(fence, targets.values, queue, placement)

    private val decided = object : LinkedHashMap<TicketId, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<TicketId, Unit>): Boolean = size > REMEMBERED_TICKETS
    }
    private var configuration = Configuration()
    private var effects = ArrayList<PoolEffect>()
    private var pastPreemptions = 0L

    /** True when a queued request may have lost its last possible target. */
    private var isOfferReduced = false
    private var hasSettled = false

    /** Queued requests whose service may turn out to be absent once the fate of their last target is known. */
    private val awaitingFate = LinkedHashSet<TicketId>()

    /** Takes an announcement of a target. */
    public fun announce(announcement: TargetAnnouncement, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        val target = targets[announcement.target]
        when {
            target == null -> addTarget(announcement, nowMs)
            announcement.incarnation < target.announcement.incarnation -> Unit
            announcement.incarnation > target.announcement.incarnation -> {
                if (target.health != TargetHealth.DEAD) die(target, nowMs)
                pastPreemptions += target.preemptions
                running.forget(target)
                addTarget(announcement, nowMs)
            }
            else -> renew(target, announcement, nowMs)
        }
    }

    /** Takes a request; its decision comes now or with a later call. */
    public fun admit(request: AdmissionRequest, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        val ticket = request.ticket
        // A resent call must not be decided twice.
        if (ticket in decided || ticket in queue || ticket in running) return@decide
        loads.countRequest(request.service, nowMs)
        val distribution = lengths.lengthsOf(request.service, request.account, request.maxOutputTokens)
        val shortMax = configuration.shortMaxTokens(request.service)
        val isShort = request.maxOutputTokens <= shortMax || distribution.isLearnedShort(shortMax)
        val waitMs = dispatcher.expectedWaitMs(request.account, isShort)
        val budgetMs = request.maxWaitMs - request.waitedMs
        if (waitMs > budgetMs && queue.hasWaiting(isShort)) {
            reject(ticket, RejectReason.OVERLOADED, (waitMs - budgetMs).coerceAtLeast(RETRY_LATER_MS))
            return@decide
        }
        queue.add(request, distribution, isShort, nowMs)?.let { rejectOverloaded(it) }
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS && ticket in queue) rejectIfUnavailable(ticket, nowMs)
    }

    /** Takes a request whose caller left out of the queue, or cancels it if a grant is on its way. */
    public fun withdraw(ticket: TicketId, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        if (queue.remove(ticket) != null) reject(ticket, RejectReason.OVERLOADED, 0)
        running.getOrNull(ticket)?.let { running.cancel(it, nowMs) }
    }

    /** Takes a report on a running ticket. */
    public fun progress(
        ticket: TicketId,
        tokens: Int,
        firstTokenMs: Long,
        betweenTokensMs: Double,
        nowMs: Long,
    ): List<PoolEffect> = decide(nowMs) {
        val known = running.getOrNull(ticket) ?: return@decide
        if (!known.isReported) known.reportedMs = nowMs
        running.count(known, tokens)
        val target = targets[known.target]?.takeIf { ticket in it.tickets } ?: return@decide
        target.recordProgress(known, firstTokenMs, betweenTokensMs, nowMs, peersOf(target))
    }

    /** Takes the end of a ticket. */
    public fun end(ticket: TicketId, tokens: Int, outcome: TicketOutcome, nowMs: Long): List<PoolEffect> =
        decide(nowMs) {
            if (queue.remove(ticket) != null) reject(ticket, RejectReason.OVERLOADED, 0)
            val known = running.getOrNull(ticket) ?: return@decide
            running.count(known, tokens)
            val target = targets[known.target]
            if (outcome == TicketOutcome.GONE && target != null && target.isAlive(known.incarnation)) {
                // The generation keeps its place, because it may still run if only the link is broken.
                running.cancel(known, nowMs)
                target.failures.recordGone(known, nowMs)
                checkLiveness(nowMs)
                return@decide
            }
            running.release(known)
            val request = known.request
            when (outcome) {
                TicketOutcome.FINISHED -> {
                    lengths.record(request.service, request.account, known.tokens)
                    suspects.clear(request.fingerprint)
                    if (target != null) target.recordFinished(known, nowMs, peersOf(target))
                }
                TicketOutcome.REFUSED, TicketOutcome.UNUSED ->
                    queue.charge(request.account, -known.chargedPromptTokens)
                TicketOutcome.LOST -> if (target != null && target.isAlive(known.incarnation)) {
                    if (target.failures.recordLost(known, nowMs)) die(target, nowMs)
                }
                TicketOutcome.GONE, TicketOutcome.CANCELLED -> Unit
            }
        }

    /** Takes the tickets of [vm] that run since the time of another owner. */
    public fun reregister(vm: VmId, tickets: List<RunningTicket>, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        for (report in tickets) {
            val request = report.request.copy(vm = vm)
            if (request.ticket in running || request.ticket in decided) continue
            queue.remove(request.ticket)
            val ticket = Ticket(
                request = request,
                target = report.target,
                incarnation = report.incarnation,
                lengths = lengths.lengthsOf(request.service, request.account, request.maxOutputTokens),
                isShort = request.maxOutputTokens <= configuration.shortMaxTokens(request.service),
                shortMaxTokens = configuration.shortMaxTokens(request.service),
                chargedPromptTokens = 0,
                grantedMs = nowMs,
                tokens = report.tokens,
                reportedMs = nowMs,
            )
            // The time of the grant is not known, so the duration is no sample.
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

    /** Drops the queued requests of a lost entry VM and cancels its running ones. */
    public fun vmLost(vm: VmId, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        for (entry in queue.entries.filter { it.request.vm == vm }) {
            queue.remove(entry.request.ticket)
            reject(entry.request.ticket, RejectReason.OVERLOADED, 0)
        }
        running.all.filter { it.request.vm == vm }.forEach { running.cancel(it, nowMs) }
    }

    /** Takes a new configuration. */
    public fun configure(configuration: Configuration, nowMs: Long): List<PoolEffect> = decide(nowMs) {
        this.configuration = configuration
        dispatcher.configuration = configuration
        queue.setWeights(configuration.accounts.mapValues { it.value.weight })
        isOfferReduced = true
    }

    /** Acts on what is due. */
    public fun tick(nowMs: Long): List<PoolEffect> = decide(nowMs) { suspects.expire(nowMs) }

    /** Returns when [tick] should be called next, or null if nothing is pending. */
    public fun nextTickMs(): Long? = listOfNotNull(
        queue.nextDeadlineMsOrNull(),
        running.nextReleaseMsOrNull(),
        (settlingUntilMs + if (dispatcher.hasStarted) FIRST_ANNOUNCEMENTS_MS else 0).takeUnless { hasSettled },
        targets.values.mapNotNull { it.nextCheckMsOrNull() }.minOrNull(),
        suspects.nextReleaseMsOrNull().takeIf { queue.size > 0 },
    ).minOrNull()

    /** Returns a picture of the pool. */
    public fun view(): PoolView = PoolView(
        pool = id,
        settling = !dispatcher.hasStarted,
        queuedShort = queue.shortSize,
        queuedLong = queue.longSize,
        targets = targets.values.map { it.view(placement.limitOf(it), placement.isLeaving(it, configuration)) },
        preemptions = pastPreemptions + targets.values.sumOf { it.preemptions },
        grantsPerSecond = dispatcher.grantsPerSecond(),
        suspects = suspects.size,
    )

    private inline fun decide(nowMs: Long, change: () -> Unit): List<PoolEffect> {
        dispatcher.advance(nowMs)
        checkLiveness(nowMs)
        change()
        running.releaseCancelled(nowMs)
        while (true) rejectOverloaded(queue.expiredOrNull(nowMs) ?: break)
        if (nowMs >= settlingUntilMs) settle(nowMs)
        // An engine counts as missing a service only after it had time to announce what it has.
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS) effects += loads.due(configuration, nowMs)
        return effects.also { effects = ArrayList() }
    }

    private fun settle(nowMs: Long) {
        if (nowMs >= settlingUntilMs + FIRST_ANNOUNCEMENTS_MS && (isOfferReduced || !hasSettled)) {
            hasSettled = true
            isOfferReduced = false
            queue.entries.map { it.request.ticket }.forEach { rejectIfUnavailable(it, nowMs) }
        }
        if (awaitingFate.isNotEmpty()) {
            awaitingFate.toList().also { awaitingFate.clear() }.forEach { rejectIfUnavailable(it, nowMs) }
        }
        dispatcher.grantAll(nowMs) { ticket, granted ->
            running.add(ticket)
            answer(ticket.request.ticket, granted)
        }
    }

    private fun addTarget(announcement: TargetAnnouncement, nowMs: Long) {
        val target = TargetState(announcement, nowMs)
        targets[announcement.target] = target
        target.prefixes.apply(announcement.cacheEvents)
        running.attach(target, raisesLimit(nowMs), nowMs)
        isOfferReduced = true
    }

    /** What runs during a takeover was within the limits that the targets had earned under the former owner. */
    private fun raisesLimit(nowMs: Long) = nowMs < settlingUntilMs + FIRST_ANNOUNCEMENTS_MS

    private fun renew(target: TargetState, announcement: TargetAnnouncement, nowMs: Long) {
        if (target.health == TargetHealth.DEAD && !target.mayRevive(nowMs)) return
        val before = target.announcement
        target.announced(announcement, nowMs)
        if (target.health == TargetHealth.DEAD) target.revive(nowMs)
        target.health = target.healthAt(nowMs)
        if (announcement.leaving != before.leaving || announcement.services != before.services) isOfferReduced = true
        target.takeUnusedGrants(nowMs).forEach(running::release)
    }

    private fun checkLiveness(nowMs: Long) {
        for (target in targets.values) {
            if (target.health == TargetHealth.DEAD) continue
            val health = target.healthAt(nowMs)
            if (health == TargetHealth.DEAD) die(target, nowMs) else target.health = health
        }
        suspects.releaseHeld(nowMs)
        val forgotten = targets.values.filter { it.isForgettable(nowMs) }
        for (target in forgotten) {
            pastPreemptions += target.preemptions
            running.forget(target)
            targets.remove(target.id)
        }
    }

    private fun die(target: TargetState, nowMs: Long) {
        // A target that announced its leaving was expected to stop, so its requests are not suspects.
        val present = if (target.announcement.leaving) emptyMap() else target.presentAtDeath(nowMs)
        val alreadyCounted = present.filter { (fingerprint, grantedMs) ->
            suspects.lastDeathMsOrNull(fingerprint)?.let { grantedMs < it } ?: false
        }.keys
        target.die(nowMs)
        val fingerprints = present.keys.toList()
        suspects.recordDeath(fingerprints, nowMs)
        effects += ReportCrash(target.id, target.announcement.incarnation, fingerprints, alreadyCounted)
        isOfferReduced = true
    }

    private fun peersOf(target: TargetState): (LatencyKey) -> List<PeerLatency> = { key ->
        targets.values
            .filter { it !== target && it.health != TargetHealth.DEAD }
            .mapNotNull { it.slowStart.latencyOrNull(key) }
    }

    private fun rejectIfUnavailable(ticket: TicketId, nowMs: Long) {
        val entry = queue.getOrNull(ticket) ?: return
        // Elsewhere the request could meet further targets before the fate of its last one is known.
        if (placement.awaitsFate(entry, targets)) {
            awaitingFate += ticket
            return
        }
        val reason = when (placement.availability(entry, targets.values, configuration)) {
            Availability.SERVED -> return
            Availability.LEAVING -> RejectReason.LEAVING
            Availability.NONE -> RejectReason.NO_TARGET
        }
        loads.countRejection(entry.request, nowMs)
        queue.remove(ticket)
        reject(ticket, reason, RETRY_LATER_MS)
    }

    private fun rejectOverloaded(entry: WaitingEntry) {
        queue.remove(entry.request.ticket)
        val waitMs = dispatcher.expectedWaitMs(entry.request.account, entry.isShort)
        val retryMs = (waitMs - entry.request.maxWaitMs).coerceAtLeast(RETRY_LATER_MS)
        reject(entry.request.ticket, RejectReason.OVERLOADED, retryMs)
    }

    private fun reject(ticket: TicketId, reason: RejectReason, retryAfterMs: Long) =
        answer(ticket, Rejected(reason, retryAfterMs))

    private fun answer(ticket: TicketId, reply: AdmissionReply) {
        decided[ticket] = Unit
        effects += SendAdmissionReply(ticket, reply)
    }

    private companion object {
        /** At ten times the planned rate of a pool this is about a minute of arrivals. */
        const val QUEUE_CAPACITY = 4_096
    }
}

/**
 * Returns the pool [id] under the fencing number [fence].
 *
 * @param settlingUntilMs until when the pool grants nothing, because another owner's grants may still be in use.
 */
public fun poolOf(
    id: PoolId,
    fence: FencingNumber,
    settlingUntilMs: Long,
    policies: PoolPolicies,
    random: Random,
): Pool = Pool(id, fence, settlingUntilMs, policies, random)
