/*
 * What the system knows of a target that announced itself. Records of the same target are ordered, so that a late
 * announcement never replaces a newer one.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import kotlinx.serialization.Serializable

/** Whether a target takes work. */
@Serializable
public enum class TargetPhase {
    READY,

    /** It finishes what it runs and then leaves. */
    LEAVING,

    /** It said that it has left. */
    LEFT,
}

/** The newest announcement of a target. */
@Serializable
public data class TargetRecord(
    public val id: TargetId,
    /** When the target started, by its own clock; a restart under the same id is newer. */
    public val startedAtMs: Long,
    /** Grows with each announcement of one start. */
    public val sequence: Long,
    public val service: ServiceId,
    public val address: Address,
    public val domain: FailureDomainId,
    public val slots: Int,
    public val phase: TargetPhase,
    /** How long the target stays cold, counted from its announcement. */
    public val coldForMs: Long,
) {
    /** Says whether this record replaces [other], a record of the same target. */
    internal fun isNewerThan(other: TargetRecord): Boolean =
        compareValuesBy(this, other, { it.startedAtMs }, { it.sequence }) > 0

    /** Says whether [other] differs in more than its age, so that entry VMs must hear of it. */
    internal fun isEquivalentTo(other: TargetRecord): Boolean = copy(
        sequence = other.sequence,
        coldForMs = if ((coldForMs > 0) == (other.coldForMs > 0)) other.coldForMs else coldForMs,
    ) == other
}

/** The part of a target that work takes: by one entry VM, or by all together. */
@Serializable
public data class TargetUse(
    public val running: Int,
    /** Expected tokens in the memory of the engine, copies of other targets' generations included. */
    public val tokens: Long,
    /** Prompt tokens of requests that have not yet produced their first event. */
    public val unreadTokens: Long,
) {
    internal operator fun plus(other: TargetUse): TargetUse =
        TargetUse(running + other.running, tokens + other.tokens, unreadTokens + other.unreadTokens)

    internal companion object {
        val NONE: TargetUse = TargetUse(0, 0, 0)
    }
}
