/*
 * The state of one target in its pool: the last announcement, the tickets in flight there with their memory forecast,
 * the concurrency limit that the target has reached since its start, and its recent failures.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TicketId
import fulmarshunt.entry.GRANT_VALID_MS

/** Without an announcement for this long, a target gets no new work. */
internal const val SUSPECTED_AFTER_MS: Long = 3_000

/** Without an announcement for this long, a target counts as crashed. */
internal const val CRASHED_AFTER_MS: Long = 6_000

/** The assumed maximum delay of load reports and progress reports. */
private const val REPORT_MARGIN_MS = 3_000L

/** A rise of the preemption counter adds this to the risk bound, in standard deviations. */
private const val RISK_STEP = 0.2

/** Without preemptions the mean alone decides: a margin costs goodput, and the first preemption restores it. */
private const val MIN_RISK = 0.0
private const val MAX_RISK = 4.0

/** The decrease of the risk bound in each millisecond without preemptions. */
private const val RISK_DECREASE_PER_MS = 0.01 / 1_000

/** Drift beyond this share of the memory is attributed to evictable cache and ignored. */
private const val MAX_DRIFT_SHARE = 0.25

/** No more tokens are assumed for a ticket than it produces in this time after its last report. */
private const val MAX_UNCOUNTED_MS = 1_500L

/** A crashed target is forgotten after this time. */
private const val FORGOTTEN_AFTER_MS = 600_000L

/** The limit rises by one after progress without slow samples for this long. */
private const val HEALTHY_INTERVAL_MS = 1_000L

/** Computing this many prompt tokens takes about as long as everything else before the first token. */
private const val PROMPT_TOKENS_PER_STEP = 512.0

/** The state of one target in its pool. */
internal class TargetState(announcement: TargetAnnouncement, nowMs: Long) {
    var announcement: TargetAnnouncement = announcement
        private set

    /** Granted and running tickets. */
    val tickets = LinkedHashMap<TicketId, Ticket>()

    /** Tickets that ended when the target crashed but may still run if it returns in the same incarnation. */
    val orphans = LinkedHashMap<TicketId, Ticket>()
    val forecast = MemoryForecast()
    val prefixes = PrefixIndex()
    val slowStart = SlowStart(startLimit, nowMs)
    var lastAnnouncedMs = nowMs
        private set
    var health = TargetHealth.LIVE

    /** The service that a load order replaces here; it gets no new requests at this target. */
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

    /** The number of tickets that count as short now. */
    var shortCount = 0
        private set

    /** The number of requests from before this owner took the pool over that no entry VM has registered. */
    var unregistered = announcement.load.running + announcement.load.waiting
        private set
    val inFlight: Int get() = tickets.size + unregistered

    /** True if a request with this content runs here. */
    fun runs(fingerprint: Fingerprint): Boolean = tickets.values.any { it.request.fingerprint == fingerprint }

    fun add(ticket: Ticket) {
        if (ticket.countsAsShort) shortCount++
        tickets[ticket.request.ticket] = ticket
        forecast.add(ticket.forecast)
        countedTokens += ticket.memoryTokens
        countedMsSum += ticket.countedMs
    }

    fun remove(ticket: Ticket) {
        if (tickets.remove(ticket.request.ticket) == null) return
        if (ticket.countsAsShort) shortCount--
        forecast.remove(ticket.forecast)
        countedTokens -= ticket.memoryTokens
        countedMsSum -= ticket.countedMs
    }

    /** Sets the token count of a ticket and renews its forecast. */
    fun update(ticket: Ticket, tokens: Int) {
        forecast.remove(ticket.forecast)
        countedTokens += tokens - ticket.tokens
        if (ticket.countsAsShort) shortCount--
        ticket.tokens = tokens
        if (ticket.countsAsShort) shortCount++
        ticket.forecast = requestForecast(ticket.lengths, ticket.request.promptTokens, tokens)
        forecast.add(ticket.forecast)
    }

