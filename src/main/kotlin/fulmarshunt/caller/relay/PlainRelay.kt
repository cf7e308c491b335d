/*
 * Forwards a response that is not a stream. A short response is read to its end first, so that an incomplete one can be
 * replaced by the response of another target, or by an explicit failure.
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

/** Responses up to this size are buffered completely before they are forwarded. */
private const val MAX_BUFFERED_BYTES = 65_536

/** How the forwarding of a response ended. */
internal enum class ForwardResult {
    COMPLETE,

    /** The response ended early before anything was forwarded. */
    BROKEN_BEFORE,

    /** The response ended early after a part of it was forwarded. */
    BROKEN_WITHIN,
}

/** Returns the next piece of the body, or null if the body ends early or [isInterrupted]. */
internal suspend fun TargetResponse.nextPieceOrNull(isInterrupted: () -> Boolean = { false }): HttpContent? {
    val message = connection.receiveOrNull(isInterrupted) ?: return null
    val isBrokenEnd = endsWithConnection && message is LastHttpContent && connection.end == ConnectionEnd.BROKEN
    if (message !is HttpContent || message.decoderResult().isFailure || isBrokenEnd) {
        ReferenceCountUtil.release(message)
        connection.close()
        return null
    }
    return message
}

/** Returns the head with which the response with [targetHead] is forwarded to a caller. */
internal fun callerHead(targetHead: HttpResponse, adapter: ProtocolAdapter, isHead: Boolean): HttpResponse {
    val head =
        DefaultHttpResponse(HttpVersion.HTTP_1_1, targetHead.status(), adapter.toCallerHeaders(targetHead.headers()))
    val length = targetHead.headers().get(HttpHeaderNames.CONTENT_LENGTH)
    when {
        length != null -> head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        isHead -> Unit
        else -> head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    }
    return head
}

/** Adds to the head of a response to [request] whether its connection will be closed; called just before it is sent. */
internal fun HttpResponse.announceEndOf(request: CallerRequest) {
    if (!request.keepsOpen) headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
}

/** Forwards [response] with [head] to [caller]; [onFirst] is called before the first byte is written. */
internal suspend fun forward(
    response: TargetResponse,
    caller: HttpConnection,
    head: HttpResponse,
    onFirst: () -> Unit,
): ForwardResult {
    val pieces = mutableListOf<HttpContent>()
    var bytes = 0
    var hasSent = false
    try {
        while (true) {
            val piece =
                response.nextPieceOrNull()
                    ?: return if (hasSent) ForwardResult.BROKEN_WITHIN else ForwardResult.BROKEN_BEFORE
            pieces += piece
            bytes += piece.content().readableBytes()
            if (!hasSent) caller.hold(piece.content().readableBytes().toLong())
            val isLast = piece is LastHttpContent
            // What is written to a caller that does not read can be given up with its connection.
            val mayHoldBack = bytes < MAX_BUFFERED_BYTES && !caller.isMemoryFull
            if (!isLast && !hasSent && mayHoldBack) continue
            if (!hasSent) {
                onFirst()
                useKnownLength(head, bytes, isLast)
                caller.write(head)
                hasSent = true
                caller.hold(-bytes.toLong())
            }
            while (pieces.size > 1) caller.write(pieces.removeFirst())
            caller.send(pieces.removeFirst())
            if (isLast) return ForwardResult.COMPLETE
        }
    } finally {
        if (!hasSent) caller.hold(-bytes.toLong())
        pieces.forEach { it.release() }
    }
}

private fun useKnownLength(head: HttpResponse, bytes: Int, isComplete: Boolean) {
    if (!isComplete || !HttpUtil.isTransferEncodingChunked(head)) return
    HttpUtil.setTransferEncodingChunked(head, false)
    HttpUtil.setContentLength(head, bytes.toLong())
}
