/*
 * One authenticated connection between two processes of this system. Either side may call the other. A call ends with
 * a reply, or with a failure that states whether the peer can have received it. A connection on which nothing arrives
 * for a while is closed, because a network device between the two sides may have dropped its state although new
 * connections work.
 */
package fulmarshunt.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import fulmarshunt.process.ByteBudget
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.channels.Channel as Queue

/** Why a call has no reply. */
public sealed interface LinkFailure {
    /** A description for logs. */
    public val reason: String

    /** The call did not leave this process. */
    public data class NotSent(override val reason: String) : LinkFailure

    /** The peer may have handled the call. */
    public data class Lost(override val reason: String) : LinkFailure

    /** The peer received the call and could not handle it. */
    public data class Faulted(override val reason: String) : LinkFailure
}

/** The process at the other end of a connection. */
public class LinkPeer internal constructor(
    /** The id that the peer gave in the handshake. */
    public val process: String,
    /** The connection to the peer, for calls in the other direction. */
    public val connection: LinkConnection,
)

internal typealias RawHandler = suspend (LinkPeer, ByteArray) -> ByteArray

/** The handlers of the calls that a process accepts. */
public class LinkHandlers private constructor(internal val byChannel: Map<String, RawHandler>) {
    public constructor() : this(emptyMap())

    /**
     * Returns these handlers and one for the calls on [channel], which replies with the result of [handle].
     *
     * [handle] is called on the thread of the links and must not block it.
     */
    public fun <Q : Any, R : Any> with(channel: Channel<Q, R>, handle: suspend (LinkPeer, Q) -> R): LinkHandlers {
        val raw: RawHandler = { peer, body ->
            val request = decodeFromPeer(channel.request, body)
            linkCbor.encodeToByteArray(channel.reply, handle(peer, request))
        }
        return LinkHandlers(byChannel + (channel.name to raw))
    }
}

/** How often a side that has no other frame to send sends a keep-alive frame. */
internal const val KEEP_ALIVE_MS: Long = 700

/** The time without any part of a frame after which a connection is closed: two keep-alives and some delay. */
internal const val SILENCE_LIMIT_MS: Long = 2_000

