/*
 * Responses that an entry VM itself sends to callers.
 */
package fulmarshunt.caller.relay

import fulmarshunt.http.HttpConnection
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.Locale

private const val MS_PER_S = 1_000.0

/** A response that does not come from a target. */
internal data class LocalResponse(
    val status: HttpResponseStatus,
    /** Why the request has no response from a target, for the log and the body. */
    val reason: String,
    /** When the caller may retry; only with a status that means that the request has not run. */
    val retryAfterMs: Long? = null,
    /** Whether the connection is closed afterwards, because what follows on it cannot be read. */
    val isLast: Boolean = false,
)

internal fun notRun(reason: String, retryAfterMs: Long? = null): LocalResponse =
    LocalResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMs)

/** Sends [response]; the connection stays open if [keepsOpen]. */
internal suspend fun HttpConnection.respond(response: LocalResponse, isHead: Boolean, keepsOpen: Boolean) {
    val text = response.reason.encodeToByteArray()
    val body = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(text)
    val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status, body)
    val headers = message.headers()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
    headers.set(HttpHeaderNames.CONTENT_LENGTH, text.size)
    response.retryAfterMs?.let {
        headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", it / MS_PER_S))
    }
    if (!keepsOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    send(message)
}
