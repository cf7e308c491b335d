/*
 * How long a request waits for room, how urgent it is at an engine, and when a caller that was refused should return.
 *
 * These decisions answer overload. A short shortage, as when a target has left and its successor has not come, passes
 * while requests wait. In a long one a caller is refused while it still has time to come back, and returns are spread
 * over that time, so that the callers refused in one burst do not come back as the next.
 */
package fulmarshunt.caller.relay

import fulmarshunt.operator.serving.Route
import fulmarshunt.target.fleet.PlacementResult

/** Callers leave a stream without a first event after 4 objectives or more; the rest is for reading the prompt. */
private const val WAIT_OBJECTIVES = 2.4

/** The part of a caller's patience that a request waits; a caller that has returned is not told to do so again. */
private const val WAIT_PATIENCE_PART = 0.25
private const val RETURNED_WAIT_PATIENCE_PART = 0.6

/** The part of the objective after which a place comes too late: the rest is for the work until the first event. */
private const val TIMELY_PART = 0.6

/** The part of the objective after which a caller returns that can still be served in time; the spread is added. */
private const val RETURN_PART = 0.15
private const val SPREAD_PART = 0.25

/** The parts of its patience between which a caller returns that cannot be served in time. */
private const val FIRST_LATE_RETURN_PART = 0.08
private const val LAST_LATE_RETURN_PART = 0.3
private const val MIN_RETURN_MS = 50L

/** Each waiting request before a caller puts its return off by this part of the objective. */
private const val QUEUE_PART = 0.05
private const val MAX_QUEUE_PART = 1.0

/** A caller's patience that is this much shorter than that of others on its route shows that it has come back. */
private const val MIN_ELAPSED_MS = 50L

/** The priorities that engines know, and the distance between ranks. */
private const val FIRST_PRIORITY = 3
private const val LAST_PRIORITY = 9

/** The longest patience that callers of each route have shown. Confined to the traffic thread. */
internal class PatienceHistory {
    private val longestMs = mutableMapOf<String, Long>()

    /**
     * Returns the time that a caller with [callerTimeoutMs] has spent on former attempts, 0 if it seems to have
     * made none.
     * Callers count their patience from their first attempt on.
     */
    fun elapsedBeforeMs(route: Route, callerTimeoutMs: Long?): Long {
        if (callerTimeoutMs == null) return 0
        val longest = longestMs.merge(route.name, callerTimeoutMs, ::maxOf) ?: callerTimeoutMs
        val elapsedMs = minOf(longest, route.timeoutMs) - callerTimeoutMs
        return if (elapsedMs < MIN_ELAPSED_MS) 0 else elapsedMs
    }
}

/** Returns how long [job] may wait for room. */
internal fun waitLimitMs(job: RelayJob): Long {
    val callerTimeoutMs = job.deadlineAtMs - job.request.arrivedAtMs
    val part = if (job.isReturned) RETURNED_WAIT_PATIENCE_PART else WAIT_PATIENCE_PART
    return minOf(job.route.objectiveMs * WAIT_OBJECTIVES, callerTimeoutMs * part).toLong()
}

/** Returns the time until which a place serves [job] within its objective. */
internal fun timelyUntilMs(job: RelayJob): Long =
    job.objectiveAtMs - (job.route.objectiveMs * (1 - TIMELY_PART)).toLong()

/** Returns when the caller of [job] should come back, for a uniform [draw]. */
internal fun returnAfterMs(job: RelayJob, full: PlacementResult.Full?, nowMs: Long, draw: Double): Long {
    val objectiveMs = job.route.objectiveMs
    val soonMs = objectiveMs * RETURN_PART
    if (nowMs + soonMs > timelyUntilMs(job)) {
        val part = FIRST_LATE_RETURN_PART + (LAST_LATE_RETURN_PART - FIRST_LATE_RETURN_PART) * draw
        return ((job.deadlineAtMs - nowMs) * part).toLong().coerceAtLeast(MIN_RETURN_MS)
    }
    val queuePart = ((full?.waiting ?: 0) * QUEUE_PART).coerceAtMost(MAX_QUEUE_PART)
    return (soonMs + objectiveMs * (queuePart + SPREAD_PART * draw)).toLong().coerceAtLeast(MIN_RETURN_MS)
}

/** Returns the priority at an engine of a request with [rank], 0 being the most urgent rank. */
internal fun priorityOf(rank: Int): Int = (FIRST_PRIORITY + rank).coerceIn(0, LAST_PRIORITY)
