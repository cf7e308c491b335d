/*
 * Limits how many requests a cold target gets in a second. The limit applies to all entry VMs together; each uses only
 * its share, so they need no coordination. Where the share is less than one request, an entry VM takes turns in a
 * longer time. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import kotlin.math.pow
import kotlin.math.sqrt

/** The window of the limit, longer than a second because requests can arrive closer together than they were sent. */
private const val WINDOW_MS = 1_250L

/**
 * The requests of entry VMs whose share is less than one are independent, so that some seconds get more of them than
 * the mean; the limit is so many standard deviations above it, which less than one second in 100,000 exceeds.
 */
private const val DEVIATIONS = 5.0
private const val MS_PER_S = 1_000.0

/** Returns the mean number of independent requests in a second that keep [limitPerS]. */
private fun meanPerS(limitPerS: Double): Double =
    ((sqrt(DEVIATIONS * DEVIATIONS + 4 * limitPerS) - DEVIATIONS) / 2).pow(2)

/** The requests that this entry VM sent to cold targets recently. */
internal class ColdStartLimiter(
    /** Returns a random number in 0 until 1. */
    nextRandom: () -> Double,
) {
    private val startsAtMs = mutableMapOf<TargetId, ArrayDeque<Long>>()
    private val turns = RequestTurns(nextRandom)

    /**
     * Returns whether another request may be sent to [target] at [nowMs], which is cold until [coldUntilMs].
     *
     * @param limitPerS the requests per second that the target can handle from all [entryVms] together.
     */
    fun hasRoom(target: TargetId, limitPerS: Double, entryVms: Int, nowMs: Long, coldUntilMs: Long): Boolean {
        val share = limitPerS / entryVms
        // The turns of an earlier cold time are not kept, because all entry VMs could use theirs at once.
        if (share < 1) {
            return turns.waitMs(target, (MS_PER_S * entryVms / meanPerS(limitPerS)).toLong(), nowMs, coldUntilMs) == 0L
        }
        val starts = startsAtMs[target] ?: return true
        while (starts.isNotEmpty() && nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
        return starts.size < share.toInt()
    }

    /** Records a request to [target]. */
    fun record(target: TargetId, nowMs: Long) {
        turns.take(target, nowMs)
        val starts = startsAtMs.getOrPut(target) { ArrayDeque() }
        starts.addLast(nowMs)
        while (nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
    }

    /** Removes all targets other than [present]. */
    fun retain(present: Set<TargetId>) {
        startsAtMs.keys.retainAll(present)
        turns.retain(present)
    }
}
