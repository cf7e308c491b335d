/*
 * Retries of calls that must arrive but whose recipient may be unavailable for a while.
 */
package fulmarshunt.process

import kotlinx.coroutines.delay

private const val INITIAL_PAUSE_MS = 50L
private const val MAX_PAUSE_MS = 2_000L

/** With doubling pauses the attempts span about 20 s, longer than an election and a following pool reassignment. */
private const val MAX_ATTEMPTS = 16

/** Calls [attempt] with growing pauses until it returns true; returns false after the last attempt. */
internal suspend fun retryWithBackoff(attempt: suspend () -> Boolean): Boolean {
    var pauseMs = INITIAL_PAUSE_MS
    repeat(MAX_ATTEMPTS) {
        if (attempt()) return true
        delay(pauseMs)
        pauseMs = (pauseMs * 2).coerceAtMost(MAX_PAUSE_MS)
    }
    return false
}
