/*
 * What a pool knows about one target: its last announcement, the tickets that hold places there, the forecast of their
 * memory, and what the target has earned and lost since its start.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TicketId
import fulmarshunt.entry.GRANT_VALID_MS

/** Without an announcement for this long, a target gets no new work. */
internal const val SUSPECTED_AFTER_MS: Long = 3_000

/** Without an announcement for this long, a target counts as dead. */
internal const val CRASHED_AFTER_MS: Long = 6_000

/** The margin for the delay of load reports and progress reports. */
private const val REPORT_MARGIN_MS = 3_000L

/** A rise of the preemption counter adds this to the risk bound, in standard deviations. */
private const val RISK_STEP = 0.2

/** Without preemptions the mean alone decides: a margin costs goodput, and the first preemption brings it back. */
private const val MIN_RISK = 0.0
private const val MAX_RISK = 4.0

/** How much the risk bound relaxes with each second without preemptions. */
private const val RISK_RELAXED_PER_MS = 0.01 / 1_000

/** Drift beyond this share of the memory is attributed to evictable cache and ignored. */
private const val MAX_DRIFT_SHARE = 0.25

/** Tickets that were not reported for longer are not assumed to have produced more. */
private const val MAX_UNCOUNTED_MS = 1_500L

/** A dead target is forgotten after this time. */
private const val FORGOTTEN_AFTER_MS = 600_000L

/** A time with progress and without slow samples that earns a place. */
private const val HEALTHY_INTERVAL_MS = 1_000L

/** Computing this many prompt tokens takes about as long as the rest of the way to the first token. */
private const val PROMPT_TOKENS_PER_STEP = 512.0

internal class TargetState(announcement: TargetAnnouncement, nowMs: Long) {
    var announcement: TargetAnnouncement = announcement
        private set

    /** Granted and running tickets. */
    val tickets = LinkedHashMap<TicketId, Ticket>()

    /** Tickets that ended with the target's death but may still run if it returns in the same incarnation. */
    val orphans = LinkedHashMap<TicketId, Ticket>()
    val forecast = MemoryForecast()
    val prefixes = PrefixIndex()
    val slowStart = SlowStart(startLimit, nowMs)
    var lastAnnouncedMs = nowMs
        private set
    var health = TargetHealth.LIVE

    /** The service that an order replaces, which gets no new work here. */
    var replaced: ServiceId? = null
    var riskBound = MIN_RISK
        private set
    var preemptions = 0L
        private set
    private val firstToken = LatencyBaseline()
    private val betweenTokens = LatencyBaseline()
    val failures = TargetFailures()
    private var driftTokens = 0L
    private var crashedMs = 0L
    private var lastGrowthMs = nowMs
    private var checkedMs = 0L
    private var countAtCheck = 0
    private var previousCountedTokens = 0L

    /** The sum of the times at which the tickets' tokens were counted. */
    private var countedMsSum = 0L
    private var countedTokens = 0L

    val id get() = announcement.target
    val startLimit: Int get() = announcement.startLimit.coerceIn(1, fullLimit)
    val fullLimit: Int get() = announcement.fullLimit.coerceAtLeast(1)

    /** The tickets that count as short now. */
    var shortCount = 0
        private set

    /** Requests that ran here before this owner took the pool over and that no entry VM has registered. */
    var unregistered = announcement.load.running + announcement.load.waiting
        private set
    val inFlight: Int get() = tickets.size + unregistered

    /** True if a request with this content runs here. */
    fun runs(fingerprint: Fingerprint): Boolean = tickets.values.any { it.request.fingerprint == fingerprint }

    fun add(ticket: Ticket) {
        if (ticket.countsAsShort) shortCount++
        tickets[ticket.request.ticket] = ticket
        forecast.add(ticket.life)
        countedTokens += ticket.memoryTokens
        countedMsSum += ticket.countedMs
    }

    fun remove(ticket: Ticket) {
        if (tickets.remove(ticket.request.ticket) == null) return
        if (ticket.countsAsShort) shortCount--
        forecast.remove(ticket.life)
        countedTokens -= ticket.memoryTokens
        countedMsSum -= ticket.countedMs
    }

    /** Sets the token count of a ticket and renews its forecast. */
    fun update(ticket: Ticket, tokens: Int) {
        forecast.remove(ticket.life)
        countedTokens += tokens - ticket.tokens
        if (ticket.countsAsShort) shortCount--
        ticket.tokens = tokens
        if (ticket.countsAsShort) shortCount++
        ticket.life = requestForecast(ticket.lengths, ticket.request.promptTokens, tokens)
        forecast.add(ticket.life)
    }

