/*
 * The TCP connection of a link as bytes in both directions. It reads from the socket only on demand, and a write ends
 * when the operating system has taken the bytes, so that a slow peer delays its own link and nothing else. Confined to
 * the thread of the links, except for [LinkSocket.close].
 */
package fulmarshunt.link

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.net.SocketAddress
import kotlin.coroutines.resume

/** A connection whose [channel] does not read by itself. */
internal class LinkSocket(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private val input = ArrayDeque<ByteBuf>()
    private var inputBytes = 0
    private var endReason: String? = null
    private var reader: CancellableContinuation<Unit>? = null

    val remoteAddress: SocketAddress? get() = channel.remoteAddress()

    /**
     * Returns the next [size] bytes. If the call is cancelled, the next one returns the same bytes.
     *
     * @throws IOException if the connection ends before.
     */
    suspend fun read(size: Int): ByteArray {
        while (inputBytes < size) {
            endReason?.let { throw IOException(it) }
            channel.read()
            suspendCancellableCoroutine { continuation ->
                reader = continuation
                continuation.invokeOnCancellation { if (reader === continuation) reader = null }
            }
        }
        val bytes = ByteArray(size)
        var offset = 0
        while (offset < size) {
            val first = input.first()
            val count = minOf(first.readableBytes(), size - offset)
            first.readBytes(bytes, offset, count)
            offset += count
            if (!first.isReadable) input.removeFirst().release()
        }
        inputBytes -= size
        return bytes
    }

    /**
     * Writes the bytes [from] until [to] and waits until the operating system has taken them.
     *
     * @throws IOException if the connection has ended.
     */
    suspend fun write(bytes: ByteArray, from: Int = 0, to: Int = bytes.size) {
        val written = channel.writeAndFlush(Unpooled.wrappedBuffer(bytes, from, to - from))
        written.awaitDone()
        written.cause()?.let { throw IOException("cannot write: ${it.message}", it) }
    }

    /** Leaves the connection to other handlers, and returns what has arrived and was not read. */
    fun detach(): List<ByteBuf> {
        channel.pipeline().remove(this)
        return input.toList().also {
            input.clear()
            inputBytes = 0
        }
    }

    /** Closes the connection. May be called from any thread. */
    fun close() {
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || endReason != null) {
            ReferenceCountUtil.release(message)
            return
        }
        input.addLast(message)
        inputBytes += message.readableBytes()
        wake()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        end("the connection has ended")
        input.forEach { it.release() }
        input.clear()
        inputBytes = 0
    }

    @Deprecated("Netty deprecates the handler of errors on outbound handlers only")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        end("the connection has failed: ${cause.message}")
        context.close()
    }

    private fun end(reason: String) {
        if (endReason == null) endReason = reason
        wake()
    }

    private fun wake() {
        reader?.let {
            reader = null
            it.resume(Unit)
        }
    }
}

/** Waits until this operation has succeeded or failed. */
internal suspend fun ChannelFuture.awaitDone() {
    if (isDone) return
    suspendCancellableCoroutine { continuation ->
        addListener { if (continuation.isActive) continuation.resume(Unit) }
    }
}
