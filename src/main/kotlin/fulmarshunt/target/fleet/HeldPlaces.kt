/*
 * The places that one entry VM holds at brittle targets. Such a target fails when it refuses more than a few requests
 * in a second, so that an entry VM sends it a request only if there is a place for it: in place of one of its own that
 * has ended, or in a place that is free in the view of all use. Views are outdated, and all entry VMs see the same free
 * places. In the time until a place that one has taken is seen by the others, each takes only its share of them,
 * rounded at random. A place is held, and reported as used, until it was not needed for a while.
 *
 * After a refusal, the view is wrong. The entry VM then sends the target nothing for a time that depends on the
 * refusals that the target bears and on the number of entry VMs. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance

/** The time until all entry VMs see a place that one of them has taken; a report of use is valid for so long. */
private const val SEEN_AFTER_MS = 2_000L

/** How long a place is held that is not needed. */
private const val HOLD_MS = 2_000L

/** The part of the free places that all entry VMs together take at once, because their shares are rounded at random. */
private const val USED_SHARE = 0.75

/** The part of the refusals that a target bears which entry VMs risk; they come at random. */
private const val REFUSED_SHARE = 0.5

/** Fewer refusals are taken for this, so that a target whose need has ended is heard to say so. */
private const val MIN_REFUSALS_PER_S = 0.1

/** One place of so many is left free for what the view does not show, and at least one if there are several. */
private const val PLACES_FOR_ONE_SPARE = 16
private const val MS_PER_S = 1_000.0

/** A brittle target as one entry VM sees it. */
internal data class BrittleTarget(
    val instance: TargetInstance,
    /** The requests that it can run at the same time. */
    val slots: Int,
    /** The requests of this entry VM that are placed there. */
    val running: Int,
    /** The places that the other entry VMs hold. */
    val heldByOthers: Int,
    val entryVms: Int,
    /** The refusals in a second that it bears from all entry VMs together. */
    val refusalsPerS: Double,
    /** The places that are used. */
    val places: Int = (slots - maxOf(1, slots / PLACES_FOR_ONE_SPARE)).coerceAtLeast(1),
)

/** The places of one entry VM. */
internal class HeldPlaces(
    private val seenAfterMs: Long = SEEN_AFTER_MS,
    private val holdMs: Long = HOLD_MS,
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    private class Share(var held: Int, nowMs: Long, seenAfterMs: Long) {
        /** The most requests that ran since [peakSinceMs]. */
        var peak = held
        var peakSinceMs = nowMs

        /** The free places that may be taken, decided at [sharedAtMs]. */
        var free = 0
        var sharedAtMs = nowMs - seenAfterMs
        var refusedUntilMs = nowMs
    }

    private val shares = mutableMapOf<TargetInstance, Share>()

    /** Returns whether there is a place for one more request at [target]. */
    fun admits(target: BrittleTarget, nowMs: Long): Boolean {
        val share = current(target, nowMs)
        if (nowMs < share.refusedUntilMs) return false
        return target.running < share.held || (share.free > 0 && freePlaces(target, share) >= 1)
    }

    /** Records that a request is placed at [target], as it was before. */
    fun recordPlacement(target: BrittleTarget, nowMs: Long) {
        val share = current(target, nowMs)
        if (target.running >= share.held) {
            share.held = target.running + 1
            share.free = (share.free - 1).coerceAtLeast(0)
            // The others do not see this place yet, so that no more of the same free places may be taken.
            share.sharedAtMs = nowMs
        }
        share.peak = maxOf(share.peak, target.running + 1)
    }

    /** Records that [target] has refused a request. */
    fun recordRefusal(target: BrittleTarget, nowMs: Long) {
        val share = current(target, nowMs)
        val refusalsPerS = target.refusalsPerS.coerceAtLeast(MIN_REFUSALS_PER_S) * REFUSED_SHARE
        val periodMs = MS_PER_S * target.entryVms / refusalsPerS
        share.refusedUntilMs = maxOf(share.refusedUntilMs, nowMs + (periodMs * (nextRandom() + 1) / 2).toLong())
        share.held = minOf(share.held, target.running)
        share.free = 0
        // The free places are shared anew when that time ends.
        share.sharedAtMs = share.refusedUntilMs - seenAfterMs
    }

    /** Returns how long [instance] gets nothing because it has refused a request. */
    fun refusedForMs(instance: TargetInstance, nowMs: Long): Long =
        ((shares[instance]?.refusedUntilMs ?: 0) - nowMs).coerceAtLeast(0)

    /** Returns the places that this entry VM holds at [target]. */
    fun held(target: BrittleTarget, nowMs: Long): Int = maxOf(current(target, nowMs).held, target.running)

    /** Forgets all instances other than [brittle], which are brittle now. */
    fun retain(brittle: Set<TargetInstance>) {
        shares.keys.retainAll(brittle)
    }

    private fun freePlaces(target: BrittleTarget, share: Share): Int =
        target.places - target.heldByOthers - maxOf(share.held, target.running)

    /** Returns the share at [target], after places that were not needed are given up and free ones shared anew. */
    private fun current(target: BrittleTarget, nowMs: Long): Share {
        val share = shares.getOrPut(target.instance) { Share(target.running, nowMs, seenAfterMs) }
        share.peak = maxOf(share.peak, target.running)
        if (nowMs - share.peakSinceMs >= holdMs) {
            share.held = minOf(share.held, share.peak)
            share.peak = target.running
            share.peakSinceMs = nowMs
        }
        if (nowMs - share.sharedAtMs >= seenAfterMs) {
            shareFreePlaces(target, share)
            share.sharedAtMs = nowMs
        }
        return share
    }

    /** Decides how many free places may be taken; if there are none, one is given up by any of the entry VMs. */
    private fun shareFreePlaces(target: BrittleTarget, share: Share) {
        val free = freePlaces(target, share)
        if (free >= 1) {
            share.free = (USED_SHARE * free / target.entryVms + nextRandom()).toInt()
            return
        }
        share.free = 0
        val all = target.places - free
        share.held -= (share.held * (1.0 - free) / all + nextRandom()).toInt().coerceAtMost(share.held)
    }
}
