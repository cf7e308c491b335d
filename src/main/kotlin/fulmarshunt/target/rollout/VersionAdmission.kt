/*
 * Decides which versions of a service may get requests, as roll-outs say it. Targets of a new version can be up before
 * the order for them is known here. As long as no roll-out was completed, so that the present version is unknown, they
 * wait if another version was there first: an unproved version must not get half of the requests. The decision is pure.
 */
package fulmarshunt.target.rollout

import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.rollout.VersionRole
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord

/**
 * The share of the ready targets that must have the first version for others to wait. With fewer, the targets are
 * being replaced without an order, as in deployments without roll-outs.
 */
private const val MIN_FIRST_SHARE = 0.34

/** How much later than the first version another one must have started to wait; others are a mix that is served. */
private const val MIN_LATER_MS = 3_000L

/** The versions of the services of a deployment that may get requests. */
internal class VersionAdmission(
    private val rollouts: Map<ServiceId, Rollout>,
    targets: Collection<KnownTarget>,
    /** Returns whether a version has been up for so long that no order for it is coming. */
    hasNoOrder: (ServiceId, SoftwareVersion) -> Boolean = { _, _ -> false },
) {
    private val present = targets
        .filter { it.record.phase == TargetPhase.READY && !it.isSilent && orderedRoleOf(it) == VersionRole.PRESENT }
        .groupBy { it.record.service }
    private val waitingVersions: Map<ServiceId, Set<SoftwareVersion>> = present.mapValues { (service, ready) ->
        waitingVersionsOf(ready.map { it.record }).filterNotTo(mutableSetOf()) { hasNoOrder(service, it) }
    }

    /** Returns what targets of [service] with [version] may get. */
    fun roleOf(service: ServiceId, version: SoftwareVersion?): VersionRole {
        val role = orderedRoleOf(service, version)
        return when {
            role == VersionRole.PRESENT && version in waitingVersions[service].orEmpty() -> VersionRole.NONE
            role == VersionRole.NONE && replacesPresent(service, version) -> VersionRole.PRESENT
            else -> role
        }
    }

    /** Returns whether the present version has been replaced by [version] without an order. */
    private fun replacesPresent(service: ServiceId, version: SoftwareVersion?): Boolean {
        val last = rollouts[service] ?: return false
        return service !in present && !last.isOpen && version !in last.refused
    }

    private fun orderedRoleOf(target: KnownTarget) = orderedRoleOf(target.record.service, target.record.version)

    /** Returns what the orders alone allow. */
    private fun orderedRoleOf(service: ServiceId, version: SoftwareVersion?): VersionRole =
        rollouts[service]?.roleOf(version) ?: VersionRole.PRESENT
}

/** Returns the versions that wait: those that started later than the first one, unless too few of [ready] have that. */
private fun waitingVersionsOf(ready: List<TargetRecord>): Set<SoftwareVersion> {
    val startedAtMs = ready.mapNotNull { record -> record.version?.let { it to record.startedAtMs } }
        .groupBy({ it.first }, { it.second }).mapValues { (_, times) -> times.min() }
    val first = startedAtMs.minByOrNull { it.value } ?: return emptySet()
    if (ready.count { it.version == first.key } < ready.size * MIN_FIRST_SHARE) return emptySet()
    return startedAtMs.filterValues { it >= first.value + MIN_LATER_MS }.keys
}
