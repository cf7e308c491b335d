/*
 * A roll-out moves the requests of a service from its present version to another one: a small share first, and all of
 * them only if the evidence speaks for it. Its state is part of the durable state of a deployment. The transitions are
 * pure functions, so that all voters agree on them. They answer orders that are sent again, that race, or that come
 * while another roll-out runs, and verdicts of a former leader that arrive late.
 */
package fulmarshunt.operator.rollout

import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import kotlinx.serialization.Serializable

/** The order to move the requests of [service] to [target] within [durationMs]. */
@Serializable
public data class RolloutOrder(
    public val service: ServiceId,
    public val target: SoftwareVersion,
    public val durationMs: Long,
)

/** How far a roll-out is. */
@Serializable
public enum class RolloutPhase {
    /** The target version gets a small share. */
    RUNNING,

    /** The target version is found good and gets all requests; streams leave targets of other versions. */
    MOVING,

    /** Targets of other versions may end at once. */
    COMPLETED,

    /** The target version gets nothing any more. */
    ROLLED_BACK,
}

/** What targets of a version may get. */
public enum class VersionRole {
    /** All that the share of a roll-out leaves. */
    PRESENT,

    /** The share of the running roll-out. */
    TRIAL,

    NONE,
}

/** The last roll-out of a service. */
@Serializable
public data class Rollout(
    public val order: RolloutOrder,
    /** The log index of the order. */
    public val orderIndex: LogIndex,
    public val phase: RolloutPhase,
    /** The version that serves beside the target; null before the first completed roll-out, when several may. */
    public val present: SoftwareVersion? = null,
    /** The versions that were rolled back and not ordered again since. */
    public val refused: Set<SoftwareVersion> = emptySet(),
    /** When the order arrived, by the clock of the control VM that received it. */
    public val startedAtEpochMs: Long = 0,
) {
    /** Whether the roll-out has not ended. */
    public val isOpen: Boolean get() = phase == RolloutPhase.RUNNING || phase == RolloutPhase.MOVING

    /** Returns what targets of [version] may get. */
    public fun roleOf(version: SoftwareVersion?): VersionRole = when {
        phase == RolloutPhase.RUNNING && version == order.target -> VersionRole.TRIAL
        phase == RolloutPhase.MOVING || phase == RolloutPhase.COMPLETED ->
            if (version == order.target) VersionRole.PRESENT else VersionRole.NONE
        present != null -> if (version == present) VersionRole.PRESENT else VersionRole.NONE
        version in refused -> VersionRole.NONE
        else -> VersionRole.PRESENT
    }
}

/** What becomes of an order to start a roll-out. */
public enum class StartDecision { START, REPEATED, IN_PROGRESS, SUPERSEDED }

/** Returns what becomes of [order], which was given when the order at [basedOn] was the last one for the service. */
public fun Rollout?.decisionOn(order: RolloutOrder, basedOn: LogIndex): StartDecision = when {
    this == null -> StartDecision.START
    order == this.order -> StartDecision.REPEATED
    isOpen -> StartDecision.IN_PROGRESS
    basedOn != orderIndex -> StartDecision.SUPERSEDED
    else -> StartDecision.START
}

/** Returns the roll-out that [order], the log entry at [index], starts after this one. */
public fun Rollout?.after(index: LogIndex, order: RolloutOrder, startedAtEpochMs: Long): Rollout {
    val present = this?.present
    // There is nothing to move to the version that serves already.
    val phase = if (order.target == present) RolloutPhase.COMPLETED else RolloutPhase.RUNNING
    return Rollout(order, index, phase, present, this?.refused.orEmpty() - order.target, startedAtEpochMs)
}

/** Returns this roll-out in [next], or null if it cannot get there: an ended one never changes. */
public fun Rollout.advancedOrNull(next: RolloutPhase): Rollout? = when {
    phase == RolloutPhase.RUNNING && next == RolloutPhase.MOVING -> copy(phase = next)
    phase == RolloutPhase.MOVING && next == RolloutPhase.COMPLETED -> copy(phase = next, present = order.target)
    isOpen && next == RolloutPhase.ROLLED_BACK -> copy(phase = next, refused = refused + order.target)
    else -> null
}
