/*
 * Keeps loops running when one round fails.
 */
package fulmarshunt.process

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/**
 * Runs [round], one round of a loop. An exception is passed to [onFailure], so that the loop continues with the next
 * round; a cancellation of the loop itself and a broken invariant are rethrown.
 */
internal suspend fun guardRound(onFailure: (Exception) -> Unit, round: suspend () -> Unit) {
    try {
        round()
    } catch (e: Exception) {
        currentCoroutineContext().ensureActive()
        if (isBrokenInvariant(e)) throw e
        onFailure(e)
    }
}