/** A connection between two processes of this system. */
public class LinkConnection internal constructor(
    private val socket: LinkSocket,
    private val handlers: LinkHandlers,
    private val scope: CoroutineScope,
    process: String,
    private val budget: ByteBudget,
) {
    private val log = LogManager.getLogger(LinkConnection::class.java)
    private val peer = LinkPeer(process, this)
    private val nextId = AtomicLong(1)
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<Either<LinkFailure, ByteArray>>>()
    private val outgoing = Queue<Frame>(OUTGOING_FRAMES)
    private val jobs = mutableListOf<Job>()

    /** Whether the rest of a frame of several parts is arriving. */
    private val isFrameArriving = MutableStateFlow(false)

    @Volatile
    private var closeReason: String? = null

    /** Whether the connection has neither failed nor been closed. */
    public val isOpen: Boolean get() = closeReason == null

    internal fun start() {
        jobs += scope.launch(start = CoroutineStart.LAZY) { closeOnFailure { readFrames() } }
        jobs += scope.launch(start = CoroutineStart.LAZY) { closeOnFailure { writeFrames() } }
        jobs.forEach { it.start() }
    }

    /** Suspends until the connection is closed. */
    internal suspend fun join(): Unit = jobs.first().join()

    /**
     * Sends [request] on [channel] and waits up to [timeoutMs] for the reply; with [isExtended], also for the end of a
     * large frame that is arriving by then, which may be the reply or be followed by it.
     *
     * @return the reply, or a failure that states whether the peer can have received the request.
     */
    public suspend fun <Q : Any, R : Any> call(
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
        isExtended: Boolean = false,
    ): Either<LinkFailure, R> {
        closeReason?.let { return LinkFailure.NotSent(it).left() }
        val id = nextId.getAndIncrement()
        val reply = CompletableDeferred<Either<LinkFailure, ByteArray>>()
        pending[id] = reply
        try {
            val body = linkCbor.encodeToByteArray(channel.request, request)
            if (outgoing.trySend(Call(id, channel.name, body)).isFailure) {
                return LinkFailure.NotSent("the connection to ${peer.process} is closed or congested").left()
            }
            // A close between the check above and the entry in `pending` would otherwise leave the call pending.
            closeReason?.let { reply.complete(LinkFailure.Lost(it).left()) }
            val raw =
                withTimeoutOrNull(timeoutMs) { reply.await() } ?: if (isExtended) reply.awaitArrivingOrNull() else null
            return raw?.flatMap { decode(channel, it) }
                ?: LinkFailure.Lost("${peer.process} did not reply on ${channel.name} within $timeoutMs ms").left()
        } finally {
            pending.remove(id)
        }
    }

    /** Waits until no large frame is arriving; the connection is closed if its parts cease. */
    private suspend fun <T> CompletableDeferred<T>.awaitArrivingOrNull(): T? {
        isFrameArriving.first { !it || isCompleted }
        return if (isCompleted) await() else null
    }

    /** Closes the connection; pending calls end with [LinkFailure.Lost]. */
    public fun close(reason: String) {
        synchronized(this) {
            if (closeReason != null) return
            closeReason = reason
        }
        log.info("link closed peer={} pending={} reason={}", peer.process, pending.size, reason)
        outgoing.close()
        socket.close()
        pending.values.forEach { it.complete(LinkFailure.Lost(reason).left()) }
        jobs.forEach { it.cancel() }
    }

    private fun <R : Any> decode(channel: Channel<*, R>, body: ByteArray): Either<LinkFailure, R> = try {
        decodeFromPeer(channel.reply, body).right()
    } catch (e: IllegalArgumentException) {
        LinkFailure.Faulted("reply on ${channel.name} cannot be decoded: ${e.message}").left()
    }

    private suspend fun closeOnFailure(block: suspend () -> Unit) {
        try {
            block()
            close("the connection to ${peer.process} ended")
        } catch (e: CancellationException) {
            close("the connection to ${peer.process} was cancelled")
            throw e
        } catch (e: Exception) {
            close("the connection to ${peer.process} failed: ${e.message ?: e::class.simpleName}")
        }
    }

    private suspend fun readFrames() {
        val part = limitedBy("${peer.process} was silent for $SILENCE_LIMIT_MS ms")
        while (true) {
            var heldBytes = 0L
            var isCall = false
            try {
                val frame = socket.readFrame(part = part) { size ->
                    if (!budget.tryHold(size)) throw IOException("no memory for a frame of $size bytes")
                    heldBytes = size.toLong()
                    isFrameArriving.value = size > PART_BYTES
                }
                isCall = frame is Call
                receive(frame, heldBytes)
            } finally {
                isFrameArriving.value = false
                if (!isCall) budget.release(heldBytes)
            }
        }
    }

    /** Handles [frame]; a call holds its [heldBytes] until it has been handled. */
    private fun receive(frame: Frame, heldBytes: Long) {
        when (frame) {
            is Call -> scope.launch {
                try {
                    handle(frame)
                } finally {
                    budget.release(heldBytes)
                }
            }
            is Reply -> pending.remove(frame.id)?.complete(frame.body.right())
            is Fault -> pending.remove(frame.id)?.complete(LinkFailure.Faulted(frame.reason).left())
            is KeepAlive -> Unit
            is Hello, is Proof -> close("${peer.process} repeated the handshake")
        }
    }

    private suspend fun handle(call: Call) {
        val handler = handlers.byChannel[call.channel]
        val frame =
            if (handler == null) {
                Fault(call.id, "no handler for channel ${call.channel}")
            } else {
                try {
                    Reply(call.id, handler(peer, call.body))
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.warn("A call on {} from {} failed", call.channel, peer.process, e)
                    Fault(call.id, "the call failed: ${e.message ?: e::class.simpleName}")
                }
            }
        outgoing.trySend(frame)
    }

    private suspend fun writeFrames() {
        while (true) {
            val next = nextFrameOrNull() ?: return
            // Calls that were given up while they waited would delay later ones on a slow link.
            if (next is Call && !pending.containsKey(next.id)) continue
            socket.writeFrame(next, limitedBy("${peer.process} accepted no data for $SILENCE_LIMIT_MS ms"))
        }
    }

    /** Closes the connection with [reason] when a part of a frame takes longer than the silence limit. */
    private fun limitedBy(reason: String): PartOfFrame = { part ->
        withTimeoutOrNull(SILENCE_LIMIT_MS) { part() } ?: close(reason)
    }

    /** Returns the next frame to send, or null once the connection is closed. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextFrameOrNull(): Frame? = select {
        // A receive inside `withTimeoutOrNull` can lose a frame that it has received to the timeout; a select cannot.
        outgoing.onReceiveCatching { it.getOrNull() }
        onTimeout(KEEP_ALIVE_MS) { KeepAlive }
    }

    private companion object {
        /** The maximum number of queued frames; with more, the connection counts as congested. */
        const val OUTGOING_FRAMES = 4_096
    }
}
