/*
 * Plans the loads of a pool and counts what the plan needs: requests for each service and rejections because no target
 * serves it. The state is confined to the pool's thread.
 */
package fulmarshunt.target

import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.ServiceId
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.ServiceKind

/** The minimum time between two plans, as each one examines all targets and waiting requests. */
private const val PLAN_INTERVAL_MS = 250L

/** A rejected request counts as demand for this time; callers are advised to retry after a second. */
private const val REJECTED_MS = 10_000L

/** The maximum number of rejected requests that are kept. */
private const val MAX_REJECTED = 4_096

/** A service that was requested within this time keeps its last target. */
private const val RECENT_REQUEST_MS = 300_000L

/** A request that was rejected because no target serves its service. */
private class Rejection(val service: ServiceId, val atMs: Long)

/** Decides which engines of a pool load which services. */
internal class LoadPlanner(
    private val fence: FencingNumber,
    private val targets: Collection<TargetState>,
    private val queue: WaitingQueue,
    private val selector: TargetSelector,
    private val policy: LoadPolicy = loadPolicy(),
) {
    private var state = LoadState()
    private var plannedMs: Long? = null
    private var startedMs: Long? = null
    private val lastRequestMs = HashMap<ServiceId, Long>()

    /** Keyed by content, because an entry VM may request admission several times for one request. */
    private val rejections = object : LinkedHashMap<Fingerprint, Rejection>() {
        override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, Rejection>): Boolean = size > MAX_REJECTED
    }

    /** Counts a request for [service]. */
    fun countRequest(service: ServiceId, nowMs: Long) {
        lastRequestMs[service] = nowMs
    }

    /** Counts a request that no target of the pool can take. */
    fun countRejection(request: AdmissionRequest, nowMs: Long) {
        rejections.remove(request.fingerprint)
        rejections[request.fingerprint] = Rejection(request.service, nowMs)
    }

    /** Returns the orders that are due under [configuration]. */
    fun dueOrders(configuration: Configuration, nowMs: Long): List<IssueLoad> {
        if (configuration.weightStoreBytesPerSecond <= 0) {
            stop()
            return emptyList()
        }
        if (plannedMs?.let { nowMs - it < PLAN_INTERVAL_MS } == true) return emptyList()
        plannedMs = nowMs
        val plan = state.plan(view(configuration, nowMs), policy, nowMs)
        state = plan.state
        targets.forEach { it.replaced = state.running[it.id]?.replaces }
        return plan.orders.map {
            IssueLoad(it.target.id, it.target.address, EngineLoad(it.service, it.replaces, fence), it.isRepeat)
        }
    }

    private fun stop() {
        if (plannedMs == null) return
        plannedMs = null
        // Ordered bytes stay charged, in case a rate is configured again.
        state = LoadState(weightStoreFreeMs = state.weightStoreFreeMs)
        targets.forEach { it.replaced = null }
    }

    private fun view(configuration: Configuration, nowMs: Long): LoadView {
        val models = configuration.services.values.filter { it.kind == ServiceKind.MODEL }
        val (loadable, fixed) = models.partition { it.weightBytes > 0 }
        lastRequestMs.keys.retainAll(configuration.services.keys)
        val pools = configuration.domains.values.sumOf { it.shards }.coerceAtLeast(1)
        return LoadView(
            targets = targets
                .filter { it.health != TargetHealth.DEAD && !selector.isLeaving(it, configuration) }
                .map(::loadTarget),
            demands = demands(models.map { it.id }, nowMs),
            weightBytes = loadable.associate { it.id to it.weightBytes },
            fixed = fixed.mapTo(HashSet()) { it.id },
            bytesPerSecond = configuration.weightStoreBytesPerSecond.toDouble() / pools,
        )
    }

    private fun loadTarget(target: TargetState): LoadTarget {
        val announcement = target.announcement
        val services = announcement.services.toSet()
        return LoadTarget(
            id = target.id,
            address = announcement.address,
            incarnation = announcement.incarnation,
            services = services,
            maxServices = announcement.maxServices,
            loading = announcement.loading,
            isLive = target.health == TargetHealth.LIVE,
            // Unregistered requests may belong to any service.
            busy = if (target.unregistered >
                0
            ) {
                services
            } else {
                target.tickets.values.mapTo(HashSet()) { it.request.service }
            },
            inFlight = target.inFlight,
        )
    }

    private fun demands(services: List<ServiceId>, nowMs: Long): Map<ServiceId, ServiceDemand> {
        val oldest = rejections.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().atMs >= REJECTED_MS) oldest.remove()
        val queued = queue.entries.groupingBy { it.request.service }.eachCount()
        val rejected = rejections.values.groupingBy { it.service }.eachCount()
        val running = targets.flatMap { it.tickets.values }.groupingBy { it.request.service }.eachCount()
        // Requests from before this owner took the pool over are unknown, so each service counts as recent at first.
        val sinceMs = startedMs ?: nowMs.also { startedMs = it }
        return services.associateWith {
            ServiceDemand(
                queued = queued[it] ?: 0,
                rejected = rejected[it] ?: 0,
                running = running[it] ?: 0,
                isRecent = nowMs - (lastRequestMs[it] ?: sinceMs) < RECENT_REQUEST_MS,
            )
        }
    }
}