    /** Applies an announcement of the same incarnation. */
    fun applyAnnouncement(next: TargetAnnouncement, nowMs: Long) {
        val rise = next.load.preemptions - announcement.load.preemptions
        if (rise > 0) {
            preemptions += rise
            riskBound = minOf(MAX_RISK, riskBound + RISK_STEP)
        } else {
            riskBound = maxOf(MIN_RISK, riskBound - RISK_DECREASE_PER_MS * (nowMs - lastAnnouncedMs))
        }
        // The report lags behind, so it is compared with the greater count of the last two announcements.
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
            // Tickets that were reported before the count was taken are part of it, the rest may be unregistered.
            val known = tickets.values.count { it.isReported && it.reportedMs < nowMs - REPORT_MARGIN_MS }
            unregistered = minOf(unregistered, (next.load.running + next.load.waiting - known).coerceAtLeast(0))
        }
    }

    /** Takes over requests that an earlier owner placed here. */
    fun adopt(registered: List<Ticket>, raisesLimit: Boolean, nowMs: Long) {
        registered.forEach(::add)
        unregistered = (unregistered - registered.size).coerceAtLeast(0)
        if (raisesLimit) slowStart.adopt(minOf(tickets.size, fullLimit), nowMs)
    }

    /** Marks the target as crashed; its tickets may still turn out to run. */
    fun markCrashed(nowMs: Long) {
        health = TargetHealth.DEAD
        crashedMs = nowMs
        for (ticket in tickets.values.toList()) {
            remove(ticket)
            orphans[ticket.request.ticket] = ticket
        }
        unregistered = 0
    }

    /** False while connections to a target that lost tickets but kept announcing itself may not have recovered. */
    fun mayRecover(nowMs: Long): Boolean = !failures.hasLostTooMany(nowMs)

    /** True if a crashed target is not expected to return. */
    fun isForgettable(nowMs: Long): Boolean =
        health == TargetHealth.DEAD && nowMs - lastAnnouncedMs > FORGOTTEN_AFTER_MS &&
            nowMs - crashedMs > FORGOTTEN_AFTER_MS

    /** Returns the time at which further silence changes the health of the target, or null if it has crashed. */
    fun nextCheckMsOrNull(): Long? = when (health) {
        TargetHealth.LIVE -> lastAnnouncedMs + SUSPECTED_AFTER_MS
        TargetHealth.SUSPECTED -> lastAnnouncedMs + if (failures.isGoneReported) GONE_SILENCE_MS else CRASHED_AFTER_MS
        TargetHealth.DEAD -> null
    }

    /** Returns the health, given the time since the last announcement and attempts that found the target gone. */
    fun healthAt(nowMs: Long): TargetHealth {
        val silentMs = nowMs - lastAnnouncedMs
        return when {
            health == TargetHealth.DEAD -> TargetHealth.DEAD
            silentMs >= CRASHED_AFTER_MS ||
                (failures.isGoneReported && silentMs >= GONE_SILENCE_MS) -> TargetHealth.DEAD
            silentMs >= SUSPECTED_AFTER_MS || failures.isGoneReported -> TargetHealth.SUSPECTED
            else -> TargetHealth.LIVE
        }
    }

    /** True if the target has certainly sent an announcement after [sinceMs]. */
    fun hasAnnouncedSince(sinceMs: Long): Boolean = lastAnnouncedMs - sinceMs >= IN_FLIGHT_MS

    /** Marks the target as live again in the same incarnation, at the start limit and with the tickets still open. */
    fun recover(nowMs: Long) {
        health = TargetHealth.LIVE
        failures.clear()
        slowStart.restart(startLimit, nowMs)
        orphans.values.forEach(::add)
        orphans.clear()
        unregistered = (announcement.load.running + announcement.load.waiting - tickets.size).coerceAtLeast(0)
    }

    /** Returns a snapshot of the target. */
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

    /** Returns the expected peak with [added], the risk margin and the drift of this VM's own counts included. */
    fun peakTokens(added: RequestForecast?, nowMs: Long): Double =
        forecast.peakTokens(added, riskBound) + uncountedTokens(nowMs) + driftTokens

    /** Estimates the tokens that were produced since the last reports, which arrive about once a second. */
    private fun uncountedTokens(nowMs: Long): Double {
        if (tickets.isEmpty() || betweenTokens.meanMs <= 0.0) return 0.0
        val sinceMs = (tickets.size * nowMs - countedMsSum).coerceIn(0, tickets.size * MAX_UNCOUNTED_MS)
        return sinceMs / maxOf(betweenTokens.meanMs, 1.0)
    }

    /** Adds latency samples; a healthy interval raises the limit, and a cold target returns to its start limit. */
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
            // The prompt has to be computed before the first token, so the baseline is relative to the prompt length.
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

    /** Records a finished request and raises the limit by one, unless the target is slow now. */
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
     * Returns the requests that may be related to a crash now, with the latest time at which each was placed here:
     * those that run here, and those that were lost so recently that the same fault may have ended them.
     */
    fun requestsAtCrash(nowMs: Long): Map<Fingerprint, Long> {
        val requests = LinkedHashMap<Fingerprint, Long>()
        tickets.values.forEach { requests.merge(it.request.fingerprint, it.grantedMs, ::maxOf) }
        failures.recent(nowMs).forEach { (fingerprint, grantedMs) -> requests.merge(fingerprint, grantedMs, ::maxOf) }
        return requests
    }

    /**
     * Returns the grants that the target cannot be running although nothing was reported about them.
     *
     * A grant may reach the target until [GRANT_VALID_MS] after it was received. From then on the target's own count
     * of requests decides. If it counts none, the grant does not run. If it counts n, and n other tickets both were
     * reported long before the count was taken and produced tokens after it, then these are the n, and the grant is
     * not among them. Otherwise the grant still counts as in flight, because a grant that is counted without need only
     * wastes capacity, while one that is missing would exceed the limit.
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

/** True if the target is alive and in [incarnation]. */
internal fun TargetState.isAlive(incarnation: Incarnation): Boolean =
    health != TargetHealth.DEAD && announcement.incarnation == incarnation
