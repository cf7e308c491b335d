/*
 * An immutable snapshot of a pool for metrics and status displays.
 */
package fulmarshunt.target

import fulmarshunt.Incarnation
import fulmarshunt.PoolId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId

/** Whether a target can receive work. */
public enum class TargetHealth {
    /** It announces itself. */
    LIVE,

    /** Its announcements are overdue; it gets no new work. */
    SUSPECTED,

    /** It has crashed in its current incarnation. */
    DEAD,
}

/** A target as its pool sees it. */
public data class TargetView(
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val health: TargetHealth,
    public val leaving: Boolean,
    /** The number of granted and running tickets. */
    public val inFlight: Int,
    public val limit: Int,
    public val memoryTokens: Long,
    /** The tokens of running tickets by this VM's own count. */
    public val countedTokens: Long,
    /** The expected peak of memory use until the running tickets end, without a risk margin. */
    public val expectedPeakTokens: Long,
    /** The number of standard deviations that admission keeps free. */
    public val riskBound: Double,
    /** Preemptions that the target reported to this owner in its current incarnation. */
    public val preemptions: Long,
    /** The service that the target is loading. */
    public val loading: ServiceId? = null,
)

/** A pool at one moment. */
public data class PoolView(
    public val pool: PoolId,
    public val settling: Boolean,
    public val queuedShort: Int,
    public val queuedLong: Int,
    public val targets: List<TargetView>,
    /** Preemptions that the targets reported since this owner took the pool over. */
    public val preemptions: Long,
    /** Grants per second while requests were waiting. */
    public val grantsPerSecond: Double,
    public val suspects: Int,
)
