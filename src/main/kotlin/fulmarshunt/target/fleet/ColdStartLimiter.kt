/*
 * Limits how many requests a cold target gets in a second. The limit applies to all entry VMs together; each uses only
 * its share, so they need no coordination. Where the share is less than one request, an entry VM takes turns in a
 * longer time. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId

/** The window of the limit, longer than a second because requests can arrive closer together than they were sent. */
private const val WINDOW_MS = 1_250L

/**
 * The part of the limit that is used by entry VMs whose share is less than one request. Their requests are independent,
 * so that some windows get more of them than the mean.
 */
private const val RANDOM_SHARE = 0.6

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
            return turns.waitMs(target, (WINDOW_MS / (share * RANDOM_SHARE)).toLong(), nowMs, coldUntilMs) == 0L
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
