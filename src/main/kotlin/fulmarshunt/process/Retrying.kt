/*
 * Repetition of calls that must arrive but whose peer may be down for a while.
 */
package fulmarshunt.process

import kotlinx.coroutines.delay

private const val FIRST_PAUSE_MS = 50L
private const val LONGEST_PAUSE_MS = 2_000L

/** With doubling pauses this spans about 20 s, longer than an election followed by a reassignment of a pool. */
private const val MAX_TRIES = 16

/** Calls [attempt] with growing pauses until it returns true; returns false after the last try. */
internal suspend fun retryWithBackoff(attempt: suspend () -> Boolean): Boolean {
    var pauseMs = FIRST_PAUSE_MS
    repeat(MAX_TRIES) {
        if (attempt()) return true
        delay(pauseMs)
        pauseMs = (pauseMs * 2).coerceAtMost(LONGEST_PAUSE_MS)
    }
    return false
}
