/*
 * Runs an action on request, so that requests that come close together share one run.
 */
package fulmarshunt.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/** Runs [action] after a request: at once after an idle time, otherwise [pauseMs] after the last run has ended. */
internal class PacedAction(private val pauseMs: Long, private val action: suspend () -> Unit) {
    private val requests = Channel<Unit>(Channel.CONFLATED)

    /** Asks for a run that starts after this call. */
    fun request() {
        requests.trySend(Unit)
    }

    /** Serves requests until it is cancelled. */
    suspend fun serve() {
        while (true) {
            requests.receive()
            action()
            delay(pauseMs)
        }
    }
}
