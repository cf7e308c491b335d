/*
 * What an entry VM knows of the deployment. Each view is immutable; traffic threads read the newest one.
 */
package fulmarshunt.target.fleet

import fulmarshunt.FailureDomainId
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.RoutingTable

/** A target as an entry VM knows it. */
public data class KnownTarget(
    public val record: TargetRecord,
    public val isSilent: Boolean,
    /** Until when the target is cold, by the clock of this VM. */
    public val coldUntilMs: Long,
) {
    /** The target's id. */
    public val id: TargetId get() = record.id
}

/** A view of the deployment. */
public data class FleetView(
    /** Null until the first configuration has arrived. */
    public val table: RoutingTable? = null,
    /** The log index of the newest change that this view contains. */
    public val revision: LogIndex = LogIndex(0),
    public val drained: Set<FailureDomainId> = emptySet(),
    public val targets: Map<TargetId, KnownTarget> = emptyMap(),
    /** The number of entry VMs, at least; 1 counts this one. */
    public val entryVms: Int = 1,
    /** What the other entry VMs use of each target. */
    public val othersUse: Map<TargetId, TargetUse> = emptyMap(),
    /** Requests that crashed several targets. */
    public val refused: Set<Fingerprint> = emptySet(),
)
