/*
 * Serves the connections of callers: reads one request after another, refuses what cannot be read safely, and stops
 * the work for a caller that leaves.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Clock
import fulmarshunt.http.HttpConnection
import fulmarshunt.target.fleet.FleetView
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** How long a connection may be idle while no configuration says so. */
private const val DEFAULT_IDLE_MS = 15_000L

/** How long a closing connection goes on reading, so that the caller receives the last answer. */
private const val LINGER_MS = 500L

/** The caller has closed its connection. */
internal class CallerLeft : CancellationException("the caller has left")

/** A request whose head has been read. */
internal class CallerRequest(
    val head: HttpRequest,
    val facts: RequestMetadata,
    val body: RequestBody,
    val connection: HttpConnection,
    val arrivedAtMs: Long,
) {
    val isHead: Boolean get() = head.method() == HttpMethod.HEAD
    val path: String get() = head.uri().substringBefore('?')
}

/** The connections of callers at one entry VM. Confined to the traffic thread. */
public class CallerConnections internal constructor(
    private val view: () -> FleetView,
    private val adapter: ProtocolAdapter,
    private val meters: RelayMeters,
    private val clock: Clock,
    private val exchange: suspend (CallerRequest) -> RelayOutcome,
) {
    private val idle = mutableSetOf<HttpConnection>()

    /** The requests that are being served. */
    public var active: Int = 0
        private set

    private var isStopping = false

    /** Serves one connection until it ends. */
    public suspend fun serve(connection: HttpConnection) {
        while (connection.end == null) {
            if (isStopping && connection.isInboxEmpty) return
            val head = awaitHeadOrNull(connection) ?: return
            if (!serveRequest(connection, head)) {
                linger(connection)
                return
            }
        }
    }

    /** Closes idle connections and lets the others end with their request. */
    public fun stop() {
        isStopping = true
        idle.toList().forEach { it.close() }
    }

    private suspend fun awaitHeadOrNull(connection: HttpConnection): HttpRequest? {
        idle += connection
        try {
            val idleMs = view().table?.configuration?.limits?.idleTimeoutMs ?: DEFAULT_IDLE_MS
            while (true) {
                val message = withTimeoutOrNull(idleMs) { connection.receiveOrNull() } ?: return null
                if (message is HttpRequest) return message
                // The empty end of a request that was refused by its head.
                ReferenceCountUtil.release(message)
            }
        } finally {
            idle -= connection
        }
    }

    /** Serves one request and returns whether the connection can be used on. */
    private suspend fun serveRequest(connection: HttpConnection, head: HttpRequest): Boolean {
        val refusal = unreadable(head)
        if (refusal != null) {
            meters.refused(refusal)
            connection.answer(refusal, isHead = false, keepsOpen = false)
            return false
        }
        val maxBytes = view().table?.configuration?.limits?.maxBodyBytes ?: Long.MAX_VALUE
        val body = RequestBody(connection, maxBytes, HttpUtil.getContentLength(head, -1L))
        val request = CallerRequest(head, adapter.readRequest(head.headers()), body, connection, clock.nowMs())
        if (HttpUtil.is100ContinueExpected(head)) sendContinue(connection)
        active += 1
        try {
            return serveUnlessLeft(connection, request)
        } finally {
            active -= 1
        }
    }

    private suspend fun serveUnlessLeft(connection: HttpConnection, request: CallerRequest): Boolean {
        var keeps = false
        coroutineScope {
            val job = launch {
                val end = exchange(request)
                keeps = finish(connection, request, end)
            }
            connection.onEnd = { job.cancel(CallerLeft()) }
            if (connection.end != null) job.cancel(CallerLeft())
            job.join()
            connection.onEnd = null
        }
        return keeps
    }

    private suspend fun finish(connection: HttpConnection, request: CallerRequest, end: RelayOutcome): Boolean {
        val keepsOpen = HttpUtil.isKeepAlive(request.head) && !isStopping
        return when (end) {
            is RelayOutcome.Own -> {
                val isReadable = request.body.isComplete && !end.answer.isLast
                connection.answer(end.answer, request.isHead, keepsOpen && isReadable)
                keepsOpen && isReadable
            }
            is RelayOutcome.Relayed -> keepsOpen && end.keepsOpen && request.body.drop()
            RelayOutcome.Broken -> {
                connection.close()
                false
            }
        }
    }

    private suspend fun sendContinue(connection: HttpConnection) {
        connection.put(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        connection.send(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Reads on for a moment: closing a connection with unread bytes would reset it and destroy the last answer. */
    private suspend fun linger(connection: HttpConnection) {
        if (connection.end != null) return
        withTimeoutOrNull(LINGER_MS) {
            while (true) ReferenceCountUtil.release(connection.receiveOrNull() ?: break)
        }
    }
}

/** Returns why a request must not be read on, or null. Its end must be where every reader sees it. */
private fun unreadable(head: HttpRequest): LocalResponse? {
    val failure = head.decoderResult().cause()
    val headers = head.headers()
    return when {
        failure is TooLongHttpHeaderException ->
            LocalResponse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long", isLast = true)
        failure != null -> malformed("the request cannot be read: ${failure.message}")
        headers.getAll(HttpHeaderNames.HOST).size != 1 -> malformed("the request has no single host")
        hasUnclearEnd(headers) -> malformed("the end of the request is not clear")
        !head.uri().startsWith("/") -> malformed("the target of the request is no path")
        else -> null
    }
}

private fun hasUnclearEnd(headers: HttpHeaders): Boolean {
    val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    val isChunked = encodings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.single().trim())
    return (encodings.isNotEmpty() && (!isChunked || lengths.isNotEmpty())) || lengths.distinct().size > 1
}

private fun malformed(reason: String) = LocalResponse(HttpResponseStatus.BAD_REQUEST, reason, isLast = true)
