/*
 * The body of a caller's request. A short body is read before a target is chosen, so that it can be sent again to
 * another one. Of a long body only the beginning is read; the rest is forwarded as it arrives.
 */
package fulmarshunt.caller.relay

import fulmarshunt.http.HttpConnection
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Bodies up to this size are buffered until the request ends. */
private const val MAX_BUFFERED_BYTES = 65_536

/** The buffer is copied when the request is sent. */
private const val BUFFER_COPIES = 2L

/** Bytes of a body that are read and discarded after an early response, so that the caller can read the response. */
private const val MAX_DISCARDED_BYTES = 4L * 1_024 * 1_024

/** Why a body cannot be read. */
internal enum class BodyProblem { TOO_LONG, CONNECTION_ENDED, MALFORMED }

/** A request body of at most [maxBytes], read from [connection] on demand. */
internal class RequestBody(
    private val connection: HttpConnection,
    private val maxBytes: Long,
    /** The length according to the head, or -1. */
    declaredBytes: Long,
) {
    private val buffered: ByteBuf = Unpooled.buffer()
    private var readBytes = 0L
    private var heldBytes = 0L

    /** Whether the end of the body has been read. */
    var isComplete: Boolean = false
        private set

    /** Why the rest of the body cannot be read, or null. */
    var problem: BodyProblem? = if (declaredBytes > maxBytes) BodyProblem.TOO_LONG else null
        private set

    /** Whether the complete body is buffered and can be sent again. */
    val isRepeatable: Boolean get() = isComplete && readBytes == buffered.readableBytes().toLong()

    /** The buffered beginning of the body, or all of it. */
    val beginning: ByteArray get() = ByteArray(buffered.readableBytes()).also {
        buffered.getBytes(buffered.readerIndex(), it)
    }

    /** Reads the body until it ends or the buffer is full. */
    suspend fun readBeginning() {
        while (!isComplete && problem == null && buffered.readableBytes() < MAX_BUFFERED_BYTES) {
            val piece = nextOrNull() ?: return
            buffered.writeBytes(piece.content())
            piece.release()
            hold(buffered.capacity() * BUFFER_COPIES)
        }
    }

    /** Counts the buffer no more, because the request has ended. */
    fun endHold(): Unit = hold(0)

    private fun hold(bytes: Long) {
        connection.hold(bytes - heldBytes)
        heldBytes = bytes
    }

    private fun recordEnd() {
        isComplete = true
        connection.beginServing()
    }

    /** Returns the next piece, or null at the end or after a problem. */
    suspend fun nextOrNull(): HttpContent? {
        if (isComplete || problem != null) return null
        val message = connection.receiveOrNull()
        if (message == null) {
            problem = BodyProblem.CONNECTION_ENDED
            return null
        }
        if (message !is HttpContent || message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            problem = BodyProblem.MALFORMED
            return null
        }
        readBytes += message.content().readableBytes()
        if (message is LastHttpContent) recordEnd()
        if (readBytes > maxBytes) {
            message.release()
            problem = BodyProblem.TOO_LONG
            return null
        }
        return message
    }

    /** Reads and discards the rest up to a bound, and returns whether the connection can be reused. */
    suspend fun discardRest(): Boolean {
        if (problem == BodyProblem.TOO_LONG) problem = null
        val startBytes = readBytes
        while (!isComplete && problem == null && readBytes - startBytes < MAX_DISCARDED_BYTES) {
            val message = connection.receiveOrNull()
            if (message !is HttpContent || message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                return false
            }
            readBytes += message.content().readableBytes()
            if (message is LastHttpContent) isComplete = true
            message.release()
        }
        return isComplete
    }
}
