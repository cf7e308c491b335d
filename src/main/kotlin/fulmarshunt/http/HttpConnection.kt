/*
 * An HTTP/1.1 connection as a sequence of decoded messages in each direction. It reads from the socket only on demand,
 * so that a slow reader slows down its writer and nothing else. Confined to its event loop.
 */
package fulmarshunt.http

import fulmarshunt.monotonicClock
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume

/**
 * The bytes in which a message or a piece of a body must be complete. The codec bounds what it keeps, but also skips
 * blank lines without end. The longest head is some 74,000 bytes, and it may begin and end within longer reads.
 */
private const val MAX_UNDECODED_BYTES = 262_144

/** Pieces up to this size are joined while they are unread: each would take some 200 bytes as an object of its own. */
private const val MAX_JOINED_BYTES = 512

/** What an unread message takes beyond its content and its headers. */
private const val MESSAGE_OVERHEAD_BYTES = 256

/** What a response holds at most of its target's connection while it waits for a slow peer. */
private const val HELD_BACK_BYTES = 65_536L

/** The name of the handler before the codec. */
internal const val INPUT_GUARD_NAME: String = "input-guard"

/** How a connection ended. */
public enum class ConnectionEnd {
    /** It was closed in order by the peer or by this side. */
    CLOSED,

    /** It was reset, or failed in another way. */
    BROKEN,
}

