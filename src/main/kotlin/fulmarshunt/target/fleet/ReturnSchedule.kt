/*
 * Spreads the callers that were refused over the time in which capacity comes free for them.
 *
 * It answers bursts in which many callers are refused at once: told the same delay, they would return together, and all
 * but the first would be refused again. Each is expected when the one before it has been placed.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import fulmarshunt.leastRecentlyUsedMap

/** Returns are expected no later than this: many callers never return, or have less time. */
private const val MAX_DELAY_MS = 15_000L
private const val MAX_GROUPS = 256

/** When the refused callers of this entry VM are expected back, by service and rank. */
internal class ReturnSchedule {
    private val takenUntilMs = leastRecentlyUsedMap<Pair<ServiceId, Int>, Long>(MAX_GROUPS)

    /**
     * Returns the time after which a caller should return, not before [waitMs] has passed; what it needs comes free in
     * [freeingMs].
     */
    fun takeMs(service: ServiceId, rank: Int, waitMs: Long, freeingMs: Long, nowMs: Long): Long {
        val group = service to rank
        val latestMs = nowMs + maxOf(waitMs, MAX_DELAY_MS)
        val returnAtMs = maxOf(nowMs + waitMs, takenUntilMs[group] ?: 0).coerceAtMost(latestMs)
        takenUntilMs[group] = (returnAtMs + freeingMs).coerceAtMost(latestMs)
        return returnAtMs - nowMs
    }
}
