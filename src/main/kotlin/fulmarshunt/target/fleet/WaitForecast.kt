/*
 * Forecasts how long a request waits for a target: the capacity that the requests ahead of it need, divided by the
 * rate at which capacity comes free for this entry VM.
 *
 * It answers bursts that last longer than callers wait: a caller that would be refused after its wait is refused at
 * once, while it has time to return. The rate is the capacity in use divided by the mean time for which capacity is
 * held (Little's law). Counting what came free at this VM would take too long: of 73 VMs, each places one request a
 * second. The forecast is a lower bound. It leaves out requests that arrive later and go first, and takes all
 * capacity as in use.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.leastRecentlyUsedMap
import fulmarshunt.operator.serving.ServiceProfile
import kotlin.math.roundToLong

/** The number of ended requests without which there is no forecast. */
private const val MIN_ENDED = 16

/** The number of ended requests after which one counts for a third. */
private const val MEMORY_ENDED = 64.0
private const val MAX_SERVICES = 256

/** The factor by which a forecast must exceed the patience: a wrong refusal costs a caller more than a wait in vain. */
private const val MIN_EXCESS_FACTOR = 1.5

private const val MS_PER_S = 1_000.0

/** Returns the capacity that [request] takes at a target, as a share of all that the target has. */
internal fun capacityOf(request: PlacementRequest): Double {
    val engine = request.service.engine ?: return 1.0
    val tokens = (request.promptTokens + request.outputTokens).toDouble()
    return maxOf(tokens / engine.memoryTokens.coerceAtLeast(1), 1.0 / engine.slots.coerceAtLeast(1))
}

/** Returns the capacity of the targets of [service] that is in [use], in the unit of [capacityOf]. */
private fun capacityIn(service: ServiceProfile, use: TargetUse): Double {
    val engine = service.engine ?: return use.running.toDouble()
    return maxOf(
        use.tokens.toDouble() / engine.memoryTokens.coerceAtLeast(1),
        use.running.toDouble() / engine.slots.coerceAtLeast(1),
    )
}

/** Returns the capacity of [target], in the unit of [capacityOf]; a plain target queues as many as it has slots. */
private fun capacityOf(service: ServiceProfile, target: KnownTarget): Double =
    if (service.engine == null) 2.0 * target.record.slots else 1.0

/** What waits ahead of a request for the same service, in the order of admission. */
internal data class Ahead(val requests: Int, val capacity: Double)

/** How long a request is expected to wait for a target, and from what this follows. */
public data class WaitForecast(
    /** The number of requests that are admitted before it. */
    public val ahead: Int,
    /** The capacity that comes free in a second for this entry VM, in capacity of one target, or places if plain. */
    public val freedPerS: Double,
    public val waitMs: Long,
    /** For how long the request may wait. */
    public val patienceMs: Long,
) {
    /** Whether the request will probably not be placed while it may wait. */
    internal val isTooLong: Boolean get() = ahead > 0 && waitMs > patienceMs * MIN_EXCESS_FACTOR
}

/** The rate at which capacity for a service comes free for this entry VM. */
@JvmInline
internal value class FreeingRate(private val perMs: Double) {
    /** Returns the time in which [capacity] comes free. */
    fun timeMs(capacity: Double): Long = (capacity / perMs).roundToLong()

    /** Returns the forecast for a request behind [ahead], or null if nothing is ahead of it. */
    fun forecastOrNull(ahead: Ahead, patienceMs: Long): WaitForecast? = if (ahead.requests == 0) {
        null
    } else {
        WaitForecast(ahead.requests, perMs * MS_PER_S, timeMs(ahead.capacity), patienceMs)
    }
}

/** For how long requests held capacity at targets. */
internal class HoldingTimes {
    private class Sums(var ended: Int = 0, var capacity: Double = 0.0, var capacityMs: Double = 0.0)

    private val byService = leastRecentlyUsedMap<ServiceId, Sums>(MAX_SERVICES)

    /** Records that [placement] ends with [outcome]. */
    fun recordEnd(placement: Placement, outcome: UseOutcome, nowMs: Long) {
        val isRun = outcome != UseOutcome.REFUSED && outcome != UseOutcome.UNREACHABLE
        // A copy holds memory, but no request waits for its end.
        if (!isRun || placement.use.running == 0) return
        val capacity = capacityOf(placement.request)
        val sums = byService.getOrPut(placement.request.service.id) { Sums() }
        val kept = 1 - 1 / MEMORY_ENDED
        sums.ended = (sums.ended + 1).coerceAtMost(MIN_ENDED)
        sums.capacity = sums.capacity * kept + capacity
        sums.capacityMs = sums.capacityMs * kept + capacity * (nowMs - placement.placedAtMs)
    }

    /**
     * Returns the rate at which capacity at [targets] comes free, or null while too little is known.
     *
     * @param own the use of a target by this VM. @param all the use of a target by all [entryVms].
     */
    fun rateOrNull(
        service: ServiceProfile,
        targets: List<KnownTarget>,
        own: (TargetId) -> TargetUse,
        all: (TargetId) -> TargetUse,
        entryVms: Int,
    ): FreeingRate? {
        val sums = byService[service.id] ?: return null
        // An assumed number of entry VMs would make the share of this one look too small.
        if (entryVms == PLANNED_ENTRY_VMS || sums.ended < MIN_ENDED || sums.capacityMs <= 0) return null
        val ownCapacity = targets.sumOf { capacityIn(service, own(it.id)) }
        // Where requests wait, what is not in use is taken as used by other VMs that have not told it yet.
        val capacity = targets.sumOf { maxOf(capacityIn(service, all(it.id)), capacityOf(service, it)) }
        val inUse = maxOf(ownCapacity, capacity / entryVms.coerceAtLeast(1))
        return if (inUse > 0) FreeingRate(inUse * sums.capacity / sums.capacityMs) else null
    }
}
