/*
 * The deployment as an entry VM knows it. Each view is immutable; traffic threads read the newest one.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.target.TargetInstance

/** The number of entry VMs that is assumed until it is known: the planned size in docs/CAPACITY.md. */
internal const val PLANNED_ENTRY_VMS: Int = 330

/** A target as an entry VM knows it. */
public data class KnownTarget(
    public val record: TargetRecord,
    public val isSilent: Boolean,
    /** The time until which the target is cold, by the clock of this VM. */
    public val coldUntilMs: Long,
) {
    /** The target's id. */
    public val id: TargetId get() = record.id

    /** The run of the target that is known. */
    public val instance: TargetInstance get() = record.instance
}

/** A view of the deployment. */
public data class FleetView(
    /** Null until the first configuration has arrived. */
    public val table: RoutingTable? = null,
    /** The log index of the newest change that this view contains. */
    public val revision: LogIndex = LogIndex(0),
    public val drained: Set<FailureDomainId> = emptySet(),
    public val targets: Map<TargetId, KnownTarget> = emptyMap(),
    /** The number of entry VMs that share limits, including this one. */
    public val entryVms: Int = PLANNED_ENTRY_VMS,
    /** The use of each target by the other entry VMs. */
    public val othersUse: Map<TargetId, TargetUse> = emptyMap(),
    /** Requests and parts of prompts that are refused because they were present at several crashes. */
    public val refused: Set<Fingerprint> = emptySet(),
    /** The targets that take a limited number of requests from all entry VMs together. */
    public val limited: Set<TargetInstance> = emptySet(),
    /** The last roll-out of each service that had one. */
    public val rollouts: Map<ServiceId, Rollout> = emptyMap(),
    /** Whether a control VM replies, so that [othersUse] is recent. */
    public val isInContact: Boolean = true,
) {
    /** The version of the configuration, or null before the first one. */
    internal val version: ConfigurationVersion? get() = table?.configuration?.version

    /** Returns the targets that accept requests for [service], with or without free capacity. */
    internal fun acceptingTargets(service: ServiceId): List<KnownTarget> = targets.values.filter {
        it.record.service == service && it.record.phase == TargetPhase.READY && it.record.domain !in drained
    }
}
