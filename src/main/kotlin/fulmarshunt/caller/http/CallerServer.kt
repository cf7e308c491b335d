/*
 * The HTTP server for callers. A request is cancelled when its caller closes the connection, even while nothing is
 * written: Ktor's CIO engine, since version 3.4, reports this to the request if the plugin below is installed. Accepted
 * requests are counted until their response is written, so that a graceful shutdown can wait for them.
 */
package fulmarshunt.caller.http

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.caller.GracefulStop
import fulmarshunt.process.http.HttpServer
import fulmarshunt.process.http.httpServer
import fulmarshunt.process.http.startAt
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.response.ApplicationSendPipeline
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How long the responses to requests that are given up may take. */
private const val LAST_RESPONSES_MS = 300L

/** How long callers may take to receive the last responses and to close their connections. */
private const val LAST_CONNECTIONS_MS = 5_000L

/** A running server for callers. */
public class CallerServer internal constructor(
    private val server: HttpServer,
    private val openRequests: MutableStateFlow<Int>,
    private val gracefulStop: GracefulStop,
    /** The address that the server listens at. */
    public val address: Address,
) {
    private val log = LogManager.getLogger(CallerServer::class.java)

    /** Refuses new requests, waits for at most [limitMs] until no other is open, and gives up the rest. */
    public suspend fun finishRequests(limitMs: Long) {
        gracefulStop.refuseRequests()
        withTimeoutOrNull(limitMs) { awaitIdle() }
        val open = openRequests.value
        if (open > 0) log.warn("requests given up open={}", open)
        gracefulStop.giveUpRequests()
        withTimeoutOrNull(LAST_RESPONSES_MS) { awaitIdle() }
    }

    /**
     * Stops listening, and returns when all connections are closed. The engine still holds a part of a response when
     * its request has ended; the caller closes the connection once it has received the response.
     */
    public suspend fun stop(): Unit = server.stopSuspend(LAST_CONNECTIONS_MS, LAST_CONNECTIONS_MS)

    private suspend fun awaitIdle() {
        openRequests.first { it == 0 }
    }
}

/**
 * Starts a server for callers at [address].
 *
 * @return the server, or why it cannot listen.
 */
public suspend fun startCallerServer(
    address: Address,
    gracefulStop: GracefulStop,
    routes: Route.() -> Unit,
): Either<String, CallerServer> {
    val openRequests = MutableStateFlow(0)
    val server =
        httpServer(address) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            announceEndOfConnections(gracefulStop)
            acceptRequests(gracefulStop, openRequests)
            routing { routes() }
        }
    return server.startAt(address).map { CallerServer(server, openRequests, gracefulStop, it) }
}

/** Tells callers with the head of each response whether they may use its connection again. */
private fun Application.announceEndOfConnections(gracefulStop: GracefulStop) {
    sendPipeline.intercept(ApplicationSendPipeline.Before) {
        if (gracefulStop.hasBegun) context.response.header(HttpHeaders.Connection, "close")
    }
}

private fun Application.acceptRequests(gracefulStop: GracefulStop, openRequests: MutableStateFlow<Int>) {
    intercept(ApplicationCallPipeline.Setup) {
        // Counted before the check, so that a shutdown that refuses requests and finds none open misses none.
        openRequests.update { it + 1 }
        val refusal = gracefulStop.refusalOrNull()
        try {
            if (refusal == null) proceed()
        } finally {
            openRequests.update { it - 1 }
        }
        // A refused request is not counted: a shutdown would wait for callers that go on sending.
        if (refusal != null) {
            context.respondProblem(refusal)
            finish()
        }
    }
}
