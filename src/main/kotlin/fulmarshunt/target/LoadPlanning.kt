/*
 * Decides which engine of a pool loads which service, and when. The state is an immutable value and the time is passed
 * in; each call of [plan] compares demand with what the engines announce and returns the orders that are due. Orders
 * are paced so that the pool never orders more bytes than its share of the weight store's rate allows.
 */
package fulmarshunt.target

import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import kotlin.math.ceil

/** An order is repeated after this time while the engine does not announce the load. */
internal const val REPEAT_ORDER_MS: Long = 1_000

/** An engine that has not announced the load for this long is taken not to execute the order. */
internal const val ANNOUNCE_LOAD_MS: Long = 10_000

/** A load may take this long plus [LOAD_TIME_FACTOR] times its duration at the pool's share of the rate. */
private const val LOAD_LIMIT_MS = 60_000L
private const val LOAD_TIME_FACTOR = 4

/** An engine that did not execute an order for a service gets no other order for it during this time. */
internal const val AVOID_ENGINE_MS: Long = 60_000

/** A loaded service stays for at least this long, so that two services do not replace each other in turn. */
internal const val KEEP_LOADED_MS: Long = 300_000

/** A load is ordered after a service had no target for this long, as a target may only be restarting. */
internal const val MISSING_SERVICE_MS: Long = 1_000

/** A load is ordered after a service had too few targets for this long; short peaks do not justify one. */
internal const val OVERLOADED_SERVICE_MS: Long = 5_000

private const val MS_PER_SECOND = 1_000.0

/** About 30 years; with the largest weights and the lowest rates, sums of load times would overflow otherwise. */
private const val MAX_LOAD_MS = 1_000_000_000_000L

/** Returns the next state and the due orders for [view]; a call orders at most one new load. */
internal fun LoadState.plan(view: LoadView, policy: LoadPolicy, nowMs: Long): LoadPlan {
    val followed = trackLoads(view, nowMs).adopt(view, nowMs)
    val repeats = view.targets.mapNotNull { followed.repeatOrNull(it, nowMs) }
    val repeated = repeats.associate { it.target.id to followed.running.getValue(it.target.id).copy(sentMs = nowMs) }
    return followed.copy(running = followed.running + repeated).orderNewLoad(view, policy, nowMs).let {
        it.copy(orders = repeats + it.orders)
    }
}

/** Updates the running loads from what the engines announce. */
private fun LoadState.trackLoads(view: LoadView, nowMs: Long): LoadState {
    val targets = view.targets.associateBy { it.id }
    val next = HashMap<TargetId, RunningLoad>()
    val avoided = avoidedUntilMs.filterValues { it > nowMs }.toMutableMap()
    val kept = keptUntilMs.filterValues { it > nowMs }.toMutableMap()
    val underserved = underservedSinceMs.toMutableMap()
    for ((id, load) in running) {
        val target = targets[id]?.takeIf { it.incarnation == load.incarnation } ?: continue
        val isAnnounced = target.loading == load.service
        val seenMs = if (isAnnounced) nowMs else load.seenMs
        when {
            !isAnnounced && load.service in target.services -> {
                kept[id] = nowMs + KEEP_LOADED_MS
                // The new target has to take over a part of the queue before another one is considered.
                underserved -= load.service
            }
            // The other targets of the replaced service may have disappeared since the order was sent.
            !load.isAnnounced && !isAnnounced && load.replaces?.let { isDispensable(view, target, it) } == false -> Unit
            nowMs - seenMs >= ANNOUNCE_LOAD_MS || nowMs - load.startedMs >= view.limitMs(load.service) ->
                avoided[id to load.service] = nowMs + AVOID_ENGINE_MS
            else -> next[id] = load.copy(seenMs = seenMs, isAnnounced = load.isAnnounced || isAnnounced)
        }
    }
    return copy(running = next, avoidedUntilMs = avoided, keptUntilMs = kept, underservedSinceMs = underserved)
}

/** Adopts loads that engines announce without an order of this owner; they use the weight store as well. */
private fun LoadState.adopt(view: LoadView, nowMs: Long): LoadState {
    var state = this
    for (target in view.targets) {
        val service = target.loading ?: continue
        if (target.id in running || (target.id to service) in avoidedUntilMs) continue
        val load = RunningLoad(target.incarnation, service, null, nowMs, nowMs, isAnnounced = true)
        state = state.copy(running = state.running + (target.id to load)).charge(view, service, nowMs)
    }
    return state
}

