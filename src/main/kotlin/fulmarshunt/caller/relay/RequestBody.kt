/*
 * The body of a caller's request. A short body is read before a target is chosen, so that it can be sent to another
 * one; what follows a longer one's beginning is passed on piece by piece.
 */
package fulmarshunt.caller.relay

import fulmarshunt.http.HttpConnection
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Bodies up to this size are kept until the request ends. */
private const val KEPT_BYTES = 65_536

/** Bytes of a body that are read and dropped after an early answer, so that the caller can read the answer. */
private const val DROPPED_BYTES = 4L * 1_024 * 1_024

/** How reading a body can fail. */
internal enum class BodyProblem { TOO_LONG, CONNECTION_ENDED, MALFORMED }

/** The body of one request. */
internal class RequestBody(
    private val connection: HttpConnection,
    private val maxBytes: Long,
    /** The length that the head gives, or -1. */
    declaredBytes: Long,
) {
    private val kept: ByteBuf = Unpooled.buffer()
    private var readBytes = 0L

    /** Whether the end of the body has been read. */
    var isComplete: Boolean = false
        private set

    /** Why the body cannot be read on, or null. */
    var problem: BodyProblem? = if (declaredBytes > maxBytes) BodyProblem.TOO_LONG else null
        private set

    /** Whether the whole body is kept and can be sent again. */
    val isRepeatable: Boolean get() = isComplete && readBytes == kept.readableBytes().toLong()

    /** The beginning of the body, or all of it. */
    val beginning: ByteArray get() = ByteArray(kept.readableBytes()).also { kept.getBytes(kept.readerIndex(), it) }

    /** Reads the body up to the part that is kept. */
    suspend fun readBeginning() {
        while (!isComplete && problem == null && kept.readableBytes() < KEPT_BYTES) {
            val piece = nextOrNull() ?: return
            kept.writeBytes(piece.content())
            piece.release()
        }
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
        if (message is LastHttpContent) isComplete = true
        if (readBytes > maxBytes) {
            message.release()
            problem = BodyProblem.TOO_LONG
            return null
        }
        return message
    }

    /** Reads and drops what is left, up to a bound; says whether the connection can be used on. */
    suspend fun drop(): Boolean {
        if (problem == BodyProblem.TOO_LONG) problem = null
        val startBytes = readBytes
        while (!isComplete && problem == null && readBytes - startBytes < DROPPED_BYTES) {
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
