/*
 * Bounds how long input can have waited in the sockets of an event loop before it was read. A process that was stopped
 * reads seconds-old input when it continues; only the ticks that did not take place show that. Confined to the event
 * loop.
 */
package fulmarshunt.http

import fulmarshunt.Clock

/** How often the event loop shows that it runs. */
internal const val TICK_PERIOD_MS: Long = 100

/** A tick that is later than this is a pause; shorter delays are common on a busy machine. */
private const val PAUSE_MS = 250L

/**
 * How long after a pause input is still taken to be from before it. The event loop accepts the connections that wait,
 * up to 16 in each iteration, and reads them in later iterations.
 */
private const val CATCH_UP_MS = 500L

/** Gives a lower bound for the arrival time of input that is read now. */
internal class UnreadTime(private val clock: Clock) {
    private var tickedAtMs = clock.nowMs()
    private var pausedSinceMs = tickedAtMs
    private var caughtUpAtMs = Long.MIN_VALUE

    /** Records that the event loop runs; call it every [TICK_PERIOD_MS]. */
    fun tick() {
        val nowMs = clock.nowMs()
        if (nowMs - tickedAtMs > TICK_PERIOD_MS + PAUSE_MS) {
            if (tickedAtMs >= caughtUpAtMs) pausedSinceMs = tickedAtMs
            caughtUpAtMs = nowMs + CATCH_UP_MS
        }
        tickedAtMs = nowMs
    }

    /** Returns the earliest time at which input that is read now can have arrived. */
    fun sinceMs(): Long = if (clock.nowMs() < caughtUpAtMs || tickedAtMs < caughtUpAtMs) pausedSinceMs else tickedAtMs
}