private fun LoadState.repeatOrNull(target: LoadTarget, nowMs: Long): LoadOrder? {
    val load = running[target.id] ?: return null
    // An engine that announced the load and stopped has read bytes; a repeat would read them again, without pacing.
    if (load.isAnnounced || nowMs - load.sentMs < REPEAT_ORDER_MS) return null
    if (!target.isLive || target.loading != null || load.replaces in target.busy) return null
    return LoadOrder(target, load.service, load.replaces, isRepeat = true)
}

private fun LoadState.orderNewLoad(view: LoadView, policy: LoadPolicy, nowMs: Long): LoadPlan {
    val pressures = view.servicesOf(running).associateWith { pressure(view, it) }
    val loadingServices = running.values.mapTo(HashSet()) { it.service }
    val underserved = view.weightBytes.keys.filter { policy.needsTarget(pressures.getValue(it)) }
    val state = copy(underservedSinceMs = underserved.associateWith { underservedSinceMs[it] ?: nowMs })
    if (nowMs < weightStoreFreeMs || view.bytesPerSecond <= 0) return LoadPlan(state, emptyList())
    val due = underserved.filter { it !in loadingServices }.map(pressures::getValue)
        .filter {
            nowMs - state.underservedSinceMs.getValue(it.service) >=
                if (it.targets == 0) MISSING_SERVICE_MS else OVERLOADED_SERVICE_MS
        }
        .sortedByDescending { it.unserved.toDouble() / it.targets.coerceAtLeast(1) }
    for (wanted in due) {
        val options = view.targets.mapNotNull { state.optionOrNull(it, wanted, view, pressures, policy) }
        if (options.isEmpty()) continue
        val (target, replaced) = policy.choose(options)
        val load = RunningLoad(target.incarnation, wanted.service, replaced?.service, nowMs, nowMs)
        val next = state.copy(running = running + (target.id to load)).charge(view, wanted.service, nowMs)
        return LoadPlan(next, listOf(LoadOrder(target, wanted.service, replaced?.service, isRepeat = false)))
    }
    return LoadPlan(state, emptyList())
}

private fun LoadState.optionOrNull(
    target: LoadTarget,
    wanted: ServicePressure,
    view: LoadView,
    pressures: Map<ServiceId, ServicePressure>,
    policy: LoadPolicy,
): LoadOption? {
    val isFree = target.isLive && target.loading == null && target.id !in running
    if (!isFree || wanted.service in target.services || (target.id to wanted.service) in avoidedUntilMs) return null
    if (target.services.size < target.maxServices) return LoadOption(target, null)
    if (target.maxServices == 0 || target.id in keptUntilMs) return null
    return target.services
        .filter { it !in target.busy && it !in view.fixed }
        .map(pressures::getValue)
        .filter { isDispensable(view, target, it.service) && policy.mayReplace(wanted, it) }
        .minByOrNull { it.demandPerTarget }
        ?.let { LoadOption(target, it) }
}

/** Returns whether the pool can lose [service] at [target]. */
private fun LoadState.isDispensable(view: LoadView, target: LoadTarget, service: ServiceId): Boolean =
    view.demands[service]?.isPresent != true || view.targets.any { it.id != target.id && keepsServing(it, service) }

/** Returns whether [target] serves [service] now and is not ordered to replace it. */
private fun LoadState.keepsServing(target: LoadTarget, service: ServiceId): Boolean =
    target.isLive && service in target.services && running[target.id]?.replaces != service

private fun LoadState.pressure(view: LoadView, service: ServiceId): ServicePressure {
    val demand = view.demands[service] ?: ServiceDemand(isRecent = false)
    val serving = view.targets.count { service in it.services && running[it.id]?.replaces != service }
    // A rejected request for a service with targets was excluded or too large; another target would not help.
    val unserved = demand.queued + if (serving == 0) demand.rejected else 0
    return ServicePressure(service, unserved, demand.running, serving)
}

/** Charges the bytes of a load to the share of the rate. */
private fun LoadState.charge(view: LoadView, service: ServiceId, nowMs: Long): LoadState =
    copy(weightStoreFreeMs = maxOf(weightStoreFreeMs, nowMs) + view.loadMs(service))

private fun LoadView.loadMs(service: ServiceId): Long {
    val bytes = weightBytes[service] ?: return 0
    if (bytesPerSecond <= 0) return 0
    return ceil(bytes * MS_PER_SECOND / bytesPerSecond).toLong().coerceAtMost(MAX_LOAD_MS)
}

private fun LoadView.limitMs(service: ServiceId): Long = LOAD_LIMIT_MS + LOAD_TIME_FACTOR * loadMs(service)

private fun LoadView.servicesOf(running: Map<TargetId, RunningLoad>): Set<ServiceId> =
    weightBytes.keys + demands.keys + targets.flatMap { it.services } + running.values.map { it.service }
