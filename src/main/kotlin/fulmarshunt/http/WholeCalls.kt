/*
 * Requests and answers that are short enough to be read whole: calls of operators, announcements, probes.
 */
package fulmarshunt.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
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
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** Connections without a request for this long are closed. */
private const val IDLE_MS = 60_000L

/** How long the rest of a request may take once its head is there. */
private const val BODY_LIMIT_MS = 10_000L

/** A request that was read whole. */
public class HttpCall(public val method: String, public val path: String, public val body: ByteArray)

/** An answer that was read whole, or is sent whole. */
public class HttpReply(
    public val status: Int,
    public val body: ByteArray = ByteArray(0),
    public val contentType: String = "application/json",
    /** Whether the sender of an answer takes another request on the same connection. */
    public val keepsOpen: Boolean = true,
)

/** Answers one call after another on this connection; bodies over [maxBodyBytes] are refused. */
public suspend fun HttpConnection.serveBuffered(maxBodyBytes: Int, answer: suspend (HttpCall) -> HttpReply) {
    while (end == null) {
        val head = withTimeoutOrNull(IDLE_MS) { receiveOrNull() } ?: return
        if (head !is HttpRequest || head.decoderResult().isFailure) {
            ReferenceCountUtil.release(head)
            sendReply(HttpReply(HttpResponseStatus.BAD_REQUEST.code()), false)
            return
        }
        val body = withTimeoutOrNull(BODY_LIMIT_MS) { readBodyOrNull(maxBodyBytes) }
        if (body == null) {
            val isTooLong = HttpUtil.getContentLength(head, 0L) > maxBodyBytes
            val status = if (isTooLong) HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE else HttpResponseStatus.BAD_REQUEST
            sendReply(HttpReply(status.code()), false)
            return
        }
        val keeps = HttpUtil.isKeepAlive(head)
        sendReply(answer(HttpCall(head.method().name(), head.uri().substringBefore('?'), body)), keeps)
        if (!keeps) return
    }
}

/** Sends a request and returns the whole answer, or why there is none within [limitMs]. */
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
            "no answer, the connection is ${end ?: "open"}".left()
        } else {
            val answer = readBodyOrNull(Int.MAX_VALUE)
            answer?.let { HttpReply(head.status().code(), it, keepsOpen = HttpUtil.isKeepAlive(head)).right() }
                ?: "the answer broke off".left()
        }
    } ?: "no answer within $limitMs ms".left()
}

/** Reads the rest of a message; null if it breaks off or exceeds [maxBytes]. */
private suspend fun HttpConnection.readBodyOrNull(maxBytes: Int): ByteArray? {
    val body = ByteArrayOutputStream()
    while (true) {
        val piece = receiveOrNull() ?: return null
        if (piece !is HttpContent || piece.decoderResult().isFailure) {
            ReferenceCountUtil.release(piece)
            return null
        }
        val content = piece.content()
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
}
