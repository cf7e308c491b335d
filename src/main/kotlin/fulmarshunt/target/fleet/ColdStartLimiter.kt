/*
 * Limits how many requests a cold target gets in a second. The limit holds for all entry VMs together, so each keeps to
 * its share of it and needs no agreement with the others. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId

/** The span over which the limit holds; longer than a second, because requests sent apart can arrive closer. */
private const val WINDOW_MS = 1_250L

/** The requests that this entry VM sent to cold targets lately. */
internal class ColdStartLimiter {
    private val startsAtMs = mutableMapOf<TargetId, ArrayDeque<Long>>()

    /**
     * Says whether another request may be sent to [target] at [nowMs].
     *
     * @param limitPerS the requests that the target bears in a second from all [entryVms] together.
     */
    fun hasRoom(target: TargetId, limitPerS: Double, entryVms: Int, nowMs: Long): Boolean {
        val starts = startsAtMs[target] ?: return shareOf(limitPerS, entryVms) > 0
        while (starts.isNotEmpty() && nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
        return starts.size < shareOf(limitPerS, entryVms)
    }

    /** Notes a request to [target]. */
    fun record(target: TargetId, nowMs: Long) {
        startsAtMs.getOrPut(target) { ArrayDeque() }.addLast(nowMs)
    }

    /** Forgets targets other than [present]. */
    fun retain(present: Set<TargetId>) {
        startsAtMs.keys.retainAll(present)
    }

    /** At least one, because a target that gets nothing never becomes warm. */
    private fun shareOf(limitPerS: Double, entryVms: Int): Int = (limitPerS / entryVms).toInt().coerceAtLeast(1)
}
