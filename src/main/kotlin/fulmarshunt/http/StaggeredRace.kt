/*
 * Makes several attempts to open the same thing, one beside another: the next one begins when one has failed or the
 * newest takes too long. It suits attempts of which the losers can be undone without effect, as connections on which
 * nothing has been sent.
 */
package fulmarshunt.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** One way to open a [T]; it undoes what it has done if it is cancelled. */
internal typealias OpenAttempt<F, T> = suspend () -> Either<F, T>

/**
 * Makes [attempts] in [scope]: the first [together] at once, each other [staggerMs] after the one before or once one
 * has failed. Returns the result of the first success, or the failures until [limitMs] or the first that is final.
 *
 * @param isFinal whether the other attempts would fail as well.
 * @param discard undoes a success that comes too late.
 */
internal suspend fun <F : Any, T : Any> staggeredRace(
    scope: CoroutineScope,
    attempts: List<OpenAttempt<F, T>>,
    together: Int,
    staggerMs: Long,
    limitMs: Long,
    isFinal: (F) -> Boolean,
    discard: (T) -> Unit,
): Either<List<F>, T> {
    val running = mutableListOf<Deferred<Either<F, T>>>()
    val failures = mutableListOf<F>()
    val remaining = ArrayDeque(attempts)
    var winner: T? = null
    try {
        withTimeoutOrNull(limitMs) {
            while (running.isNotEmpty() || remaining.isNotEmpty()) {
                do {
                    remaining.removeFirstOrNull()?.let { attempt -> running += scope.async { attempt() } }
                } while (remaining.isNotEmpty() && attempts.size - remaining.size < together)
                val patienceMs = staggerMs.takeIf { remaining.isNotEmpty() }
                val (ended, result) = firstEndedOrNull(running, patienceMs) ?: continue
                running -= ended
                result.fold({ failures += it }, { winner = it })
                if (winner != null || failures.any(isFinal)) break
            }
        }
        return winner?.right() ?: failures.left()
    } finally {
        running.forEach { scope.abandon(it, discard) }
    }
}

/** Returns one of [running] that has ended, with its result, or null after [limitMs], if there is a limit. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun <T> firstEndedOrNull(running: List<Deferred<T>>, limitMs: Long?): Pair<Deferred<T>, T>? = select {
    running.forEach { attempt -> attempt.onAwait { attempt to it } }
    if (limitMs != null) onTimeout(limitMs) { null }
}

private fun <F, T> CoroutineScope.abandon(attempt: Deferred<Either<F, T>>, discard: (T) -> Unit) {
    attempt.cancel()
    launch {
        try {
            attempt.await().onRight(discard)
        } catch (_: CancellationException) {
            // The attempt has undone what it had done.
        }
    }
}
