/*
 * Decides whether this VM itself is cut off from targets, by the results of its own dials. One target that accepts no
 * connection has failed; several in a row, without a success in between, may show that the fault is on this side.
 * Targets can also fail together, so that a VM that takes itself to be cut off goes on dialing, and the first success
 * ends the suspicion. Confined to the traffic thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Address

/** The different targets whose dials fail in a row before this VM takes itself to be cut off. */
private const val CUT_AFTER_TARGETS = 2

/** The same number after which the cut needs no confirmation. */
private const val CERTAIN_AFTER_TARGETS = 4

/** How long a failed dial counts; later ones have nothing to do with it. */
private const val EVIDENCE_MS = 10_000L

/** The paths of this VM to targets. */
public class TargetPaths {
    private val failedAtMs = mutableMapOf<Address, Long>()

    /** The targets that other VMs have reached since the last dial that succeeded. */
    private val reachedByOthers = mutableSetOf<Address>()

    /** Whether this VM takes itself to be cut off from all targets. */
    public var isCut: Boolean = false
        private set

    /** Whether the cut is more than a suspicion, because others reach a target that this VM does not. */
    public val isCutConfirmed: Boolean
        get() = isCut && (failedAtMs.size >= CERTAIN_AFTER_TARGETS || failedAtMs.keys.any { it in reachedByOthers })

    /** Records that another VM has reached [target]. */
    public fun recordReachedByOther(target: Address) {
        reachedByOthers += target
    }

    /** Records the result of a dial of [target], and returns whether it changes [isCut]. */
    public fun recordDial(target: Address, isOpen: Boolean, nowMs: Long): Boolean {
        val wasCut = isCut
        if (isOpen) {
            failedAtMs.clear()
            reachedByOthers.clear()
            isCut = false
        } else {
            failedAtMs[target] = nowMs
            failedAtMs.values.removeIf { nowMs - it > EVIDENCE_MS }
            if (failedAtMs.size >= CUT_AFTER_TARGETS) isCut = true
        }
        return isCut != wasCut
    }
}
