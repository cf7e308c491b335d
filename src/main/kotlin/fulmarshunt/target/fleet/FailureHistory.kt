/*
 * The recent failures of a target as this entry VM has seen them. Health answers and announcements can be wrong in
 * either direction; what requests show is not.
 */
package fulmarshunt.target.fleet

import kotlin.math.pow

/** The weight of the newest outcome in the share of failures. */
private const val NEWEST_WEIGHT = 0.25

/** The time in which an old failure loses half of its weight, so that a target that gets nothing is tried again. */
private const val HALF_LIFE_MS = 3_000.0

/** How long a target gets nothing after it could not be reached; doubles with each time in a row. */
private const val AVOID_MS = 300L
private const val MAX_AVOID_MS = 2_400L

/** How the use of a target ended. */
public enum class UseOutcome {
    SUCCEEDED,

    /** The target said that it has not run the request. */
    REFUSED,

    /** The target failed the request, or its answer cannot be used. */
    FAILED,

    /** No connection could be opened. */
    UNREACHABLE,

    /** It says nothing about the target: the caller left, or the run went on elsewhere. */
    ABANDONED,
}

/** The failures of one target. Confined to the control thread. */
internal class FailureHistory {
    private var share = 0.0
    private var notedAtMs = 0L
    private var missesInRow = 0

    /** The time until which the target shall get nothing. */
    var avoidUntilMs: Long = 0
        private set

    /** Returns the share of failures, 0 to 1, with old ones weighing less. */
    fun share(nowMs: Long): Double = share * 0.5.pow((nowMs - notedAtMs) / HALF_LIFE_MS)

    /** Notes the end of a request. */
    fun note(end: UseOutcome, nowMs: Long) {
        val outcome = when (end) {
            UseOutcome.SUCCEEDED -> 0.0
            UseOutcome.REFUSED -> REFUSED_WEIGHT
            UseOutcome.FAILED, UseOutcome.UNREACHABLE -> 1.0
            UseOutcome.ABANDONED -> return
        }
        share = share(nowMs) * (1 - NEWEST_WEIGHT) + outcome * NEWEST_WEIGHT
        notedAtMs = nowMs
        if (end == UseOutcome.UNREACHABLE) {
            avoidUntilMs = nowMs + (AVOID_MS shl missesInRow.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_AVOID_MS)
            missesInRow += 1
        } else {
            missesInRow = 0
        }
    }

    private companion object {
        /** A refusal tells of load that is not known here, which passes sooner than a failure. */
        const val REFUSED_WEIGHT = 0.4
        const val MAX_DOUBLINGS = 3
    }
}
