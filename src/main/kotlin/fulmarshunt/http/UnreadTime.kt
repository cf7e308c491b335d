/*
 * Bounds how long input can have waited in the sockets of an event loop before it was read. A process that was stopped
 * reads seconds-old input when it continues; only the ticks that did not take place show that. In a process that is
 * slow, a connection waits to be accepted and then to be read, each for less than a pause. Confined to the event loop.
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
    /** When the last tick took place. */
    var tickedAtMs: Long = clock.nowMs()
        private set

    /** When the tick before the last one took place. */
    var previousTickAtMs: Long = tickedAtMs
        private set

    /** The number of ticks. */
    var ticks: Long = 0
        private set
    private var pausedSinceMs = tickedAtMs
    private var caughtUpAtMs = Long.MIN_VALUE

    /** Records that the event loop runs; call it every [TICK_PERIOD_MS]. */
    fun tick() {
        val nowMs = clock.nowMs()
        if (nowMs - tickedAtMs > TICK_PERIOD_MS + PAUSE_MS) {
            if (tickedAtMs >= caughtUpAtMs) pausedSinceMs = tickedAtMs
            caughtUpAtMs = nowMs + CATCH_UP_MS
        }
        previousTickAtMs = tickedAtMs
        tickedAtMs = nowMs
        ticks += 1
    }

    /** Returns the earliest time at which a connection that is accepted now can have been opened. */
    fun sinceMs(): Long = if (clock.nowMs() < caughtUpAtMs || tickedAtMs < caughtUpAtMs) pausedSinceMs else tickedAtMs
}

/** Gives a lower bound for the arrival time of the input of one connection, which was accepted just now. */
internal class ArrivalBound(private val unreadTime: UnreadTime) {
    /** No input that is unread can have arrived before. */
    private var emptyAtMs = unreadTime.sinceMs()

    /** The number of ticks when a read was requested, or null if none is. */
    private var requestedAtTick: Long? = null

    /** Records that a read is requested, so that the event loop polls the socket. */
    fun recordRead() {
        if (requestedAtTick == null) requestedAtTick = unreadTime.ticks
    }

    /** The earliest time at which the last head, or an unread one before it, can have arrived; null before any. */
    var headSinceMs: Long? = null
        private set

    /** Records that input was read; [isFirstHead] if it is a head and no other is unread. */
    fun recordInput(isFirstHead: Boolean) {
        val sinceTick = requestedAtTick
        // The event loop polls the sockets between two ticks.
        if (sinceTick != null && unreadTime.ticks >= sinceTick + 2) emptyAtMs = unreadTime.previousTickAtMs
        requestedAtTick = null
        if (isFirstHead) headSinceMs = emptyAtMs
    }

    /** Records that a response was sent; the next request follows it. */
    fun recordResponse() {
        emptyAtMs = maxOf(emptyAtMs, unreadTime.tickedAtMs)
    }
}
