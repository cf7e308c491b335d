/*
 * A log for events that can come with every request or every round of a loop. It writes at most one line in a period
 * and counts the others, so that a flood of events does not slow the process down.
 */
package fulmarshunt.process

import fulmarshunt.Clock
import fulmarshunt.monotonicClock
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Logger

/** The time after a line in which others are only counted. */
private const val PERIOD_MS = 5_000L

/** Writes a limited number of lines to [logger]. The functions may be called from any thread. */
internal class LimitedLog(
    private val logger: Logger,
    private val periodMs: Long = PERIOD_MS,
    private val clock: Clock = monotonicClock(),
) {
    private var nextAtMs = Long.MIN_VALUE
    private var suppressed = 0L

    /** Writes [message], or counts it if another one was written within the period. */
    fun log(level: Level, message: String) {
        val suppressedBefore = takeTurnOrNull() ?: return
        logger.log(level, if (suppressedBefore == 0L) message else "$message suppressed=$suppressedBefore")
    }

    /** Returns how many messages were suppressed since the last line, or null if this one is suppressed too. */
    @Synchronized
    private fun takeTurnOrNull(): Long? {
        val nowMs = clock.nowMs()
        if (nowMs < nextAtMs) {
            suppressed += 1
            return null
        }
        nextAtMs = nowMs + periodMs
        return suppressed.also { suppressed = 0 }
    }
}
