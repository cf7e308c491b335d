/*
 * Sends a request to one target and waits for the head of its answer. What a target sends is believed only if it names
 * the request; bytes that belong to another request, or to none, are dropped with their connection.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.http.HttpConnection
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.TargetConnections
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Statuses that promise that the request has not run; only a target that says so may give such a promise. */
private val PROMISES = setOf(
    HttpResponseStatus.TOO_MANY_REQUESTS,
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    HttpResponseStatus.REQUEST_TIMEOUT,
    HttpResponseStatus.MISDIRECTED_REQUEST,
)

/** An idempotent request waits for a target this many times its objective before another one is tried. */
private const val PATIENCE_OBJECTIVES = 3

/** An answer whose head has arrived. */
internal class OpenedAnswer(
    val target: KnownTarget,
    val connection: HttpConnection,
    val response: HttpResponse,
    private val connections: TargetConnections,
    private val bodySender: Job?,
) {
    /** Whether the body ends with the connection. */
    val endsWithConnection: Boolean
        get() = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)

    /** Keeps the connection, if the target does too and the request was sent whole. */
    fun finish() {
        val isSentWhole = bodySender?.isCompleted ?: true
        bodySender?.cancel()
        if (HttpUtil.isKeepAlive(response) && !endsWithConnection && isSentWhole) {
            connections.release(target.record.address, connection)
        } else {
            connection.close()
        }
    }

    /** Closes the connection, which also ends the work of the target. */
    fun abandon() {
        bodySender?.cancel()
        connection.close()
    }
}

/** Sends requests to targets. Confined to the traffic thread. */
internal class TargetCalls(private val connections: TargetConnections, private val adapter: ProtocolAdapter) {
    /** Sends [job] as [dispatch] says; a body that is still arriving is passed on in [scope]. */
    suspend fun open(
        job: RelayJob,
        target: KnownTarget,
        dispatch: Dispatch,
        scope: CoroutineScope,
    ): Either<AttemptFailure, OpenedAnswer> {
        val isIdempotent = job.route.repeatability == Repeatability.IDEMPOTENT
        val connection = connections.open(target.record.address, isIdempotent)
            .getOrElse { return AttemptFailure.NotSent(it).left() }
        var isOpened = false
        var sender: Job? = null
        try {
            sender = send(job, connection, adapter.toTargetHeaders(job.request.head.headers(), dispatch), scope)
            // The time of the whole request is limited where the request is served.
            val response =
                if (isIdempotent) {
                    withTimeoutOrNull(PATIENCE_OBJECTIVES * job.route.objectiveMs) { receiveHead(job, connection) }
                } else {
                    receiveHead(job, connection)
                } ?: return AttemptFailure.Lost("no answer: ${connection.end ?: "its time is up"}").left()
            return judge(response).map {
                isOpened = true
                OpenedAnswer(target, connection, response, connections, sender)
            }
        } finally {
            if (!isOpened) {
                sender?.cancel()
                connection.close()
            }
        }
    }

    private suspend fun send(
        job: RelayJob,
        connection: HttpConnection,
        headers: HttpHeaders,
        scope: CoroutineScope,
    ): Job? {
        val head = job.request.head
        val body = job.request.body
        val beginning = Unpooled.wrappedBuffer(body.beginning)
        if (body.isRepeatable) {
            if (beginning.isReadable || HttpUtil.isContentLengthSet(head)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, beginning.readableBytes())
            }
            connection.send(
                DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    head.method(),
                    head.uri(),
                    beginning,
                    headers,
                    EmptyHttpHeaders.INSTANCE,
                ),
            )
            return null
        }
        if (HttpUtil.isContentLengthSet(head)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(head))
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        connection.put(DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers))
        connection.send(DefaultHttpContent(beginning))
        return scope.launch {
            while (true) {
                val piece = body.nextOrNull()
                if (piece == null) {
                    // A body that breaks off must not look complete to the target.
                    if (!body.isComplete) connection.close()
                    break
                }
                if (!connection.send(piece)) break
            }
        }
    }

    /** Returns the head of the answer to [job], or null at the end of the connection. */
    private suspend fun receiveHead(job: RelayJob, connection: HttpConnection): HttpResponse? {
        var isForeign = false
        while (true) {
            val message = connection.receiveOrNull() ?: return null
            if (message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                return null
            }
            if (message is HttpResponse) {
                val answered = adapter.readResponse(message.headers()).request
                val isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
                isForeign = isInterim || (answered != null && answered != job.id.value)
                if (!isForeign) return message
            }
            ReferenceCountUtil.release(message)
            if (message is LastHttpContent) isForeign = false
        }
    }

    private fun judge(response: HttpResponse): Either<AttemptFailure, HttpResponse> {
        val status = response.status()
        val facts = adapter.readResponse(response.headers())
        return when {
            facts.isNotRun || status == HttpResponseStatus.MISDIRECTED_REQUEST ->
                AttemptFailure.Refused(status.code(), facts.retryAfterS).left()
            status in PROMISES -> AttemptFailure.Lost("${status.code()} without a word that it has not run").left()
            status.codeClass() == HttpStatusClass.SUCCESS && (!facts.isStamped || facts.request == null) ->
                AttemptFailure.Lost("the answer does not prove that it is the target's").left()
            else -> response.right()
        }
    }
}
