/*
 * The interface to plain services: forwards method, path, query, headers and body, and streams the response back. The
 * path is decoded and encoded again, so that rules are compared with the path that is sent.
 */
package fulmarshunt.caller.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.IdempotencyKey
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.caller.Authenticate
import fulmarshunt.caller.PlainBytes
import fulmarshunt.caller.PlainCompleted
import fulmarshunt.caller.PlainEvent
import fulmarshunt.caller.PlainFailed
import fulmarshunt.caller.PlainRequest
import fulmarshunt.caller.PlainStarted
import fulmarshunt.caller.ProblemKind
import fulmarshunt.caller.RequestProblem
import fulmarshunt.caller.RunState
import fulmarshunt.caller.ServePlain
import fulmarshunt.process.http.connectionHeaders
import fulmarshunt.process.http.pairsWithout
import fulmarshunt.target.PlainCall
import fulmarshunt.target.PlainResponseHead
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPathPart
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.queryString
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.UUID

/** The number of parts of a response, of at most 8 KiB each, that are buffered for a slow caller. */
private const val RESPONSE_BUFFER_PARTS = 16

/** The maximum length of an idempotency key, which is stored with the claim. */
private const val MAX_KEY_CHARS = 200

/** Headers that are not forwarded to targets; the API key must not reach them. */
private val strippedHeaders = connectionHeaders + setOf("authorization", "expect")

/** Adds the interface to plain services, which are called by [serve]. */
public fun Route.serviceRoutes(authenticate: Authenticate, serve: ServePlain) {
    route("/v1/services/{service}/{path...}") {
        handle {
            call.readPlainRequest(authenticate).fold({ call.respondProblem(it) }, { call.respondPlain(it, serve) })
        }
    }
}

private suspend fun ApplicationCall.readPlainRequest(
    authenticate: Authenticate,
): Either<RequestProblem, PlainRequest> {
    val account = readAccount(authenticate).fold({ return it.left() }, { it })
    val body = readBody().fold({ return it.left() }, { it })
    val segments = parameters.getAll("path").orEmpty().filter { it.isNotEmpty() }
    if (segments.any { it == "." || it == ".." || '/' in it }) return malformed("the path is not normalised").left()
    val key = request.header("Idempotency-Key")
    if (key != null && (key.isBlank() || key.length > MAX_KEY_CHARS)) {
        return malformed("Idempotency-Key must have 1 to $MAX_KEY_CHARS characters").left()
    }
    val query = request.queryString().let { if (it.isEmpty()) "" else "?$it" }
    return PlainRequest(
        id = RequestId(UUID.randomUUID().toString()),
        account = account,
        service = ServiceId(parameters["service"].orEmpty()),
        path = "/" + segments.joinToString("/"),
        call = PlainCall(
            method = request.httpMethod.value.uppercase(),
            pathAndQuery = "/" + segments.joinToString("/") { it.encodeURLPathPart() } + query,
            headers = request.headers.pairsWithout(strippedHeaders),
            body = body,
        ),
        key = key?.let { IdempotencyKey(it) },
    ).right()
}

private fun malformed(detail: String) = RequestProblem(ProblemKind.MALFORMED, RunState.NOT_RUN, detail)

private suspend fun ApplicationCall.respondPlain(plain: PlainRequest, serve: ServePlain): Unit = coroutineScope {
    val events = serve(plain).buffer(RESPONSE_BUFFER_PARTS).produceIn(this)
    when (val first = events.receive()) {
        is PlainFailed -> respondProblem(first.problem)
        is PlainStarted -> forwardResponse(first.head, events)
        is PlainBytes, is PlainCompleted -> error("the response to ${plain.id} has no start")
    }
}

private suspend fun ApplicationCall.forwardResponse(head: PlainResponseHead, events: ReceiveChannel<PlainEvent>) {
    head.headers.forEach { (name, value) -> response.header(name, value) }
    val status = HttpStatusCode.fromValue(head.status)
    if (request.httpMethod == HttpMethod.Head || head.status in BODILESS_STATUSES) {
        for (event in events) if (event is PlainFailed) throw IOException(event.problem.detail)
        return respond(status)
    }
    val contentType = head.contentType?.let { runCatching { ContentType.parse(it) }.getOrNull() }
    respondBytesWriter(contentType, status) {
        for (event in events) {
            when (event) {
                is PlainBytes ->
                    withTimeout(SLOW_CALLER_LIMIT_MS) {
                        writeFully(event.bytes)
                        flush()
                    }
                // Closing the connection early is the only way to show that a started response is incomplete.
                is PlainFailed -> throw IOException(event.problem.detail)
                is PlainStarted, is PlainCompleted -> Unit
            }
        }
    }
}

private val BODILESS_STATUSES = setOf(HttpStatusCode.NoContent.value, HttpStatusCode.NotModified.value)
