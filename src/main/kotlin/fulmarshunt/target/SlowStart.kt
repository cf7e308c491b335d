/*
 * The number of requests that a target has earned. A target that has just started, or turned cold, begins at its start
 * limit and earns one more place for each sign of health, at most doubling in each interval.
 */
package fulmarshunt.target

/** The limit at most doubles in this time, which leaves the target's load reports time to show trouble. */
internal const val DOUBLING_MS: Long = 2_000

/** The earned limit of one target. */
internal class SlowStart(startLimit: Int, nowMs: Long) {
    var earned: Int = startLimit
        private set
    private var intervalStartMs = nowMs
    private var intervalStartLimit = startLimit

    /** Earns one place, as far as [fullLimit] and the doubling interval allow. */
    fun grow(fullLimit: Int, nowMs: Long) {
        if (nowMs - intervalStartMs >= DOUBLING_MS) {
            intervalStartMs = nowMs
            intervalStartLimit = earned
        }
        earned = minOf(earned + 1, 2 * intervalStartLimit, fullLimit).coerceAtLeast(earned)
    }

    /** Returns to [limit]. */
    fun resetTo(limit: Int, nowMs: Long) {
        earned = limit
        intervalStartMs = nowMs
        intervalStartLimit = limit
    }
}
