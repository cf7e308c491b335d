/*
 * Grants targets to waiting requests in order. Short requests go first, but after a number of them in a row a long one
 * that fits goes next. Others may overtake a request that fits nowhere for a limited time.
 */
package fulmarshunt.target

import fulmarshunt.ClientAccountId
import fulmarshunt.FencingNumber
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.entry.Granted
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind

/** After this many short grants in a row, a long request that fits goes first. */
private const val MAX_CONSECUTIVE_SHORT = 8

/** The maximum number of accounts whose first request is tried in one pass. */
private const val MAX_TRIED_HEADS = 16

/** The engine priority of short requests, above that of any long one. */
private const val SHORT_PRIORITY = 10

/** A long request gains one engine priority for each time of this length that it has waited. */
private const val PRIORITY_STEP_MS = 5_000L
private const val MAX_LONG_PRIORITY = 8L

/** The longest expected wait, used when nothing was granted from a backlog for a while. */
private const val MAX_EXPECTED_WAIT_MS = 60_000L

/** Grants the waiting requests of a pool. */
internal class Dispatcher(
    private val fence: FencingNumber,
    private val policies: PoolPolicies,
    private val queue: WaitingQueue,
    private val selector: TargetSelector,
    private val targets: Map<TargetId, TargetState>,
) {
    private val shortRate = ServiceRate()
    private val longRate = ServiceRate()
    private var consecutiveShort = 0
    var configuration: Configuration = Configuration()

    /** True once grants are allowed. */
    var hasStarted = false
        private set

    fun advance(nowMs: Long) {
        shortRate.advance(queue.hasWaiting(isShort = true), nowMs)
        longRate.advance(queue.hasWaiting(isShort = false), nowMs)
    }

    /** Grants requests until no waiting one fits. */
    fun grantAll(nowMs: Long, onGrant: (Ticket, Granted) -> Unit) {
        hasStarted = true
        while (queue.size > 0 && targets.values.any { it.health == TargetHealth.LIVE && hasFreeSlot(it) }) {
            val entry = grantNext(nowMs, onGrant) ?: break
            consecutiveShort = if (entry.isShort) consecutiveShort + 1 else 0
        }
    }

    /** Returns the expected wait of a new request, or 0 while the rate is unknown. */
    fun expectedWaitMs(account: ClientAccountId, isShort: Boolean): Long {
        val ahead = queue.aheadOf(account, isShort)
        val rate = rateOf(isShort).perMsOrNull() ?: return 0
        return (ahead / rate).coerceAtMost(MAX_EXPECTED_WAIT_MS.toDouble()).toLong()
    }

    fun grantsPerSecond(): Double = 1_000 * ((shortRate.perMsOrNull() ?: 0.0) + (longRate.perMsOrNull() ?: 0.0))

    private fun hasFreeSlot(target: TargetState) = target.inFlight < selector.limitOf(target)

    private fun rateOf(isShort: Boolean) = if (isShort && policies.queueOrder.hasShortClass) shortRate else longRate

    private fun grantNext(nowMs: Long, onGrant: (Ticket, Granted) -> Unit): WaitingEntry? {
        val isLongDue = consecutiveShort >= MAX_CONSECUTIVE_SHORT
        return grantFirst(isShort = !isLongDue, nowMs, onGrant) ?: grantFirst(isShort = isLongDue, nowMs, onGrant)
    }

    private fun grantFirst(isShort: Boolean, nowMs: Long, onGrant: (Ticket, Granted) -> Unit): WaitingEntry? {
        val hasWaitingLong = isShort && queue.hasWaiting(isShort = false)
        val blocked = HashSet<ServiceId>()
        for (entry in queue.heads(isShort) { !selector.isHeld(it, targets, nowMs) }.take(MAX_TRIED_HEADS)) {
            val service = entry.request.service
            if (service in blocked) continue
            val target = selector.chooseOrNull(entry, targets, configuration, hasWaitingLong, nowMs)
            if (target != null) {
                grant(entry, target, nowMs, onGrant)
                return entry
            }
            if (nowMs - entry.enqueuedMs >= policies.queueOrder.bypassMs) blocked += service
        }
        return null
    }

    private fun grant(entry: WaitingEntry, target: TargetState, nowMs: Long, onGrant: (Ticket, Granted) -> Unit) {
        val request = entry.request
        queue.remove(request.ticket)
        rateOf(entry.isShort).countGrant()
        val computed = request.promptTokens * (1.0 - target.prefixes.affinity(request.prefixHashes))
        queue.charge(request.account, computed.toInt())
        target.prefixes.recordExpected(request.prefixHashes)
        val ticket = Ticket(
            request = request,
            target = target.id,
            incarnation = target.announcement.incarnation,
            lengths = entry.lengths,
            isShort = entry.isShort,
            shortMaxTokens = configuration.shortMaxTokens(request.service),
            chargedPromptTokens = computed.toInt(),
            grantedMs = nowMs,
            tokens = 0,
            reportedMs = -1,
        )
        target.add(ticket)
        onGrant(ticket, granted(entry, target, nowMs))
    }

    private fun granted(entry: WaitingEntry, target: TargetState, nowMs: Long): Granted {
        val announcement = target.announcement
        val request = entry.request
        val remainingTokens = announcement.memoryTokens - request.promptTokens
        val output =
            if (announcement.memoryTokens > 0) minOf(request.maxOutputTokens.toLong(), remainingTokens) else null
        return Granted(
            target = target.id,
            address = announcement.address,
            incarnation = announcement.incarnation,
            fence = fence,
            priority = priorityOf(entry, nowMs),
            maxOutputTokens = output?.toInt() ?: request.maxOutputTokens,
        )
    }

    private fun priorityOf(entry: WaitingEntry, nowMs: Long): Int = when {
        !policies.queueOrder.hasShortClass -> 0
        entry.isShort -> SHORT_PRIORITY
        else -> minOf(entry.waitedMs(nowMs) / PRIORITY_STEP_MS, MAX_LONG_PRIORITY).toInt()
    }
}

/** Returns the output length up to which requests for [service] are short. */
internal fun Configuration.shortMaxTokens(service: ServiceId): Int =
    services[service]?.shortMaxTokens ?: Service(service, ServiceKind.MODEL).shortMaxTokens
