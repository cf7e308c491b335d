/*
 * Answers of our own to callers.
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

/** An answer that does not come from a target. */
internal data class LocalResponse(
    val status: HttpResponseStatus,
    /** Why, for the log and the body. */
    val reason: String,
    /** When the caller may send the request again; only with a status that says that it has not run. */
    val retryAfterMs: Long? = null,
    /** Whether the connection is closed, because what follows on it cannot be read. */
    val isLast: Boolean = false,
)

internal fun notRun(reason: String, retryAfterMs: Long? = null): LocalResponse =
    LocalResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMs)

/** Sends [answer]; the connection stays open if [keepsOpen]. */
internal suspend fun HttpConnection.answer(answer: LocalResponse, isHead: Boolean, keepsOpen: Boolean) {
    val text = answer.reason.encodeToByteArray()
    val body = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(text)
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status, body)
    val headers = response.headers()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
    headers.set(HttpHeaderNames.CONTENT_LENGTH, text.size)
    answer.retryAfterMs?.let {
        headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", it / MS_PER_S))
    }
    if (!keepsOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    send(response)
}
