/*
 * What all kinds of services have in common when they serve a request: the limits of its client account, its end when
 * the process stops, and the count of its outcome.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.selects.select

/** Converts between a problem and the last event of a response. */
internal class ProblemEvents<E : Any>(
    val failed: (RequestProblem) -> E,
    /** The kind of the problem of a request that may have run. */
    val lostKind: ProblemKind,
    val problemOrNull: (E) -> RequestProblem?,
)

/** The response to a request while it is being served. */
internal class OpenResponse<E : Any>(val emit: suspend (E) -> Unit) {
    /** Whether a target may have received the request. */
    @Volatile
    var mayHaveRun: Boolean = false
}

/** What the responses of a service depend on. */
internal class ResponseDependencies(val gate: CallerGate, val givenUp: Job, val meters: CallerMeters)

/**
 * Returns the response to a request of [account]: the events that [serve] emits, then the event that it returns.
 *
 * @param events creates the only event of a request that the gate refuses, and the last one of a request that is given
 * up.
 */
internal fun <E : Any> responseFlow(
    account: ClientAccountId,
    dependencies: ResponseDependencies,
    events: ProblemEvents<E>,
    serve: suspend (OpenResponse<E>) -> E,
): Flow<E> = // Clients of targets emit from their own coroutines, which a plain flow does not permit.
    channelFlow {
        var outcome = "cancelled"
        val response = OpenResponse<E>(::sendWhileOpen)
        try {
            val last = dependencies.gate.enter(account)?.let(events.failed) ?: dependencies.gate.leaveAfter(account) {
                unlessGivenUp(dependencies.givenUp, { serve(response) }) { events.failed(response.givenUp(events)) }
            }
            outcome = events.problemOrNull(last)?.kind?.slug ?: "finished"
            send(last)
        } finally {
            dependencies.meters.request(outcome)
        }
    }

/** Sends an event, or fails like a cancelled response if this one has ended; a claimed call outlives its response. */
private suspend fun <E> ProducerScope<E>.sendWhileOpen(event: E) = try {
    send(event)
} catch (e: ClosedSendChannelException) {
    throw CancellationException("the response has ended", e)
}

/** Returns the result of [block], or cancels it and returns that of [giveUp] once [givenUp] is completed. */
private suspend fun <E> unlessGivenUp(givenUp: Job, block: suspend () -> E, giveUp: () -> E): E = coroutineScope {
    val running = async { block() }
    select {
        running.onAwait { it }
        givenUp.onJoin {
            running.cancelAndJoin()
            giveUp()
        }
    }
}

private fun <E : Any> OpenResponse<E>.givenUp(events: ProblemEvents<E>): RequestProblem =
    if (mayHaveRun) RequestProblem(events.lostKind, RunState.UNKNOWN, "this entry VM has shut down") else stopping()

private suspend fun <E> CallerGate.leaveAfter(account: ClientAccountId, block: suspend () -> E): E = try {
    block()
} finally {
    leave(account)
}
