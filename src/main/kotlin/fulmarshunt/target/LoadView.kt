/*
 * The input of the decision which engine of a pool loads which service.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TargetId

/** A target of the pool that has neither crashed nor announced that it is leaving. */
internal data class LoadTarget(
    val id: TargetId,
    val address: Address,
    val incarnation: Incarnation,
    val services: Set<ServiceId>,
    /** The number of services that it can hold, or 0 if it accepts no load orders. */
    val maxServices: Int = 0,
    val loading: ServiceId? = null,
    /** False while its announcements are overdue. */
    val isLive: Boolean = true,
    /** The services of its granted and running requests. */
    val busy: Set<ServiceId> = emptySet(),
    val inFlight: Int = 0,
)

/** The requests for one service. */
internal data class ServiceDemand(
    val queued: Int = 0,
    /** Recent requests that were rejected because no target serves the service. */
    val rejected: Int = 0,
    val running: Int = 0,
    /** True if the service was requested recently or may have been. */
    val isRecent: Boolean = true,
) {
    val isPresent: Boolean get() = queued > 0 || rejected > 0 || running > 0 || isRecent
}

/** The targets and the demand that load orders are decided on. */
internal data class LoadView(
    val targets: List<LoadTarget>,
    val demands: Map<ServiceId, ServiceDemand>,
    /** The weight sizes of the services that can be loaded. */
    val weightBytes: Map<ServiceId, Long>,
    /** Services that are never replaced, because they could not be loaded again. */
    val fixed: Set<ServiceId> = emptySet(),
    /** The pool's share of the weight store's rate. */
    val bytesPerSecond: Double,
)
