/*
 * The latest announcement of a target. Records of the same target are ordered, so that a late announcement never
 * replaces a newer one.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a target accepts requests. */
@Serializable
public enum class TargetPhase {
    READY,

    /** It finishes its running requests and then leaves. */
    LEAVING,

    /** It announced that it has left. */
    LEFT,
}

/** An announcement of a target. */
@Serializable
public data class TargetRecord(
    public val id: TargetId,
    /** The time at which the target started, by its own clock; a restart under the same id is newer. */
    @SerialName("bornAtMs")
    public val startedAtMs: Long,
    /** Increases with each announcement since the start. */
    public val sequence: Long,
    public val service: ServiceId,
    public val address: Address,
    public val domain: FailureDomainId,
    public val slots: Int,
    public val phase: TargetPhase,
    /** How long the target stays cold, counted from its announcement. */
    public val coldForMs: Long,
    /** Null if the target names none, or if a control VM of an older version has passed the record on. */
    public val version: SoftwareVersion? = null,
) {
    /** The run of the target that announced this record. */
    public val instance: TargetInstance get() = TargetInstance(id, Incarnation(startedAtMs))

    /** Returns whether this record replaces [other], a record of the same target. */
    internal fun isNewerThan(other: TargetRecord): Boolean =
        compareValuesBy(this, other, { it.startedAtMs }, { it.sequence }) > 0

    /** Returns whether [other] differs only in its age, so that entry VMs need not be notified. */
    internal fun isEquivalentTo(other: TargetRecord): Boolean = copy(
        sequence = other.sequence,
        coldForMs = if ((coldForMs > 0) == (other.coldForMs > 0)) other.coldForMs else coldForMs,
    ) == other
}

/** The use of a target by requests of one entry VM, or of all together. */
@Serializable
public data class TargetUse(
    public val running: Int,
    /** The expected tokens in the memory of the engine, including copies of generations of other targets. */
    public val tokens: Long,
    /** The prompt tokens of requests that have not produced their first event yet. */
    public val unreadTokens: Long,
    /** What answers say of the pace of the target; older versions do not send it. */
    public val paceSigns: PaceSigns = PaceSigns.NONE,
) {
    internal operator fun plus(other: TargetUse): TargetUse = TargetUse(
        running + other.running,
        tokens + other.tokens,
        unreadTokens + other.unreadTokens,
        paceSigns + other.paceSigns,
    )

    /** Returns this use without the part [other] of it, which may be older. */
    internal operator fun minus(other: TargetUse): TargetUse = TargetUse(
        (running - other.running).coerceAtLeast(0),
        (tokens - other.tokens).coerceAtLeast(0),
        (unreadTokens - other.unreadTokens).coerceAtLeast(0),
        paceSigns - other.paceSigns,
    )

    internal companion object {
        val NONE: TargetUse = TargetUse(0, 0, 0)
    }
}
