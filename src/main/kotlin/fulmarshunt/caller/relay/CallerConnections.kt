/*
 * Serves the connections of callers: reads one request after another, refuses requests that cannot be read safely, and
 * cancels the work for a caller that disconnects.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Clock
import fulmarshunt.TargetId
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
import org.apache.logging.log4j.LogManager

/** How long a connection may be idle while no configuration says so. */
private const val DEFAULT_IDLE_MS = 15_000L

/** How long a connection is read before it is closed, so that the caller receives the last response. */
private const val LINGER_MS = 500L

/** The delay after which a caller is told to retry while other callers hold the memory. */
private const val MEMORY_RETRY_MS = 500L

/** Cancels the work for a caller that has closed its connection. */
internal class CallerDisconnected : CancellationException("the caller has disconnected")

/** How far the response to a request has got. */
internal class ResponseProgress {
    /** The target that has the request, or had it last. */
    var target: TargetId? = null

    /** Whether the head of a response was forwarded to the caller. */
    var hasBegun: Boolean = false

    /** The number of events of a stream that have arrived. */
    var events: Long = 0
}

/** A request whose head has been read; its body may still be arriving. */
internal class CallerRequest(
    val head: HttpRequest,
    val metadata: RequestMetadata,
    val body: RequestBody,
    val connection: HttpConnection,
    val arrivedAtMs: Long,
    private val isStopping: () -> Boolean,
) {
    /**
     * Whether the connection stays open after the response. It is decided once, when the head of the response is sent,
     * because the caller may send the next request on a connection unless the head says that it will be closed.
     */
    val keepsOpen: Boolean by lazy(LazyThreadSafetyMode.NONE) { HttpUtil.isKeepAlive(head) && !isStopping() }

    val progress: ResponseProgress = ResponseProgress()

    val isHead: Boolean get() = head.method() == HttpMethod.HEAD
    val path: String get() = head.uri().substringBefore('?')
}

