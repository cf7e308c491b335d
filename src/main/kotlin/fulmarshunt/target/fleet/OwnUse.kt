/*
 * The use of each target by the placements of this entry VM. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId

/** Adds up the use of placements. */
internal class OwnUse {
    private val byTarget = mutableMapOf<TargetId, TargetUse>()

    val isEmpty: Boolean get() = byTarget.isEmpty()

    /** Returns the use of each target that has any. */
    fun snapshot(): Map<TargetId, TargetUse> = byTarget.toMap()

    fun of(target: TargetId): TargetUse = byTarget[target] ?: TargetUse.NONE

    /** Replaces the use of [placement] by [use]. */
    fun replace(placement: Placement, use: TargetUse) {
        val current = of(placement.target.id)
        val former = placement.use
        val next = TargetUse(
            current.running - former.running + use.running,
            current.tokens - former.tokens + use.tokens,
            current.unreadTokens - former.unreadTokens + use.unreadTokens,
        )
        placement.use = use
        if (next == TargetUse.NONE) byTarget.remove(placement.target.id) else byTarget[placement.target.id] = next
    }
}
