/*
 * Sends a request to one target and waits for the head of the response. A response is accepted only if it names the
 * request. One that names another request is discarded; one that names none, or whose status is no final one, ends the
 * attempt, which may have run.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.http.HttpConnection
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.target.fleet.DialFailure
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.TargetConnections
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Statuses that mean that the request has not run; they are trusted only if the target states it as well. */
private val NOT_RUN_STATUSES = setOf(
    HttpResponseStatus.TOO_MANY_REQUESTS,
    HttpResponseStatus.SERVICE_UNAVAILABLE,
    HttpResponseStatus.REQUEST_TIMEOUT,
    HttpResponseStatus.MISDIRECTED_REQUEST,
)

/** The statuses that end a request; a target in trouble may send others, such as 000. */
private val FINAL_STATUSES = 200..599

/** An idempotent request waits for a response this many times its objective before another target is tried. */
private const val IDEMPOTENT_TIMEOUT_OBJECTIVES = 3

/** What is read at most before the response to a request; a late response to an earlier request is shorter. */
private const val MAX_DISCARDED_HEADS = 32
private const val MAX_DISCARDED_BYTES = 1_048_576L

/** A response whose head has arrived. */
internal class TargetResponse(
    val target: KnownTarget,
    val connection: HttpConnection,
    val head: HttpResponse,
    private val connections: TargetConnections,
    private val bodySender: Job?,
    val sentAtMs: Long,
    /** The time from sending the request to the head of the response. */
    val headAfterMs: Long,
) {
    /** Whether the body ends with the connection. */
    val endsWithConnection: Boolean
        get() = !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)

    /** Keeps the connection for reuse if the target keeps it too and the request was sent completely. */
    fun finish() {
        val isRequestSent = bodySender?.isCompleted ?: true
        bodySender?.cancel()
        if (HttpUtil.isKeepAlive(head) && !endsWithConnection && isRequestSent) {
            connections.release(target.record.address, connection)
        } else {
            connection.close()
        }
    }

    /** Closes the connection, which also makes the target stop its work. */
    fun abandon() {
        bodySender?.cancel()
        connection.close()
    }
}

/** Sends requests to targets. Confined to the traffic thread. */
internal class TargetCalls(
    private val connections: TargetConnections,
    private val adapter: ProtocolAdapter,
    private val clock: Clock,
    /** Called with each response that a target gave to a request, and when the request was sent. */
    private val onResponse: (KnownTarget, HttpResponse, Long) -> Unit,
) {
    /** Sends [job] to [target] as [dispatch] says; a body that is still arriving is forwarded in [scope]. */
    suspend fun open(
        job: RelayJob,
        target: KnownTarget,
        dispatch: Dispatch,
        scope: CoroutineScope,
        /** Called just before the first byte is sent. */
        onSending: () -> Unit = {},
    ): Either<AttemptFailure, TargetResponse> {
        val isIdempotent = job.route.repeatability == Repeatability.IDEMPOTENT
        val connection = connect(job, target, isIdempotent).getOrElse {
            return (if (it.isOwnCut) AttemptFailure.NoPath(it.reason) else AttemptFailure.NotSent(it.reason)).left()
        }
        var isOpened = false
        var sender: Job? = null
        try {
            onSending()
            val sentAtMs = clock.nowMs()
            sender = send(job, connection, adapter.toTargetHeaders(job.request.head.headers(), dispatch), scope)
            // The deadline of the request is enforced where the request is served.
            val head =
                if (isIdempotent) {
                    withTimeoutOrNull(IDEMPOTENT_TIMEOUT_OBJECTIVES * job.route.objectiveMs) {
                        receiveHead(job, connection)
                    }
                } else {
                    receiveHead(job, connection)
                } ?: "timed out".left()
            val headAfterMs = clock.nowMs() - sentAtMs
            head.onRight { onResponse(target, it, sentAtMs) }
            return head.mapLeft {
                AttemptFailure.Lost("no response: $it", connection.end != null)
            }.flatMap(::validate).map {
                isOpened = true
                TargetResponse(target, connection, it, connections, sender, sentAtMs, headAfterMs)
            }
        } finally {
            if (!isOpened) {
                sender?.cancel()
                connection.close()
            }
        }
    }

    /**
     * Opens a connection for one attempt. An earlier refusal may be written again on a kept connection. It cannot be
     * told from the response to a second attempt at the same target, because both name the request.
     */
    private suspend fun connect(
        job: RelayJob,
        target: KnownTarget,
        mayBeStale: Boolean,
    ): Either<DialFailure, HttpConnection> {
        val address = target.record.address
        return if (job.sentTo.add(address)) connections.open(address, mayBeStale) else connections.openFresh(address)
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
        connection.write(DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers))
        connection.send(DefaultHttpContent(beginning))
        return scope.launch {
            while (true) {
                val piece = body.nextOrNull()
                if (piece == null) {
                    // An incomplete body must not look complete to the target.
                    if (!body.isComplete) connection.close()
                    break
                }
                if (!connection.send(piece)) break
            }
        }
    }

    /** Returns the head of the response to [job], or why there is none; other responses are discarded up to a bound. */
    private suspend fun receiveHead(job: RelayJob, connection: HttpConnection): Either<String, HttpResponse> {
        var discardedHeads = 0
        var discardedBytes = 0L
        while (discardedHeads <= MAX_DISCARDED_HEADS && discardedBytes <= MAX_DISCARDED_BYTES) {
            val message = connection.receiveOrNull() ?: return "${connection.end}".left()
            if (message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                return "unreadable bytes".left()
            }
            if (message is HttpResponse) {
                val requestId = adapter.readResponse(message.headers()).request
                val isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
                if (!isInterim && (requestId == null || requestId == job.id.value)) return message.withFinalStatus()
                discardedHeads += 1
            }
            if (message is HttpContent) discardedBytes += message.content().readableBytes()
            ReferenceCountUtil.release(message)
        }
        return "too many responses that do not belong to the request".left()
    }

    private fun HttpResponse.withFinalStatus(): Either<String, HttpResponse> =
        if (status().code() in FINAL_STATUSES) right() else "status ${status().code()} is no final status".left()

    private fun validate(head: HttpResponse): Either<AttemptFailure, HttpResponse> {
        val status = head.status()
        val metadata = adapter.readResponse(head.headers())
        return when {
            metadata.request == null -> AttemptFailure.Lost("the response names no request").left()
            metadata.isNotRun || status == HttpResponseStatus.MISDIRECTED_REQUEST ->
                AttemptFailure.Refused(status.code(), metadata.retryAfterMs).left()
            status in NOT_RUN_STATUSES ->
                AttemptFailure.Lost("status ${status.code()} without the statement that the request has not run").left()
            status.codeClass() == HttpStatusClass.SUCCESS && !metadata.isStamped ->
                AttemptFailure.Lost("the response does not prove that it comes from the target").left()
            else -> head.right()
        }
    }
}