    /** Takes an announcement of the same incarnation. */
    fun applyAnnouncement(next: TargetAnnouncement, nowMs: Long) {
        val rise = next.load.preemptions - announcement.load.preemptions
        if (rise > 0) {
            preemptions += rise
            riskBound = minOf(MAX_RISK, riskBound + RISK_STEP)
        } else {
            riskBound = maxOf(MIN_RISK, riskBound - RISK_RELAXED_PER_MS * (nowMs - lastAnnouncedMs))
        }
        // The report lags, so it is compared with the greatest count of the last two announcements.
        val estimate = countedTokens + uncountedTokens(nowMs).toLong()
        val excess = next.load.usedTokens - maxOf(estimate, previousCountedTokens)
        val bound = (MAX_DRIFT_SHARE * next.memoryTokens).toLong()
        driftTokens = if (excess > driftTokens) excess.coerceAtMost(bound) else (driftTokens + maxOf(excess, 0)) / 2
        previousCountedTokens = estimate
        announcement = next
        lastAnnouncedMs = nowMs
        failures.recordAnnouncement(nowMs)
        prefixes.apply(next.cacheEvents)
        if (unregistered > 0) {
            // Tickets that were reported before the count was taken are part of it, the rest may be foreign.
            val known = tickets.values.count { it.isReported && it.reportedMs < nowMs - REPORT_MARGIN_MS }
            unregistered = minOf(unregistered, (next.load.running + next.load.waiting - known).coerceAtLeast(0))
        }
    }

    /** Takes over requests that run here since the time of another owner. */
    fun adopt(registered: List<Ticket>, raisesLimit: Boolean, nowMs: Long) {
        registered.forEach(::add)
        unregistered = (unregistered - registered.size).coerceAtLeast(0)
        if (raisesLimit) slowStart.adopt(minOf(tickets.size, fullLimit), nowMs)
    }

    /** Takes the target as dead; its tickets may still turn out to run. */
    fun markCrashed(nowMs: Long) {
        health = TargetHealth.DEAD
        crashedMs = nowMs
        for (ticket in tickets.values.toList()) {
            remove(ticket)
            orphans[ticket.request.ticket] = ticket
        }
        unregistered = 0
    }

    /** A target that lost tickets while it announced itself stays dead until the connections had time to recover. */
    fun mayRecover(nowMs: Long): Boolean = !failures.hasLostTooMany(nowMs)

    /** True when a dead target is not expected to return. */
    fun isForgettable(nowMs: Long): Boolean =
        health == TargetHealth.DEAD && nowMs - lastAnnouncedMs > FORGOTTEN_AFTER_MS &&
            nowMs - crashedMs > FORGOTTEN_AFTER_MS

    /** Returns when silence of the target has its next consequence, or null if it is dead. */
    fun nextCheckMsOrNull(): Long? = when (health) {
        TargetHealth.LIVE -> lastAnnouncedMs + SUSPECTED_AFTER_MS
        TargetHealth.SUSPECTED -> lastAnnouncedMs + if (failures.isGoneReported) GONE_SILENCE_MS else CRASHED_AFTER_MS
        TargetHealth.DEAD -> null
    }

    /** Returns the health that follows from the time since the last announcement and from attempts that were gone. */
    fun healthAt(nowMs: Long): TargetHealth {
        val silentMs = nowMs - lastAnnouncedMs
        return when {
            health == TargetHealth.DEAD -> TargetHealth.DEAD
            silentMs >= CRASHED_AFTER_MS -> TargetHealth.DEAD
            failures.isGoneReported && silentMs >= GONE_SILENCE_MS -> TargetHealth.DEAD
            silentMs >= SUSPECTED_AFTER_MS || failures.isGoneReported -> TargetHealth.SUSPECTED
            else -> TargetHealth.LIVE
        }
    }

    /** True if the target has announced itself after what happened at [sinceMs]. */
    fun hasAnnouncedSince(sinceMs: Long): Boolean = lastAnnouncedMs - sinceMs >= IN_FLIGHT_MS

    /** Returns to life in the same incarnation, at the start limit and with the tickets that never ended. */
    fun recover(nowMs: Long) {
        health = TargetHealth.LIVE
        failures.clear()
        slowStart.restart(startLimit, nowMs)
        orphans.values.forEach(::add)
        orphans.clear()
        unregistered = (announcement.load.running + announcement.load.waiting - tickets.size).coerceAtLeast(0)
    }

    fun view(limit: Int, leaving: Boolean): TargetView = TargetView(
        target = id,
        incarnation = announcement.incarnation,
        health = health,
        leaving = leaving,
        inFlight = inFlight,
        limit = limit,
        memoryTokens = announcement.memoryTokens,
        countedTokens = countedTokens,
        expectedPeakTokens = forecast.peakTokens(null, 0.0).toLong(),
        riskBound = riskBound,
        preemptions = preemptions,
        loading = announcement.loading,
    )

    /** The expected peak with [added] on top, the risk margin and the drift of our own counts. */
    fun peakTokens(added: RequestForecast?, nowMs: Long): Double =
        forecast.peakTokens(added, riskBound) + uncountedTokens(nowMs) + driftTokens