/** A connection to a caller or a target. */
public class HttpConnection internal constructor(
    public val channel: Channel,
    /** Bounds when input has arrived; null if nobody asks for it. */
    private val arrivals: ArrivalBound? = null,
    /** Whether the connection may be kept for another request. */
    private val isKeepable: Boolean = true,
) {
    private val inbox = ArrayDeque<HttpObject>()
    private var reader: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null
    private var hasWriteFailed = false

    /** What an accepted connection holds of the memory of the process; null for others. */
    private var share: PeerShare? = null

    /** What the head of the request that is being served holds. */
    private var headBytes = 0L

    /** What the decoder holds of a message that is incomplete. */
    private var inputBytes = 0L

    /** The bytes that have arrived since the last message. */
    private var undecodedBytes = 0

    /** A write can notice a reset before a read does; the channel then closes without an error. */
    private val writeListener = ChannelFutureListener { if (!it.isSuccess) hasWriteFailed = true }

    /** How the connection ended, or null while it is open. */
    public var end: ConnectionEnd? = null
        private set

    /** Whether this side has closed the connection. */
    public var isClosed: Boolean = false
        private set

    /** Whether the connection has ended before this side closed it. */
    public val isEndedByPeer: Boolean get() = end != null && !isClosed

    /** Called once when the connection ends. */
    public var onEnd: (() -> Unit)? = null

    /** Whether the connection is open and no message is unread, so that it can carry another request. */
    public val isReusable: Boolean get() = end == null && inbox.isEmpty()

    /** Whether no message is due, so that any input ends the connection. */
    public var isIdle: Boolean = false
        private set

    /** Whether all messages that have arrived have been received. */
    public val isInboxEmpty: Boolean get() = inbox.isEmpty()

    /**
     * Returns the next message, or null at the end of the connection or once [isInterrupted], which is checked after
     * each [wake]. The caller releases the message.
     */
    public suspend fun receiveOrNull(isInterrupted: () -> Boolean = { false }): HttpObject? {
        while (true) {
            inbox.removeFirstOrNull()?.let { return it.also(::countReceived) }
            if (end != null || isInterrupted()) return null
            arrivals?.recordRead()
            channel.read()
            awaitInput()
        }
    }

    /** Whether everything that was written has been passed to the operating system. */
    public val isFlushed: Boolean get() = end != null || channel.unsafe().outboundBuffer()?.isEmpty != false

    /** Waits until everything that was written has been passed to the operating system or the connection has ended. */
    public suspend fun awaitFlushed() {
        if (isFlushed) return
        suspendCancellableCoroutine { continuation ->
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
                if (continuation.isActive) continuation.resume(Unit)
            }
        }
    }

    /** Makes a waiting reader check whether it is interrupted. */
    public fun wake() {
        reader?.let {
            reader = null
            it.resume(Unit)
        }
    }

    /** Requests a read from the socket, so that the end of the connection is noticed while nothing is received. */
    public fun watchForEnd() {
        if (end != null || inbox.isNotEmpty()) return
        arrivals?.recordRead()
        channel.read()
    }

    /** The earliest time at which the last head that was received can have arrived, on the monotonic clock. */
    internal val unreadSinceMs: Long get() = arrivals?.headSinceMs ?: monotonicClock().nowMs()

    /**
     * Ends the connection at its next input until [endIdle], and now if bytes follow the last response: they would be
     * read as the beginning of the next one.
     *
     * @return whether the connection is reusable.
     */
    public fun beginIdle(): Boolean {
        if (!isKeepable || !isReusable) return false
        // The removed codec passes on what it has not decoded, which ends the connection.
        channel.pipeline().remove(HttpClientCodec::class.java)
        if (!isReusable) return false
        channel.pipeline().addAfter(INPUT_GUARD_NAME, null, responseCodec())
        isIdle = true
        // The end of the connection is noticed only while a read is requested.
        channel.read()
        return true
    }

    /** Allows input again, because a request is about to be sent. */
    public fun endIdle() {
        isIdle = false
    }

    /** Writes [message] and waits while the peer is too slow; returns false if the connection has ended. */
    public suspend fun send(message: Any): Boolean {
        if (end != null) {
            ReferenceCountUtil.release(message)
            return false
        }
        channel.writeAndFlush(message, writePromise())
        while (end == null && !channel.isWritable) {
            suspendCancellableCoroutine {
                writer = it
                share?.updateUnwritten()
            }
        }
        return end == null
    }

    /** Writes [message] without flushing or waiting. */
    public fun write(message: Any) {
        if (end == null) channel.write(message, writePromise()) else ReferenceCountUtil.release(message)
    }

    /** Closes the connection and discards the messages that have arrived. */
    public fun close() {
        isClosed = true
        share?.end()
        channel.close()
        discardInbox()
    }

    /** Counts from now on what this connection holds of [memory]; returns false if there are too many connections. */
    internal fun openShare(memory: PeerMemory): Boolean {
        share = memory.openOrNull(::unwrittenBytes, ::close)
        return share != null
    }

    /** Whether the process has no memory for another request on an accepted connection. */
    internal val isMemoryFull: Boolean get() = share?.isMemoryFull == true

    /** Whether there is memory to read ahead what cannot be sent yet. */
    internal val hasRoomAhead: Boolean get() = share?.hasRoomAhead != false

    /** Counts [bytes] more that are held for the peer, or fewer if it is negative. */
    internal fun hold(bytes: Long) {
        share?.hold(bytes)
    }

    /** Records that a whole request has been read: its connection is kept, unless the peer does not read. */
    internal fun beginServing() {
        share?.isServed = true
    }

    /** Records that the request of the last head has ended. */
    internal fun endRequest() {
        hold(-headBytes)
        headBytes = 0
        share?.updateUnwritten()
        share?.isServed = false
        arrivals?.recordResponse()
    }

    /** Counts what the decoder holds of an incomplete message after a read. */
    internal fun countInput(bytes: Long) {
        share?.recordProgress()
        hold(bytes - inputBytes)
        inputBytes = bytes
    }

    private fun unwrittenBytes(): Long {
        val pendingBytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        return if (writer == null) pendingBytes else pendingBytes + HELD_BACK_BYTES
    }

    private fun countReceived(message: HttpObject) {
        if (share == null) return
        hold(-unreadBytes(message))
        if (message is HttpMessage) headBytes += (message.headers() as? CountedHeaders)?.heldBytes ?: 0
        if (message is LastHttpContent) hold(-((message.trailingHeaders() as? CountedHeaders)?.heldBytes ?: 0).toLong())
    }

    /** Joins [message] with the last unread one if both are small pieces of a body, and returns whether it did. */
    private fun joinsLast(message: HttpObject): Boolean {
        if (!message.isSmallPiece(MAX_JOINED_BYTES)) return false
        val last = inbox.lastOrNull() ?: return false
        val joined =
            last as? JoinedContent ?: if (last.isSmallPiece(MAX_JOINED_BYTES)) JoinedContent() else return false
        if (joined === last && !last.isSmallPiece(MAX_PIECE_BYTES - MAX_JOINED_BYTES)) return false
        if (joined !== last) {
            joined.append(last as HttpContent)
            inbox[inbox.lastIndex] = joined
        }
        hold(joined.append(message as HttpContent).toLong())
        return true
    }

    /** Counts [bytes] that are about to be decoded, and returns whether they can belong to a message. */
    internal fun acceptsBytes(bytes: Int): Boolean {
        undecodedBytes += bytes
        return !isIdle && undecodedBytes <= MAX_UNDECODED_BYTES
    }

    internal fun onMessage(message: HttpObject) {
        if (isClosed) {
            ReferenceCountUtil.release(message)
            return
        }
        undecodedBytes = 0
        // Of several heads that are unread, the first one has arrived first.
        arrivals?.recordInput(isFirstHead = message is HttpMessage && inbox.none { it is HttpMessage })
        if (share == null) {
            inbox.addLast(message)
        } else if (!joinsLast(message)) {
            hold(unreadBytes(message))
            if (isClosed) ReferenceCountUtil.release(message) else inbox.addLast(message)
        }
        wake()
    }

    internal fun onWritable() {
        writer?.let {
            writer = null
            share?.updateUnwritten()
            it.resume(Unit)
        }
    }

    internal fun onEnded(end: ConnectionEnd) {
        if (this.end != null) return
        this.end = if (hasWriteFailed) ConnectionEnd.BROKEN else end
        share?.end()
        wake()
        onWritable()
        onEnd?.invoke()
    }

    private fun writePromise() = channel.newPromise().addListener(writeListener)

    private suspend fun awaitInput() {
        suspendCancellableCoroutine { continuation ->
            reader = continuation
            continuation.invokeOnCancellation { if (reader === continuation) reader = null }
        }
    }

    private fun discardInbox() {
        while (true) ReferenceCountUtil.release(inbox.removeFirstOrNull() ?: return)
    }
}

