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
    /** The time at which the order was sent last. */
    val sentMs: Long,
    /** The time at which the engine announced the load last, or [startedMs]. */
    val seenMs: Long = startedMs,
    val isAnnounced: Boolean = false,
)

/** The state of load planning. */
internal data class LoadState(
    val running: Map<TargetId, RunningLoad> = emptyMap(),
    /** The time until which an engine gets no order for a service that it did not load. */
    val avoidedUntilMs: Map<Pair<TargetId, ServiceId>, Long> = emptyMap(),
    /** The time until which no service is replaced at an engine that has just loaded one. */
    val keptUntilMs: Map<TargetId, Long> = emptyMap(),
    /** The time since which a service has had too few targets. */
    val underservedSinceMs: Map<ServiceId, Long> = emptyMap(),
    /** The time at which the share of the rate will have covered all bytes ordered so far. */
    val weightStoreFreeMs: Long = Long.MIN_VALUE,
)

/** An order to the engine [target] to load [service]. */
internal data class LoadOrder(
    val target: LoadTarget,
    val service: ServiceId,
    val replaces: ServiceId?,
    val isRepeat: Boolean,
)

/** The next state, and the orders to send. */
internal data class LoadPlan(val state: LoadState, val orders: List<LoadOrder>)
