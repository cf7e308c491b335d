/*
 * Passes on an answer that is no stream. A short answer is read to its end first, so that one which breaks off can be
 * replaced by an answer of another target, or by a clear failure.
 */
package fulmarshunt.caller.relay

import fulmarshunt.http.ConnectionEnd
import fulmarshunt.http.HttpConnection
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Answers up to this size are read whole before they are passed on. */
private const val WHOLE_BYTES = 65_536

/** The result of passing on an answer. */
internal enum class Passed {
    COMPLETE,

    /** The target broke off before anything was passed on. */
    BROKEN_BEFORE,

    /** The target broke off in the middle. */
    BROKEN_WITHIN,
}

/** Returns the next piece of this answer, or null if it breaks off. */
internal suspend fun OpenedAnswer.nextPieceOrNull(isInterrupted: () -> Boolean = { false }): HttpContent? {
    val message = connection.receiveOrNull(isInterrupted) ?: return null
    val isBrokenEnd = endsWithConnection && message is LastHttpContent && connection.end == ConnectionEnd.BROKEN
    if (message !is HttpContent || message.decoderResult().isFailure || isBrokenEnd) {
        ReferenceCountUtil.release(message)
        connection.close()
        return null
    }
    return message
}

/** Returns the head with which [answer] is passed on to a caller. */
internal fun callerHead(
    answer: HttpResponse,
    adapter: ProtocolAdapter,
    keepsOpen: Boolean,
    isHead: Boolean,
): HttpResponse {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), adapter.toCallerHeaders(answer.headers()))
    val length = answer.headers().get(HttpHeaderNames.CONTENT_LENGTH)
    when {
        length != null -> head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        isHead -> Unit
        else -> head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    }
    if (!keepsOpen) head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    return head
}

/** Passes [answer] on to [caller]; [onFirst] is called before the first byte goes out. */
internal suspend fun passOn(
    answer: OpenedAnswer,
    caller: HttpConnection,
    head: HttpResponse,
    onFirst: () -> Unit,
): Passed {
    val pieces = mutableListOf<HttpContent>()
    var bytes = 0
    var hasSent = false
    try {
        while (true) {
            val piece = answer.nextPieceOrNull() ?: return if (hasSent) Passed.BROKEN_WITHIN else Passed.BROKEN_BEFORE
            pieces += piece
            bytes += piece.content().readableBytes()
            val isLast = piece is LastHttpContent
            if (!isLast && bytes < WHOLE_BYTES && !hasSent) continue
            if (!hasSent) {
                onFirst()
                useKnownLength(head, bytes, isLast)
                caller.put(head)
                hasSent = true
            }
            while (pieces.size > 1) caller.put(pieces.removeFirst())
            caller.send(pieces.removeFirst())
            if (isLast) return Passed.COMPLETE
        }
    } finally {
        pieces.forEach { it.release() }
    }
}

private fun useKnownLength(head: HttpResponse, bytes: Int, isWhole: Boolean) {
    if (!isWhole || !HttpUtil.isTransferEncodingChunked(head)) return
    HttpUtil.setTransferEncodingChunked(head, false)
    HttpUtil.setContentLength(head, bytes.toLong())
}
