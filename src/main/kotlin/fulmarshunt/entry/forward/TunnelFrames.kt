/*
 * The frames in which a tunnel carries the bytes of a target: a four-byte length and as many bytes. A length of 0 says
 * that the target has closed its connection in order; a tunnel that ends without it was broken off, so that a response
 * that ends with its connection is not taken as complete.
 */
package fulmarshunt.entry.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import java.io.IOException

/** The maximum number of bytes in one frame. */
internal const val MAX_TUNNEL_FRAME_BYTES: Int = 65_536

/** Returns a frame with [bytes], of which it takes ownership. */
internal fun tunnelFrameOf(bytes: ByteBuf): ByteBuf =
    Unpooled.wrappedBuffer(Unpooled.buffer(Int.SIZE_BYTES).writeInt(bytes.readableBytes()), bytes)

/** Returns the frame that says that the target has closed its connection in order. */
internal fun tunnelEnd(): ByteBuf = Unpooled.buffer(Int.SIZE_BYTES).writeInt(0)

/** Decodes the frames of one tunnel into the bytes of the target, and fails at an end that no frame has announced. */
internal class TunnelDecoder : ByteToMessageDecoder() {
    private var remainingBytes = 0
    private var isEnded = false

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (isEnded) {
            input.skipBytes(input.readableBytes())
            return
        }
        if (remainingBytes == 0) {
            if (input.readableBytes() < Int.SIZE_BYTES) return
            val size = input.readInt()
            if (size !in 0..MAX_TUNNEL_FRAME_BYTES) throw IOException("a tunnel frame has $size bytes")
            remainingBytes = size
            if (size == 0) {
                isEnded = true
                context.close()
                return
            }
        }
        val size = minOf(remainingBytes, input.readableBytes())
        if (size == 0) return
        output += input.readRetainedSlice(size)
        remainingBytes -= size
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!isEnded) context.fireExceptionCaught(IOException("the tunnel was broken off"))
        super.channelInactive(context)
    }
}