    /** The tokens that were probably produced since the last reports, which come about once a second. */
    private fun uncountedTokens(nowMs: Long): Double {
        if (tickets.isEmpty() || betweenTokens.meanMs <= 0.0) return 0.0
        val sinceMs = (tickets.size * nowMs - countedMsSum).coerceIn(0, tickets.size * MAX_UNCOUNTED_MS)
        return sinceMs / maxOf(betweenTokens.meanMs, 1.0)
    }

    /** Adds latency samples; a healthy interval earns a place, and a cold target returns to its start limit. */
    fun recordProgress(
        ticket: Ticket,
        firstTokenMs: Long,
        betweenTokensMs: Double,
        nowMs: Long,
        peers: (LatencyKey) -> List<PeerLatency>,
    ) {
        failures.recordSuccess()
        countedMsSum += nowMs - ticket.countedMs
        ticket.countedMs = nowMs
        var isCold = false
        if (firstTokenMs >= 0 && !ticket.hasFirstTokenSample) {
            ticket.hasFirstTokenSample = true
            // The prompt has to be computed before the first token, so the norm is per amount of prompt.
            isCold = firstToken.record(firstTokenMs / (1.0 + ticket.request.promptTokens / PROMPT_TOKENS_PER_STEP))
        }
        if (betweenTokensMs >= 0) {
            isCold = betweenTokens.record(betweenTokensMs) || isCold
            ticket.hasLatencySample = true
            val key = LatencyKey(ticket.request.service, LatencyKind.BETWEEN_TOKENS)
            slowStart.record(key, betweenTokensMs, nowMs, peers)
        }
        if (isCold) {
            slowStart.restart(startLimit, nowMs)
            lastGrowthMs = nowMs
        } else if (betweenTokensMs >= 0 && nowMs - lastGrowthMs >= HEALTHY_INTERVAL_MS) {
            lastGrowthMs = nowMs
            grow(nowMs)
        }
    }

    /** Earns a place, unless the target is slow now. */
    fun recordFinished(ticket: Ticket, nowMs: Long, peers: (LatencyKey) -> List<PeerLatency>) {
        failures.recordSuccess()
        if (!ticket.hasLatencySample) {
            val key = LatencyKey(ticket.request.service, LatencyKind.WHOLE)
            slowStart.record(key, (nowMs - ticket.grantedMs) / (1.0 + ticket.tokens), nowMs, peers)
        }
        grow(nowMs)
    }

    private fun grow(nowMs: Long) {
        if (!firstToken.isSlow && !betweenTokens.isSlow) slowStart.grow(fullLimit, nowMs)
    }

    /**
     * Returns the requests that may have to do with a death now, with the latest time at which each was placed here:
     * those that run here, and those that were lost so recently that the same fault may have ended them.
     */
    fun requestsAtCrash(nowMs: Long): Map<Fingerprint, Long> {
        val present = LinkedHashMap<Fingerprint, Long>()
        tickets.values.forEach { present.merge(it.request.fingerprint, it.grantedMs, ::maxOf) }
        failures.recent(nowMs).forEach { (fingerprint, grantedMs) -> present.merge(fingerprint, grantedMs, ::maxOf) }
        return present
    }

    /**
     * Returns the grants that the target cannot be running although nothing was reported about them.
     *
     * A grant may reach the target until [GRANT_VALID_MS] after it was received. From then on the target's own count
     * of requests decides. If it counts none, the grant does not run. If it counts n, and n other tickets both were
     * reported long before the count was taken and produced tokens after it, then these are the n, and the grant is
     * not among them. Otherwise the grant keeps its place, because a place that is counted twice only wastes
     * capacity, while one that is missing would break the limit.
     */
    fun takeUnusedGrants(nowMs: Long): List<Ticket> {
        val settledBeforeMs = nowMs - GRANT_VALID_MS - REPORT_MARGIN_MS
        val overdue = tickets.values.filter { !it.isReported && it.grantedMs < settledBeforeMs }
        if (overdue.isEmpty()) return emptyList()
        val known = tickets.values.filter { it.isReported && it.reportedMs < settledBeforeMs }
        val count = announcement.load.running + announcement.load.waiting
        val settledAtCheckMs = checkedMs - GRANT_VALID_MS - REPORT_MARGIN_MS
        val progressed = known.count { it.reportedMs < settledAtCheckMs && it.tokens > it.tokensAtCheck }
        val unused = when {
            count == 0 -> overdue
            checkedMs > 0 && progressed >= countAtCheck -> overdue.filter { it.grantedMs < settledAtCheckMs }
            else -> emptyList()
        }
        checkedMs = nowMs
        countAtCheck = count
        known.forEach { it.tokensAtCheck = it.tokens }
        return unused
    }
}

/** True if the target lives in [incarnation]. */
internal fun TargetState.isAlive(incarnation: Incarnation): Boolean =
    health != TargetHealth.DEAD && announcement.incarnation == incarnation
