/*
 * The recent failures of a target as observed by this entry VM. Health checks and announcements can be wrong in either
 * direction; the outcomes of requests are reliable.
 */
package fulmarshunt.target.fleet

import kotlin.math.pow

/** The weight of the newest outcome in the failure share. */
private const val NEWEST_WEIGHT = 0.25

/** The half-life of the weight of a failure, so that a target that gets no requests is tried again. */
private const val HALF_LIFE_MS = 3_000.0

/** How long a target gets no requests after it was unreachable; doubles with each consecutive time. */
private const val AVOID_MS = 300L
private const val MAX_AVOID_MS = 2_400L

/** The outcome of the use of a target. */
public enum class UseOutcome {
    SUCCEEDED,

    /** The target responded that it has not run the request. */
    REFUSED,

    /** The target failed the request, or its response is unusable. */
    FAILED,

    /** The target responded that it has failed the request. */
    FAILED_BY_STATUS,

    /** No connection could be opened. */
    UNREACHABLE,

    /** No information about the target: the caller left, or the run continued at another target. */
    ABANDONED,
}

/** The failures of one target. Confined to the control thread. */
internal class FailureHistory {
    private var share = 0.0
    private var recordedAtMs = 0L
    private var consecutiveUnreachable = 0

    /** The time until which the target gets no requests. */
    var avoidUntilMs: Long = 0
        private set

    /** Returns the share of failures, 0 to 1; older failures weigh less. */
    fun share(nowMs: Long): Double = share * 0.5.pow((nowMs - recordedAtMs) / HALF_LIFE_MS)

    /** Records the outcome of a request. */
    fun record(outcome: UseOutcome, nowMs: Long) {
        val failure = when (outcome) {
            UseOutcome.SUCCEEDED -> 0.0
            UseOutcome.REFUSED -> REFUSED_WEIGHT
            UseOutcome.FAILED, UseOutcome.FAILED_BY_STATUS, UseOutcome.UNREACHABLE -> 1.0
            UseOutcome.ABANDONED -> return
        }
        share = share(nowMs) * (1 - NEWEST_WEIGHT) + failure * NEWEST_WEIGHT
        recordedAtMs = nowMs
        if (outcome == UseOutcome.UNREACHABLE) {
            avoidUntilMs =
                nowMs + (AVOID_MS shl consecutiveUnreachable.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_AVOID_MS)
            consecutiveUnreachable += 1
        } else {
            consecutiveUnreachable = 0
        }
    }

    private companion object {
        /** A refusal indicates load that this VM does not know of, which passes sooner than a failure. */
        const val REFUSED_WEIGHT = 0.4
        const val MAX_DOUBLINGS = 3
    }
}
