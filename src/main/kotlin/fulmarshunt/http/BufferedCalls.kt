/*
 * Calls whose requests and responses are short enough to be buffered completely: those of operators, announcements and
 * probes.
 */
package fulmarshunt.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.monotonicClock
import fulmarshunt.process.ByteBudget
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** The time without a request after which a connection is closed. */
private const val IDLE_MS = 60_000L

/** How long the body of a request may take to arrive after its head. */
private const val BODY_LIMIT_MS = 10_000L

/** The event loop polls its sockets before it runs what is due after this time. */
private const val END_POLL_MS = 1L

/** A body is copied while it is read. */
private const val BODY_COPIES = 2L

/** The maximum size of the body of a response, which holds a few fields. */
private const val MAX_REPLY_BYTES = 1_048_576

/** A request with its complete body. */
public class HttpCall(
    public val method: String,
    public val path: String,
    public val body: ByteArray,
    /** When the request was read completely, on the monotonic clock. */
    public val readAtMs: Long = monotonicClock().nowMs(),
    /** The earliest time at which the request can have arrived; long before [readAtMs] if this process was stopped. */
    public val unreadSinceMs: Long = readAtMs,
    /** Polls the connection; returns false if the caller has closed it. */
    public val isCallerConnected: suspend () -> Boolean = { true },
)

/** A response with its complete body. */
public class HttpReply(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
)

/** The bytes that one call holds of a budget. */
private class HeldBytes(private val budget: ByteBudget, private val connection: HttpConnection) {
    private var bytes = 0L

    /** Whether the budget did not suffice. */
    var isExceeded = false
        private set

    fun tryHold(count: Int): Boolean {
        isExceeded = !budget.tryHold(count)
        if (isExceeded) return false
        bytes += count
        connection.hold(count * BODY_COPIES)
        return true
    }

    fun release() {
        budget.release(bytes)
        connection.hold(-bytes * BODY_COPIES)
        bytes = 0
    }
}

/**
 * Responds to the calls on this connection, one after another. Bodies over [maxBodyBytes] are refused, and those for
 * which [budget] has no memory.
 */
public suspend fun HttpConnection.serveBuffered(
    maxBodyBytes: Int,
    budget: ByteBudget,
    clock: Clock = monotonicClock(),
    respond: suspend (HttpCall) -> HttpReply,
) {
    val held = HeldBytes(budget, this)
    try {
        serveBuffered(maxBodyBytes, held, clock, respond)
    } finally {
        held.release()
    }
}

private suspend fun HttpConnection.serveBuffered(
    maxBodyBytes: Int,
    held: HeldBytes,
    clock: Clock,
    respond: suspend (HttpCall) -> HttpReply,
) {
    while (end == null) {
        val head = withTimeoutOrNull(IDLE_MS) { receiveOrNull() }
        // A request may arrive at the moment at which the time limit passes.
        if (head == null && !isInboxEmpty) continue
        if (head == null) return
        if (head !is HttpRequest || head.decoderResult().isFailure) {
            ReferenceCountUtil.release(head)
            sendReply(HttpReply(HttpResponseStatus.BAD_REQUEST.code()), false)
            return
        }
        val unreadSinceMs = unreadSinceMs
        val body = withTimeoutOrNull(BODY_LIMIT_MS) { readBodyOrNull(maxBodyBytes, held::tryHold) }
        if (body == null) {
            val status = when {
                held.isExceeded -> HttpResponseStatus.SERVICE_UNAVAILABLE
                HttpUtil.getContentLength(head, 0L) > maxBodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                else -> HttpResponseStatus.BAD_REQUEST
            }
            sendReply(HttpReply(status.code()), false)
            return
        }
        val keepsOpen = HttpUtil.isKeepAlive(head)
        val path = head.uri().substringBefore('?')
        val call = HttpCall(head.method().name(), path, body, clock.nowMs(), unreadSinceMs) { isPeerConnected() }
        beginServing()
        sendReply(respond(call), keepsOpen)
        held.release()
        endRequest()
        if (!keepsOpen) return
    }
}

/** Returns whether the peer has not ended the connection; a request that was read late is followed by its end. */
private suspend fun HttpConnection.isPeerConnected(): Boolean {
    watchForEnd()
    delay(END_POLL_MS)
    return end == null
}

/** Sends a request and returns the complete response, or why there is none within [limitMs]. */
public suspend fun HttpConnection.callBuffered(
    method: String,
    path: String,
    host: String,
    body: ByteArray,
    limitMs: Long,
): Either<String, HttpReply> {
    val request = DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.valueOf(method),
        path,
        Unpooled.wrappedBuffer(body),
    )
    request.headers().set(HttpHeaderNames.HOST, host)
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    if (body.isNotEmpty()) request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
    return withTimeoutOrNull(limitMs) {
        send(request)
        val head = receiveOrNull()
        if (head !is HttpResponse || head.decoderResult().isFailure) {
            ReferenceCountUtil.release(head)
            "no response, the connection is ${end ?: "open"}".left()
        } else {
            val responseBody = readBodyOrNull(MAX_REPLY_BYTES)
            responseBody?.let { HttpReply(head.status().code(), it).right() }
                ?: "the response ended early or is too long".left()
        }
    } ?: "no response within $limitMs ms".left()
}

/** Reads the body of a message, or returns null if it ends early, exceeds [maxBytes], or [tryHold] refuses a part. */
private suspend fun HttpConnection.readBodyOrNull(maxBytes: Int, tryHold: (Int) -> Boolean = { true }): ByteArray? {
    val body = ByteArrayOutputStream()
    while (true) {
        val piece = receiveOrNull() ?: return null
        if (piece !is HttpContent || piece.decoderResult().isFailure) {
            ReferenceCountUtil.release(piece)
            return null
        }
        val content = piece.content()
        if (!tryHold(content.readableBytes())) {
            piece.release()
            return null
        }
        content.readBytes(body, content.readableBytes())
        piece.release()
        if (body.size() > maxBytes) return null
        if (piece is LastHttpContent) return body.toByteArray()
    }
}

private suspend fun HttpConnection.sendReply(reply: HttpReply, keepsOpen: Boolean) {
    val response = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(reply.status),
        Unpooled.wrappedBuffer(reply.body),
    )
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body.size)
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType)
    if (!keepsOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    send(response)
    // Closing the connection would discard what has not been sent.
    if (!keepsOpen) withTimeoutOrNull(IDLE_MS) { awaitFlushed() }
}
