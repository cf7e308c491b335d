/*
 * How often one entry VM has requests for a service. An entry VM without a request leaves its share of a limit unused;
 * entry VMs get similar loads, so that each takes its own demand for that of the others, and shares the limit with
 * fewer of them. Where that is wrong, the shares still add up to the limit: an entry VM with half of the demand takes
 * twice the share half as often. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import kotlin.math.pow

private const val WINDOW_MS = 1_000L

/** The weight of the newest window. */
private const val NEWEST_WEIGHT = 0.3

/** At most so many times the share is taken, because demand can rise at once. */
private const val MIN_SHARE = 0.25

/** The demand of one entry VM. */
internal class DemandShare {
    private class Demand(var windowStartMs: Long) {
        var share = 1.0
        var hasRequest = false
    }

    private val demands = mutableMapOf<ServiceId, Demand>()

    /** Records that there is a request for [service]. */
    fun record(service: ServiceId, nowMs: Long) {
        current(service, nowMs).hasRequest = true
    }

    /** Returns the number of entry VMs, of [entryVms], that have a request for [service] at the same time. */
    fun sharers(service: ServiceId, entryVms: Int, nowMs: Long): Int =
        (entryVms * current(service, nowMs).share.coerceAtLeast(MIN_SHARE)).toInt().coerceAtLeast(1)

    private fun current(service: ServiceId, nowMs: Long): Demand {
        val demand = demands.getOrPut(service) { Demand(nowMs) }
        val windows = (nowMs - demand.windowStartMs) / WINDOW_MS
        if (windows <= 0) return demand
        demand.share += NEWEST_WEIGHT * ((if (demand.hasRequest) 1.0 else 0.0) - demand.share)
        demand.share *= (1 - NEWEST_WEIGHT).pow((windows - 1).toDouble())
        demand.hasRequest = false
        demand.windowStartMs += windows * WINDOW_MS
        return demand
    }
}
