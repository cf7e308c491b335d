/*
 * Runs an action on request, such that requests in quick succession share one run.
 */
package fulmarshunt.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/** Runs [action] on request: at once if it has been idle, otherwise [pauseMs] after the end of the last run. */
internal class PacedAction(private val pauseMs: Long, private val action: suspend () -> Unit) {
    private val requests = Channel<Unit>(Channel.CONFLATED)

    /** Requests a run that starts after this call. */
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
