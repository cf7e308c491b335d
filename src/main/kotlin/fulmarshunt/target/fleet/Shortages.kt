/*
 * Decides which waiting requests have no prospect of a target, and says when there may be room for the callers that are
 * refused. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.operator.serving.ServiceProfile
import org.apache.logging.log4j.LogManager

/** What is known of the shortages of targets. */
internal class Shortages(
    private val clock: Clock,
    private val waiting: WaitingRequests,
    private val targetsOf: (ServiceId) -> List<KnownTarget>,
    /** Returns the time after which a target takes one more request than a number of others. */
    private val unavailableForMs: (KnownTarget, Int) -> Long,
    private val freeingRateOrNull: (ServiceProfile) -> FreeingRate?,
) {
    private val log = LogManager.getLogger(Shortages::class.java)
    private val returns = ReturnSchedule()

    /** Returns the shortage of targets of [service]. */
    fun of(service: ServiceId): PlacementResult.Full {
        val known = targetsOf(service)
        return PlacementResult.Full(
            waiting.count(service),
            known.size,
            known.minOfOrNull { unavailableForMs(it, 0) } ?: 0,
        )
    }

    /** Returns whether targets are known, and none will take the request of [entry], behind [ahead], while it waits. */
    fun isHopeless(entry: WaitingRequest, ahead: Ahead): Boolean {
        val known = targetsOf(entry.service)
        if (known.isEmpty()) return false
        val patienceMs = entry.untilMs - clock.nowMs()
        val forecast = freeingRateOrNull(entry.request.service)?.forecastOrNull(ahead, patienceMs)
        return forecast?.isTooLong == true || known.all {
            it.id in entry.request.excluded || unavailableForMs(it, ahead.requests / known.size) > patienceMs
        }
    }

    /** Returns the result for the request of [entry], which is refused, and expects its caller back. */
    fun refuse(entry: WaitingRequest): PlacementResult.Full {
        val nowMs = clock.nowMs()
        val request = entry.request
        val rate = freeingRateOrNull(request.service)
        val forecast = rate?.forecastOrNull(waiting.ahead(entry), entry.untilMs - nowMs)
        val roomAfterMs = forecast?.let {
            returns.takeMs(entry.service, request.rank, it.waitMs, rate.timeMs(entry.capacity), nowMs)
        }
        val full = of(entry.service).copy(forecast = forecast, roomAfterMs = roomAfterMs)
        log.info(
            "placement refused request={} service={} account={} rank={} reason={} waitedMs={} ahead={} forecastMs={} " +
                "freedPerS={} patienceMs={} roomAfterMs={} pausedForMs={} waiting={} targets={}",
            request.requestId, entry.service, request.account, request.rank, full.reason, nowMs - entry.sinceMs,
            forecast?.ahead, forecast?.waitMs, forecast?.freedPerS, entry.untilMs - nowMs, roomAfterMs,
            full.pausedForMs, full.waiting, full.targets,
        )
        return full
    }
}
