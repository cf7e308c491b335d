/*
 * Limits how many requests a cold target gets in a second. The limit applies to all entry VMs together; each uses only
 * its share, so they need no coordination. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId

/** The window of the limit, longer than a second because requests can arrive closer together than they were sent. */
private const val WINDOW_MS = 1_250L

/** The requests that this entry VM sent to cold targets recently. */
internal class ColdStartLimiter {
    private val startsAtMs = mutableMapOf<TargetId, ArrayDeque<Long>>()

    /**
     * Returns whether another request may be sent to [target] at [nowMs].
     *
     * @param limitPerS the requests per second that the target can handle from all [entryVms] together.
     */
    fun hasRoom(target: TargetId, limitPerS: Double, entryVms: Int, nowMs: Long): Boolean {
        val starts = startsAtMs[target] ?: return shareOf(limitPerS, entryVms) > 0
        while (starts.isNotEmpty() && nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
        return starts.size < shareOf(limitPerS, entryVms)
    }

    /** Records a request to [target]. */
    fun record(target: TargetId, nowMs: Long) {
        startsAtMs.getOrPut(target) { ArrayDeque() }.addLast(nowMs)
    }

    /** Removes all targets other than [present]. */
    fun retain(present: Set<TargetId>) {
        startsAtMs.keys.retainAll(present)
    }

    /** Returns at least one, because a target without requests never becomes warm. */
    private fun shareOf(limitPerS: Double, entryVms: Int): Int = (limitPerS / entryVms).toInt().coerceAtLeast(1)
}