/** Small pieces of a body that were joined. */
private class JoinedContent : DefaultHttpContent(Unpooled.buffer()) {
    /** Appends and releases [piece], and returns its size. */
    fun append(piece: HttpContent): Int {
        val bytes = piece.content().readableBytes()
        content().writeBytes(piece.content())
        piece.release()
        return bytes
    }
}

private fun HttpObject.isSmallPiece(maxBytes: Int): Boolean = this is HttpContent && this !is LastHttpContent &&
    decoderResult().isSuccess && content().readableBytes() <= maxBytes

/** Returns what [message] takes while it is unread, without its headers. */
private fun unreadBytes(message: HttpObject): Long =
    MESSAGE_OVERHEAD_BYTES + ((message as? HttpContent)?.content()?.readableBytes() ?: 0).toLong()

/** Counts what an accepted connection holds of an incomplete message. */
internal class InputCount(private val connection: HttpConnection, private val heldBytes: () -> Int) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        context.fireChannelRead(message)
        connection.countInput(heldBytes().toLong())
    }
}

/** Ends a connection to a target whose bytes belong to no message, before they are decoded. */
internal class InputGuard(private val connection: HttpConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || connection.acceptsBytes(message.readableBytes())) {
            context.fireChannelRead(message)
            return
        }
        message.release()
        connection.onEnded(ConnectionEnd.BROKEN)
        context.close()
    }
}

/** Passes decoded messages and events of a channel to its [HttpConnection]. */
internal class ConnectionHandler(private val connection: HttpConnection) : ChannelInboundHandlerAdapter() {
    private var isBroken = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpObject) {
            connection.onMessage(message)
            return
        }
        // Bytes that the codec passes on undecoded belong to no message.
        ReferenceCountUtil.release(message)
        connection.onEnded(ConnectionEnd.BROKEN)
        context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) connection.onWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        connection.onEnded(if (isBroken) ConnectionEnd.BROKEN else ConnectionEnd.CLOSED)
    }

    /** The codec reports a body that ends with its connection as complete, also after a reset. */
    @Deprecated("Netty deprecates the handler of errors on outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        isBroken = true
        if (cause !is IOException) connection.onEnded(ConnectionEnd.BROKEN)
        context.close()
    }
}
