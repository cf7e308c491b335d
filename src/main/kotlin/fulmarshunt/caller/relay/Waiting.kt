/*
 * How long a request waits for room, how urgent it is at an engine, and when a caller that was refused should return.
 *
 * These decisions answer overload. A caller is refused while it still has time to come back: waiting longer than a part
 * of the objective makes most answers late anyway, and keeps others waiting behind them. Returns are spread, so that
 * the callers refused in one burst do not come back as the next.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.PlaceResult

/** The part of the objective that a request waits for room. */
private const val WAIT_PART = 0.35

/** The part of the objective after which a caller returns first; the spread is added to it. */
private const val RETURN_PART = 0.15
private const val SPREAD_PART = 0.25
private const val MIN_RETURN_MS = 50L

/** Each waiting request before a caller puts its return off by this part of the objective. */
private const val QUEUE_PART = 0.05
private const val MAX_QUEUE_PART = 1.0

/** The priorities that engines know, and the distance between ranks. */
private const val FIRST_PRIORITY = 3
private const val LAST_PRIORITY = 9

/** Returns how long [job] may wait for room. */
internal fun waitLimitMs(job: RelayJob): Long = (job.route.objectiveMs * WAIT_PART).toLong()

/** Returns when the caller of [job] should come back, for a uniform [draw]. */
internal fun returnAfterMs(job: RelayJob, full: PlaceResult.Full?, draw: Double): Long {
    val objectiveMs = job.route.objectiveMs
    val queuePart = ((full?.waiting ?: 0) * QUEUE_PART).coerceAtMost(MAX_QUEUE_PART)
    return (objectiveMs * (RETURN_PART + queuePart + SPREAD_PART * draw)).toLong().coerceAtLeast(MIN_RETURN_MS)
}

/** Returns the priority at an engine of a request with [rank], 0 being the most urgent rank. */
internal fun priorityOf(rank: Int): Int = (FIRST_PRIORITY + rank).coerceIn(0, LAST_PRIORITY)