/** The connections of callers at one entry VM. Confined to the traffic thread. */
public class CallerConnections internal constructor(
    private val view: () -> FleetView,
    private val adapter: ProtocolAdapter,
    private val meters: RelayMeters,
    private val clock: Clock,
    private val plannedStop: PlannedStop,
    private val relay: suspend (CallerRequest) -> RelayOutcome,
) {
    private val log = LogManager.getLogger(CallerConnections::class.java)
    private val open = mutableSetOf<HttpConnection>()
    private val idle = mutableSetOf<HttpConnection>()
    private val serving = mutableSetOf<CallerRequest>()
    private var isClosed = false

    /** The number of requests that are being served. */
    public val active: Int get() = serving.size

    /** Whether a request is being served or has not been read, or a response has not been sent. */
    public val hasPendingWork: Boolean
        get() = open.size > idle.size || open.any { !it.isInboxEmpty || !it.isFlushed }

    /** Serves requests on one connection until it ends. */
    public suspend fun serve(connection: HttpConnection) {
        if (isClosed) return
        open += connection
        try {
            serveRequests(connection)
        } finally {
            open -= connection
        }
    }

    private suspend fun serveRequests(connection: HttpConnection) {
        while (connection.end == null) {
            val head = awaitHeadOrNull(connection) ?: return
            if (!serveRequest(connection, head)) {
                linger(connection)
                return
            }
        }
    }

    /** Closes idle connections; the others are closed after the first response that tells their callers so. */
    public fun stop() {
        val unread = idle.count { !it.isInboxEmpty }
        log.info("connections stopped idle={} unread={} active={}", idle.size, unread, active)
        idle.filter { it.isInboxEmpty }.forEach { it.close() }
    }

    /** Closes all connections and logs the requests that end without a response. */
    public fun close() {
        isClosed = true
        val nowMs = clock.nowMs()
        serving.forEach {
            val progress = it.progress
            log.warn(
                "request cut off id={} path={} ageMs={} bodyComplete={} responded={} events={} target={}",
                it.metadata.id,
                it.path,
                nowMs - it.arrivedAtMs,
                it.body.isComplete,
                progress.hasBegun,
                progress.events,
                progress.target,
            )
        }
        open.toList().forEach { it.close() }
    }

    private fun idleTimeoutMs(): Long = view().table?.configuration?.limits?.idleTimeoutMs ?: DEFAULT_IDLE_MS

    private suspend fun awaitHeadOrNull(connection: HttpConnection): HttpRequest? {
        idle += connection
        try {
            val idleMs = idleTimeoutMs()
            while (true) {
                val message = withTimeoutOrNull(idleMs) { connection.receiveOrNull() }
                if (message is HttpRequest) return message
                // A request may arrive at the moment at which the time limit passes.
                if (message == null && connection.isInboxEmpty) return null
                // The empty last content of a request that was refused by its head.
                ReferenceCountUtil.release(message)
            }
        } finally {
            idle -= connection
        }
    }

    /** Serves one request and returns whether the connection can be reused. */
    private suspend fun serveRequest(connection: HttpConnection, head: HttpRequest): Boolean {
        val refusal = refusalOrNull(head) ?: memoryRefusalOrNull(connection)
        if (refusal != null) {
            meters.refused(refusal)
            connection.respond(refusal, isHead = false, keepsOpen = false)
            return false
        }
        val maxBytes = view().table?.configuration?.limits?.maxBodyBytes ?: Long.MAX_VALUE
        val body = RequestBody(connection, maxBytes, HttpUtil.getContentLength(head, -1L))
        val metadata = adapter.readRequest(head.headers())
        val request = CallerRequest(head, metadata, body, connection, clock.nowMs()) { plannedStop.hasBegun }
        if (HttpUtil.is100ContinueExpected(head)) sendContinue(connection)
        serving += request
        try {
            return serveWhileConnected(connection, request)
        } finally {
            serving -= request
            body.endHold()
            connection.endRequest()
        }
    }

    private suspend fun serveWhileConnected(connection: HttpConnection, request: CallerRequest): Boolean {
        var keepsOpen = false
        coroutineScope {
            val job = launch {
                val outcome = relay(request)
                keepsOpen = finish(connection, request, outcome)
            }
            connection.onEnd = { job.cancel(CallerDisconnected()) }
            if (connection.end != null) job.cancel(CallerDisconnected())
            job.join()
            connection.onEnd = null
        }
        return keepsOpen
    }

    private suspend fun finish(connection: HttpConnection, request: CallerRequest, outcome: RelayOutcome): Boolean =
        when (outcome) {
            is RelayOutcome.Local -> {
                val isReadable = request.body.isComplete && !outcome.response.isLast
                val keepsOpen = request.keepsOpen && isReadable
                connection.respond(outcome.response, request.isHead, keepsOpen)
                keepsOpen
            }
            RelayOutcome.Relayed ->
                request.keepsOpen && withTimeoutOrNull(idleTimeoutMs()) { request.body.discardRest() } == true
            RelayOutcome.Broken -> {
                connection.close()
                false
            }
        }

    private suspend fun sendContinue(connection: HttpConnection) {
        connection.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        connection.send(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /**
     * Waits until the last response has been sent, and then reads for a moment: closing a connection with unread bytes
     * would reset it, and the caller would lose the end of the response.
     */
    private suspend fun linger(connection: HttpConnection) {
        withTimeoutOrNull(idleTimeoutMs()) { connection.awaitFlushed() }
        if (connection.end != null) return
        withTimeoutOrNull(LINGER_MS) {
            while (true) {
                val message = connection.receiveOrNull() ?: break
                ReferenceCountUtil.release(message)
                if (message is HttpRequest) {
                    // The caller learns at once that the request must be sent on another connection.
                    logDiscarded(message)
                    break
                }
            }
        }
    }

    private fun logDiscarded(head: HttpRequest) {
        val id = adapter.readRequest(head.headers()).id
        log.warn(
            "request discarded id={} path={} stopping={}",
            id,
            head.uri().substringBefore('?'),
            plannedStop.hasBegun,
        )
    }
}

/** Returns the refusal of a request that cannot be read safely, or null. Every reader must agree about its end. */
private fun refusalOrNull(head: HttpRequest): LocalResponse? {
    val failure = head.decoderResult().cause()
    val headers = head.headers()
    return when {
        failure is TooLongHttpHeaderException ->
            LocalResponse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too long", isLast = true)
        failure != null -> malformed("the request cannot be read: ${failure.message}")
        headers.getAll(HttpHeaderNames.HOST).size != 1 -> malformed("the request does not have exactly one Host header")
        hasAmbiguousEnd(headers) -> malformed("the end of the request is ambiguous")
        !head.uri().startsWith("/") -> malformed("the request target is not a path")
        else -> null
    }
}

/** Returns the refusal of a request for which the process has no memory, because others hold it, or null. */
private fun memoryRefusalOrNull(connection: HttpConnection): LocalResponse? = if (connection.isMemoryFull) {
    notRun("this VM has no memory for the request", MEMORY_RETRY_MS).copy(isLast = true)
} else {
    null
}

private fun hasAmbiguousEnd(headers: HttpHeaders): Boolean {
    val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    val isChunked = encodings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.single().trim())
    return (encodings.isNotEmpty() && (!isChunked || lengths.isNotEmpty())) || lengths.distinct().size > 1
}

private fun malformed(reason: String) = LocalResponse(HttpResponseStatus.BAD_REQUEST, reason, isLast = true)
