/*
 * What all kinds of services have in common when they serve a request: the limits of its client account, and the count
 * of its outcome.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow

/** Converts between a problem and the last event of a response. */
internal class ProblemEvents<E : Any>(val failed: (RequestProblem) -> E, val problemOrNull: (E) -> RequestProblem?)

/**
 * Returns the response to a request of [account]: the events that [serve] emits, then the event that it returns.
 *
 * @param events creates the only event of a request that [gate] refuses.
 */
internal fun <E : Any> responseFlow(
    account: ClientAccountId,
    gate: CallerGate,
    meters: CallerMeters,
    events: ProblemEvents<E>,
    serve: suspend (emit: suspend (E) -> Unit) -> E,
): Flow<E> = // Clients of targets emit from their own coroutines, which a plain flow does not permit.
    channelFlow {
        var outcome = "cancelled"
        try {
            val last = gate.enter(account)?.let(events.failed) ?: gate.leaveAfter(account) { serve(::send) }
            outcome = events.problemOrNull(last)?.kind?.slug ?: "finished"
            send(last)
        } finally {
            meters.request(outcome)
        }
    }

private suspend fun <E> CallerGate.leaveAfter(account: ClientAccountId, block: suspend () -> E): E = try {
    block()
} finally {
    leave(account)
}
