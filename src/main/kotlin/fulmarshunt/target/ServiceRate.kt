/*
 * The rate at which waiting requests of a class are granted. Only time with a backlog counts: at low load the rate
 * would measure the arrivals instead of the capacity.
 */
package fulmarshunt.target

import kotlin.math.exp

/** The time over which the rate is averaged. */
private const val AVERAGING_MS = 10_000.0

/** The rate is unknown before this much time with a backlog has passed. */
private const val MIN_BACKLOG_MS = 2_000.0

/** Measures the grants per millisecond of one class of requests. */
internal class ServiceRate {
    private var grants = 0.0
    private var backlogMs = 0.0
    private var lastMs = 0L

    /** Accounts for the time since the last call, in which requests waited if [hadBacklog]. */
    fun advance(hadBacklog: Boolean, nowMs: Long) {
        val elapsed = (nowMs - lastMs).coerceAtLeast(0)
        lastMs = maxOf(lastMs, nowMs)
        if (!hadBacklog || elapsed == 0L) return
        val decay = exp(-elapsed / AVERAGING_MS)
        grants *= decay
        backlogMs = backlogMs * decay + elapsed
    }

    /** Counts one grant to a request that had to wait. */
    fun countGrant() {
        grants += 1.0
    }

    /** Returns the grants per millisecond, or null while unknown. */
    fun perMsOrNull(): Double? = if (backlogMs < MIN_BACKLOG_MS) null else grants / backlogMs
}
