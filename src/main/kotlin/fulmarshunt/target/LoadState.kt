/*
 * The loads that a pool has ordered or seen, as an immutable value.
 */
package fulmarshunt.target

import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TargetId

/** A load that was ordered or announced and has not ended. */
internal data class RunningLoad(
    val incarnation: Incarnation,
    val service: ServiceId,
    val replaces: ServiceId?,
    val startedMs: Long,
    /** When the order was sent last. */
    val sentMs: Long,
    /** When the engine announced the load last, or the start. */
    val seenMs: Long = startedMs,
    val isAnnounced: Boolean = false,
)

/** The state of the decision. */
internal data class LoadState(
    val running: Map<TargetId, RunningLoad> = emptyMap(),
    /** Until when engines get no order for a service that they did not load. */
    val avoidedUntilMs: Map<Pair<TargetId, ServiceId>, Long> = emptyMap(),
    /** Until when nothing is replaced at engines that have loaded a service. */
    val keptUntilMs: Map<TargetId, Long> = emptyMap(),
    /** Since when services lack a target. */
    val underservedSinceMs: Map<ServiceId, Long> = emptyMap(),
    /** When the bytes that were ordered so far have used up the share of the rate. */
    val weightStoreFreeMs: Long = Long.MIN_VALUE,
)

/** An order to the engine [target]. */
internal data class LoadOrder(
    val target: LoadTarget,
    val service: ServiceId,
    val replaces: ServiceId?,
    val isRepeat: Boolean,
)

/** The next state, and the orders to send. */
internal data class LoadPlan(val state: LoadState, val orders: List<LoadOrder>)
