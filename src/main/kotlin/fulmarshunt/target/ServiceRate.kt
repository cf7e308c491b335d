/*
 * The rate at which a class of waiting requests is granted places. Only time with a backlog counts: at low load the
 * rate would measure the arrivals instead of the capacity.
 */
package fulmarshunt.target

import kotlin.math.exp

/** The time over which the rate is averaged. */
private const val AVERAGING_MS = 10_000.0

/** The rate is unknown before this much time with a backlog was seen. */
private const val MIN_BACKLOG_MS = 2_000.0

internal class ServiceRate {
    private var grants = 0.0
    private var backlogMs = 0.0
    private var lastMs = 0L

    /** Accounts for the time since the last call, in which requests waited if [hadBacklog]. */
    fun advance(hadBacklog: Boolean, nowMs: Long) {
        val elapsed = (nowMs - lastMs).coerceAtLeast(0)
        lastMs = maxOf(lastMs, nowMs)
        if (!hadBacklog || elapsed == 0L) return
        val keep = exp(-elapsed / AVERAGING_MS)
        grants *= keep
        backlogMs = backlogMs * keep + elapsed
    }

    /** Counts one grant to a request that had to wait. */
    fun countGrant() {
        grants += 1.0
    }

    /** Returns the grants per millisecond, or null while unknown. */
    fun perMsOrNull(): Double? = if (backlogMs < MIN_BACKLOG_MS) null else grants / backlogMs
}
