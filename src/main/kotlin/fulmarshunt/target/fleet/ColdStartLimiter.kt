/*
 * Limits how many requests a cold target gets in a second. The limit applies to all entry VMs together; each uses only
 * its share, so they need no coordination. Where the share is less than one request, an entry VM sends one in a longer
 * time, which starts at random, so that not all of them send theirs at once. Confined to the control thread.
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
    private val nextRandom: () -> Double,
) {
    private val startsAtMs = mutableMapOf<TargetId, ArrayDeque<Long>>()

    /** When the next request may be sent in a cold time, if the share is less than one request. */
    private class Turn(val nextAtMs: Long, val coldUntilMs: Long)

    private val turns = mutableMapOf<TargetId, Turn>()

    /**
     * Returns whether another request may be sent to [target] at [nowMs], which is cold until [coldUntilMs].
     *
     * @param limitPerS the requests per second that the target can handle from all [entryVms] together.
     */
    fun hasRoom(target: TargetId, limitPerS: Double, entryVms: Int, nowMs: Long, coldUntilMs: Long): Boolean {
        val share = limitPerS / entryVms
        if (share < 1) return isTurn(target, (WINDOW_MS / (share * RANDOM_SHARE)).toLong(), nowMs, coldUntilMs)
        val starts = startsAtMs[target] ?: return true
        while (starts.isNotEmpty() && nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
        return starts.size < share.toInt()
    }

    /** Returns whether this VM may send one of the requests that are [periodMs] apart. */
    private fun isTurn(target: TargetId, periodMs: Long, nowMs: Long, coldUntilMs: Long): Boolean {
        val lastAtMs = startsAtMs[target]?.lastOrNull()
        // The turns of an earlier cold time are not kept, because all entry VMs could use theirs at once.
        val turn = turns[target]?.takeIf { nowMs < it.coldUntilMs }
        val nextAtMs = when {
            turn == null -> nowMs + (nextRandom() * periodMs).toLong()
            lastAtMs != null && lastAtMs >= turn.nextAtMs -> lastAtMs + periodMs
            else -> turn.nextAtMs
        }
        turns[target] = Turn(nextAtMs, coldUntilMs)
        return nowMs >= nextAtMs
    }

    /** Records a request to [target]. */
    fun record(target: TargetId, nowMs: Long) {
        val starts = startsAtMs.getOrPut(target) { ArrayDeque() }
        starts.addLast(nowMs)
        while (nowMs - starts.first() >= WINDOW_MS) starts.removeFirst()
    }

    /** Removes all targets other than [present]. */
    fun retain(present: Set<TargetId>) {
        startsAtMs.keys.retainAll(present)
        turns.keys.retainAll(present)
    }
}
