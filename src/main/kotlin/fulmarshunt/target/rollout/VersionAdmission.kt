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

/**
 * The share of the ready targets that must have the first version for others to wait. With fewer, the targets are
 * being replaced without an order, as in deployments without roll-outs.
 */
private const val MIN_FIRST_SHARE = 0.34

/** The versions of the services of a deployment that may get requests. */
internal class VersionAdmission(private val rollouts: Map<ServiceId, Rollout>, targets: Collection<KnownTarget>) {
    private val firstVersions: Map<ServiceId, SoftwareVersion> =
        targets.filter {
            it.record.phase == TargetPhase.READY && !it.isSilent &&
                orderedRoleOf(it) == VersionRole.PRESENT
        }
            .groupBy { it.record.service }
            .mapNotNull { (service, ready) -> firstVersionOrNull(ready)?.let { service to it } }
            .toMap()

    /** Returns what targets of [service] with [version] may get. */
    fun roleOf(service: ServiceId, version: SoftwareVersion?): VersionRole {
        val role = orderedRoleOf(service, version)
        val first = firstVersions[service] ?: return role
        return if (role == VersionRole.PRESENT && version != null && version != first) VersionRole.NONE else role
    }

    private fun orderedRoleOf(target: KnownTarget) = orderedRoleOf(target.record.service, target.record.version)

    /** Returns what the orders alone allow. */
    private fun orderedRoleOf(service: ServiceId, version: SoftwareVersion?): VersionRole =
        rollouts[service]?.roleOf(version) ?: VersionRole.PRESENT
}

/** Returns the version of the target that started first, unless too few of [ready] have it. */
private fun firstVersionOrNull(ready: List<KnownTarget>): SoftwareVersion? {
    if (ready.distinctBy { it.record.version }.size < 2) return null
    val first = ready.filter { it.record.version != null }.minBy { it.record.startedAtMs }.record.version
    return first.takeIf { ready.count { it.record.version == first } >= ready.size * MIN_FIRST_SHARE }
}
