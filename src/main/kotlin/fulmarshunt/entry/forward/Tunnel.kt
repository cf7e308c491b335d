/*
 * A tunnel at its forwarder: it passes the bytes of one connection of another entry VM (the origin) to a target and
 * back. Each side is read only while the other takes bytes, so that a tunnel holds a bounded number of them. Confined
 * to the traffic thread.
 */
package fulmarshunt.entry.forward

import fulmarshunt.Clock
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark

/** The bytes that are read at once. */
private const val READ_BYTES = 8_192

/** A side is not read above the high mark of bytes that the other has not taken, until they are below the low mark. */
private const val WRITE_LOW_BYTES = 8_192
private const val WRITE_HIGH_BYTES = 32_768

/** How long a side that does not take its bytes may keep a tunnel open. */
private const val MAX_BLOCKED_MS = 30_000L

/** How long a tunnel without bytes in either direction stays open; runs may wait long at a target. */
private const val MAX_SILENT_MS = 300_000L

/** Passes bytes between [origin] and [target], which do not read by themselves before [start]. */
internal class Tunnel(private val origin: Channel, private val target: Channel, private val clock: Clock) {
    private var progressAtMs = clock.nowMs()
    private var isTargetBroken = false

    /** A write can notice a reset before a read does; the channel then closes without an error. */
    private val targetWriteListener = ChannelFutureListener {
        if (it.isSuccess) progressAtMs = clock.nowMs() else isTargetBroken = true
    }
    private val originWriteListener = ChannelFutureListener { if (it.isSuccess) progressAtMs = clock.nowMs() }

    /** Starts to pass bytes, beginning with [unread] ones of the origin, until either side closes its connection. */
    fun start(unread: List<ByteBuf>) {
        for (channel in listOf(origin, target)) {
            channel.config().setWriteBufferWaterMark(WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
            channel.config().setRecvByteBufAllocator(FixedRecvByteBufAllocator(READ_BYTES))
        }
        origin.pipeline().addLast(OriginHandler())
        target.pipeline().addLast(TargetHandler())
        origin.closeFuture().addListener { target.close() }
        unread.forEach(::writeToTarget)
        target.flush()
        origin.config().isAutoRead = true
        target.config().isAutoRead = true
    }

    /** Closes the tunnel if it has made no progress for too long. */
    fun expire(nowMs: Long) {
        val isBlocked = !origin.isWritable || !target.isWritable
        if (nowMs - progressAtMs > if (isBlocked) MAX_BLOCKED_MS else MAX_SILENT_MS) close()
    }

    /** Breaks the tunnel off. */
    fun close() {
        origin.close()
    }

    private fun writeToTarget(bytes: ByteBuf) {
        target.write(bytes, target.newPromise().addListener(targetWriteListener))
    }

    private inner class OriginHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any): Unit = writeToTarget(message as ByteBuf)

        override fun channelReadComplete(context: ChannelHandlerContext) {
            target.flush()
            origin.config().isAutoRead = target.isWritable
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            target.config().isAutoRead = origin.isWritable
        }

        @Deprecated("Netty deprecates the handler of errors on outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable): Unit = close()
    }

    private inner class TargetHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            origin.write(tunnelFrameOf(message as ByteBuf), origin.newPromise().addListener(originWriteListener))
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            origin.flush()
            target.config().isAutoRead = origin.isWritable
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            origin.config().isAutoRead = target.isWritable
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (isTargetBroken) {
                close()
            } else {
                origin.writeAndFlush(tunnelEnd()).addListener(ChannelFutureListener.CLOSE)
            }
        }

        @Deprecated("Netty deprecates the handler of errors on outbound handlers only")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            isTargetBroken = true
            context.close()
        }
    }
}
