/*
 * The brittle targets as one entry VM sees them: which targets are brittle, and whether there is a place for a request.
 *
 * All targets of a service are brittle at the same time and say so. One that has failed starts again as another
 * instance, which has said nothing yet; until it does, it is taken for as brittle as its former instance, or as at
 * least two others of its service: the statement of one target may be a fault of that target. Confined to the control
 * thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance

/** The brittle targets of one entry VM. */
internal class BrittleTargets(
    private val limits: TargetLimits,
    private val ownUse: OwnUse,
    private val view: () -> FleetView,
    private val clock: Clock,
    /** Returns a random number in 0 until 1. */
    nextRandom: () -> Double,
) {
    private val places = HeldPlaces(nextRandom = nextRandom)
    private val services = mutableMapOf<TargetInstance, ServiceId>()
    private var serviceLimits = emptyMap<ServiceId, Double>()
    private var formerLimits = emptyMap<TargetId, Double>()

    /** Takes over the limits that targets have named, and the [listed] targets. */
    fun update(listed: Collection<KnownTarget>) {
        val present = listed.mapTo(mutableSetOf()) { it.instance }
        listed.forEach { services[it.instance] = it.record.service }
        services.keys.removeIf { it !in present && it !in limits.refusalLimits }
        serviceLimits = limits.refusalLimits.entries.filter { it.key in services }
            .groupBy({ services.getValue(it.key) }, { it.value })
            .mapNotNull { (service, stated) -> stated.sorted().getOrNull(1)?.let { service to it } }.toMap()
        formerLimits = limits.refusalLimits.mapKeys { it.key.target }
        places.retain(listed.filter(::isBrittle).mapTo(mutableSetOf()) { it.instance })
    }

    /** Returns whether [target] fails when it refuses more than a few requests. */
    fun isBrittle(target: KnownTarget): Boolean = refusalLimitOrNull(target) != null

    /** Returns whether there is a place for one more request at [target]; always if it is not brittle. */
    fun admits(target: KnownTarget): Boolean = seenOrNull(target)?.let { places.admits(it, clock.nowMs()) } ?: true

    /** Returns whether a run may continue at [target]; it would be lost, so that it may take a spare place as well. */
    fun admitsRun(target: KnownTarget): Boolean {
        val seen = seenOrNull(target) ?: return true
        if (places.refusedForMs(target.instance, clock.nowMs()) > 0) return false
        return seen.running + seen.heldByOthers < seen.slots || places.admits(seen, clock.nowMs())
    }

    /** Records that a request is placed at [target], before it counts in the own use. */
    fun recordPlacement(target: KnownTarget) {
        seenOrNull(target)?.let { places.recordPlacement(it, clock.nowMs()) }
    }

    /** Records that [target] has refused a request, after it does not count in the own use any more. */
    fun recordRefusal(target: KnownTarget) {
        seenOrNull(target)?.let { places.recordRefusal(it, clock.nowMs()) }
    }

    /** Returns how long [target] gets nothing because it has refused a request. */
    fun refusedForMs(target: KnownTarget): Long =
        if (isBrittle(target)) places.refusedForMs(target.instance, clock.nowMs()) else 0

    /** Returns the own use of each brittle target, with the places that are held there. */
    fun heldUse(): Map<TargetId, TargetUse> {
        if (limits.refusalLimits.isEmpty()) return emptyMap()
        return view().targets.values
            .mapNotNull { target -> seenOrNull(target)?.let { target.id to places.held(it, clock.nowMs()) } }
            .associate { (id, held) -> id to ownUse.of(id).copy(running = held) }
            .filterValues { it != TargetUse.NONE }
    }

    private fun refusalLimitOrNull(target: KnownTarget): Double? = limits.refusalLimits[target.instance]
        ?: (formerLimits[target.id] ?: serviceLimits[target.record.service]).takeUnless {
            limits.isSound(target.instance)
        }

    private fun seenOrNull(target: KnownTarget): BrittleTarget? {
        val refusalsPerS = refusalLimitOrNull(target) ?: return null
        val current = view()
        return BrittleTarget(
            target.instance,
            current.table?.serviceOrNull(target.record.service)?.engine?.slots ?: target.record.slots,
            ownUse.of(target.id).running,
            (current.othersUse[target.id] ?: TargetUse.NONE).running,
            current.entryVms,
            refusalsPerS,
        )
    }
}
