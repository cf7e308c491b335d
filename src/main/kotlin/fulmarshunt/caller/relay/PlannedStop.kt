/*
 * The planned end of the process. Requests that arrive after it has been planned are accepted only if they are expected
 * to end in time: any other would occupy a target and be cut off, while its caller could be served by another VM.
 */
package fulmarshunt.caller.relay

import fulmarshunt.operator.serving.Route
import kotlinx.coroutines.Job
import kotlin.math.abs

/** The weights of the newest duration in the mean and in the deviation, as for round-trip times in TCP. */
private const val MEAN_GAIN = 1 / 8.0
private const val DEVIATION_GAIN = 1 / 4.0

/** The deviations above the mean that few durations exceed. */
private const val DEVIATIONS = 4

/** How long most targets serve on after their notice; some are gone after 1.4 s. */
private const val LEAVING_SERVICE_MS = 1_500L

/** The pause of a run that goes on at another target, until its next event. */
private const val MOVE_PAUSE_MS = 300L

/** Tells the relay when the process ends. Confined to the traffic thread. */
public class PlannedStop {
    private val deadline = Job()

    /** When requests without a response are given up, or null while no end is planned. */
    public var endsAtMs: Long? = null
        private set

    /** Whether the process is about to end, so that callers should use other connections. */
    public val hasBegun: Boolean get() = endsAtMs != null

    /** Until when a stream may be accepted although its end in time is only estimated. */
    internal var estimatesUntilMs: Long = 0
        private set

    /**
     * Plans the end: requests without a response are given up at [endsAtMs].
     *
     * @param estimatesUntilMs until when callers cannot know that they should use another VM.
     */
    public fun begin(endsAtMs: Long, estimatesUntilMs: Long) {
        this.endsAtMs = endsAtMs
        this.estimatesUntilMs = estimatesUntilMs
    }

    /**
     * Returns whether a run may be stopped at its target to go on at another one, if the rest of it takes [restMs].
     *
     * A run that cannot end before the process would be cut off at its new target, perhaps before it goes on there. One
     * whose target serves on for as long as the process gains nothing by a move.
     */
    internal fun allowsMove(restMs: Long, nowMs: Long): Boolean {
        val remainingMs = (endsAtMs ?: return true) - nowMs
        return remainingMs > LEAVING_SERVICE_MS && MOVE_PAUSE_MS + restMs <= remainingMs
    }

    /** Ends requests that have no response yet; their callers are told whether they may have run. */
    public fun giveUpRequests() {
        deadline.complete()
    }

    /** Completes when [giveUpRequests] is called. */
    internal val givenUp: Job get() = deadline
}

/** How long requests take, by route. Confined to the traffic thread. */
internal class DurationEstimates {
    private class History(var meanMs: Double, var deviationMs: Double)

    private val histories = mutableMapOf<String, History>()

    /** Returns a duration that few requests on [route] exceed, or null if none has ended yet. */
    fun upperBoundMsOrNull(route: Route): Long? =
        histories[route.name]?.let { (it.meanMs + DEVIATIONS * it.deviationMs).toLong() }

    /** Records that a request on [route] took [elapsedMs]. */
    fun record(route: Route, elapsedMs: Long) {
        val history = histories.getOrPut(route.name) { History(elapsedMs.toDouble(), elapsedMs / 2.0) }
        val error = elapsedMs - history.meanMs
        history.meanMs += MEAN_GAIN * error
        history.deviationMs += DEVIATION_GAIN * (abs(error) - history.deviationMs)
    }
}

/**
 * Returns whether a request is expected to end within [remainingMs].
 *
 * @param timeoutMs the time after which its caller gives up.
 * @param usualMs a duration that few requests on its route exceed, or null if it is not known.
 */
internal fun endsWithin(remainingMs: Long, timeoutMs: Long, usualMs: Long?): Boolean =
    minOf(timeoutMs, usualMs ?: timeoutMs) <= remainingMs
