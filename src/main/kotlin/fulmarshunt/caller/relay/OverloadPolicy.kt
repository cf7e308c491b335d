/*
 * How long a request waits for a placement, its priority at an engine, and when a refused caller should retry.
 *
 * These decisions handle overload. A brief shortage, such as the time between the departure of a target and the arrival
 * of its replacement, passes while requests wait. In a long shortage a caller is refused while it still has time to
 * retry. Retries are spread over that time, so that callers refused in one burst do not retry in one burst. Where the
 * wait of a request could be forecast, its caller retries when room is expected for it.
 */
package fulmarshunt.caller.relay

import fulmarshunt.leastRecentlyUsedMap
import fulmarshunt.operator.serving.Route
import fulmarshunt.target.fleet.PlacementResult

/** Callers abandon a stream without a first event after 4 objectives or more; the rest is for reading the prompt. */
private const val MAX_WAIT_OBJECTIVES = 2.4

/** The fraction of the caller timeout that a first request waits for a placement. */
private const val WAIT_TIMEOUT_FRACTION = 0.25

/** The fraction for a caller's retry; it is larger, so that the caller is rarely told to retry again. */
private const val RETRY_WAIT_TIMEOUT_FRACTION = 0.6

/** The fraction of the objective after which a placement is late: the rest is for the work until the first event. */
private const val PLACEMENT_OBJECTIVE_FRACTION = 0.6

/** The fraction of the objective after which a caller retries that can still be served in time. */
private const val RETRY_OBJECTIVE_FRACTION = 0.15

/** The fraction of the objective over which these retries are spread. */
private const val RETRY_SPREAD_FRACTION = 0.25

/** The fractions of its remaining time between which a caller retries that cannot be served in time. */
private const val MIN_LATE_RETRY_FRACTION = 0.08
private const val MAX_LATE_RETRY_FRACTION = 0.3
private const val MIN_RETRY_DELAY_MS = 50L

/** Each request that is queued already delays a retry by this fraction of the objective. */
private const val QUEUED_REQUEST_FRACTION = 0.05
private const val MAX_QUEUE_FRACTION = 1.0

/** A caller timeout that is this much shorter than the longest on its route marks a retry. */
private const val MIN_ELAPSED_MS = 50L

/** The priority of rank 0 at an engine, and the least urgent priority that engines know. */
private const val FIRST_PRIORITY = 3
private const val LAST_PRIORITY = 9

/** The number of routes that are remembered; routes are replaced by new configurations. */
private const val MAX_ROUTES = 4_096

/** The longest timeout that callers of each route have sent. Confined to the traffic thread. */
internal class CallerTimeoutHistory {
    private val longestMs = leastRecentlyUsedMap<String, Long>(MAX_ROUTES)

    /**
     * Returns the time that a caller with [callerTimeoutMs] has spent on earlier attempts, or 0 if it seems to have
     * made none. A caller's timeout counts from its first attempt, so that retries send shorter ones.
     */
    fun elapsedBeforeMs(route: Route, callerTimeoutMs: Long?): Long {
        if (callerTimeoutMs == null) return 0
        val longest = longestMs.merge(route.name, callerTimeoutMs, ::maxOf) ?: callerTimeoutMs
        val elapsedMs = minOf(longest, route.timeoutMs) - callerTimeoutMs
        return if (elapsedMs < MIN_ELAPSED_MS) 0 else elapsedMs
    }
}

/** Returns how long [job] may wait for a placement. */
internal fun placementTimeoutMs(job: RelayJob): Long {
    val callerTimeoutMs = job.deadlineAtMs - job.request.arrivedAtMs
    val fraction = if (job.isCallerRetry) RETRY_WAIT_TIMEOUT_FRACTION else WAIT_TIMEOUT_FRACTION
    return minOf(job.route.objectiveMs * MAX_WAIT_OBJECTIVES, callerTimeoutMs * fraction).toLong()
}

/** Returns the time until which a placement serves [job] within its objective. */
internal fun timelyUntilMs(job: RelayJob): Long =
    job.objectiveAtMs - (job.route.objectiveMs * (1 - PLACEMENT_OBJECTIVE_FRACTION)).toLong()

/** Returns after which delay the caller of [job] should retry; [random] is uniform in 0 until 1. */
internal fun retryDelayMs(job: RelayJob, full: PlacementResult.Full?, nowMs: Long, random: Double): Long {
    val objectiveMs = job.route.objectiveMs
    val pausedForMs = full?.pausedForMs ?: 0
    if (pausedForMs > 0) {
        // The targets accept nothing before; the callers that were refused for the same reason return one by one.
        return pausedForMs + (objectiveMs * RETRY_SPREAD_FRACTION * random).toLong().coerceAtLeast(MIN_RETRY_DELAY_MS)
    }
    val roomAfterMs = full?.roomAfterMs
    val soonMs = maxOf(objectiveMs * RETRY_OBJECTIVE_FRACTION, (roomAfterMs ?: 0).toDouble())
    if (nowMs + soonMs > timelyUntilMs(job)) return lateRetryDelayMs(job.deadlineAtMs - nowMs, roomAfterMs ?: 0, random)
    // A forecast takes the requests that wait into account.
    val queued = if (roomAfterMs == null) full?.waiting ?: 0 else 0
    val queueFraction = (queued * QUEUED_REQUEST_FRACTION).coerceAtMost(MAX_QUEUE_FRACTION)
    return (soonMs + objectiveMs * (queueFraction + RETRY_SPREAD_FRACTION * random))
        .toLong()
        .coerceAtLeast(MIN_RETRY_DELAY_MS)
}

/** Returns the delay of a caller with [remainingMs] that retries late anyway; room is expected after [roomAfterMs]. */
private fun lateRetryDelayMs(remainingMs: Long, roomAfterMs: Long, random: Double): Long {
    val lastMs = remainingMs * MAX_LATE_RETRY_FRACTION
    // Callers do not wait for longer than a third of their time: if room is expected later, they return late in it.
    val firstMs = (remainingMs * MIN_LATE_RETRY_FRACTION).coerceAtLeast(minOf(roomAfterMs.toDouble(), lastMs / 2))
    return (firstMs + (lastMs - firstMs) * random).toLong().coerceAtLeast(MIN_RETRY_DELAY_MS)
}

/** Returns the priority at an engine of a request with [rank], where rank 0 is the most urgent. */
internal fun priorityOf(rank: Int): Int = (FIRST_PRIORITY + rank).coerceIn(0, LAST_PRIORITY)
