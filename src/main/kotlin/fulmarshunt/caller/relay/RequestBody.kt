/*
 * The body of a caller's request. A short body is read before a target is chosen, so that it can be sent again to
 * another one. Of a long body only the beginning is kept. The rest is read ahead while the request waits and while its
 * target is slow, as far as there is memory: the end of the caller's connection comes after all that it has sent. What
 * was read ahead is kept until it is sent, once.
 */
package fulmarshunt.caller.relay

import fulmarshunt.http.HttpConnection
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.security.MessageDigest

/** Bodies up to this size are buffered until the request ends. */
internal const val MAX_BUFFERED_BODY_BYTES: Int = 65_536

/** The buffer is copied when the request is sent. */
private const val BUFFER_COPIES = 2L

/** How much of one body is read ahead at most; it holds any body that the default limit allows. */
private const val MAX_AHEAD_BYTES = 4L * 1_024 * 1_024

/** Pieces of a body are joined to blocks of at least this size. */
private const val BLOCK_BYTES = 16_384

/** How often a body for which there is no memory is tried again. */
private const val ROOM_CHECK_MS = 50L

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
    private val ahead = BodyBlocks()
    private var heldBytes = 0L

    /** The number of times that the state of this body has changed. */
    private val changes = MutableStateFlow(0L)

    /** The hash of a body that is not buffered; null until the rest is read. */
    private var digest: MessageDigest? = null
    private var digestOrNull: ByteArray? = null

    /** The trailing headers of a body whose rest was read ahead, until its end is sent. */
    private var unsentTrailers: HttpHeaders? = null
    private var isRestSent = false

    /** The number of bytes that have been read. */
    var readBytes: Long = 0L
        private set

    /** Whether the end of the body has been read. */
    var isComplete: Boolean = false
        private set

    /** Why the rest of the body cannot be read, or null. */
    var problem: BodyProblem? = if (declaredBytes > maxBytes) BodyProblem.TOO_LONG else null
        private set

    /** Whether the complete body is buffered and can be sent any number of times. */
    val isRepeatable: Boolean get() = isComplete && readBytes == buffered.readableBytes().toLong()

    /** Whether the body can be sent from its beginning. */
    val canBeSent: Boolean get() = isRepeatable || !isRestSent

    /** The buffered beginning of the body, or all of it. */
    val beginning: ByteArray get() = ByteArray(buffered.readableBytes()).also {
        buffered.getBytes(buffered.readerIndex(), it)
    }

    /** Returns the SHA-256 hash of a complete body, or null while its end has not been read. */
    fun sha256OrNull(): ByteArray? = when {
        !isComplete -> null
        isRepeatable -> MessageDigest.getInstance("SHA-256").digest(beginning)
        else -> digestOrNull ?: digest?.digest()?.also { digestOrNull = it }
    }

    /** Reads the body until it ends or the buffer is full. */
    suspend fun readBeginning() {
        while (!isComplete && problem == null && buffered.readableBytes() < MAX_BUFFERED_BODY_BYTES) {
            val piece = receiveOrNull() ?: return
            buffered.writeBytes(piece.content())
            piece.release()
            updateHold()
        }
    }

    /** Reads the rest ahead until it ends, and then watches for the end of the connection. */
    suspend fun readRest() {
        digest = MessageDigest.getInstance("SHA-256").apply { update(beginning) }
        while (!isComplete && problem == null) {
            awaitRoom()
            val piece = receiveOrNull() ?: break
            digest?.update(piece.content().nioBuffer())
            ahead.append(piece.content())
            if (piece is LastHttpContent) unsentTrailers = piece.trailingHeaders()
            piece.release()
            updateHold()
            changes.value += 1
        }
        if (problem != null) discardAhead()
        changes.value += 1
        if (isComplete) connection.watchForEnd()
    }

    /** Waits until more may be read ahead; what is to be sent next is read in any case. */
    private suspend fun awaitRoom() {
        while (!ahead.isEmpty && (isAheadFull || !connection.hasRoomAhead)) {
            val seen = changes.value
            withTimeoutOrNull(ROOM_CHECK_MS) { changes.first { it != seen } }
        }
    }

    private val isAheadFull get() = ahead.bytes >= MAX_AHEAD_BYTES

    /** Waits until the body cannot be read further; returns false if it is too long to be read before it is sent. */
    suspend fun awaitEnd(): Boolean {
        changes.first { isComplete || problem != null || isAheadFull }
        return isComplete || problem != null
    }

    /** Waits until the body turns out to be unreadable. */
    suspend fun awaitProblem(): BodyProblem {
        changes.first { problem != null }
        return checkNotNull(problem)
    }

    /** Returns the next piece of the rest, or null at the end or after a problem. [readRest] has to run meanwhile. */
    suspend fun nextOrNull(): HttpContent? {
        changes.first { !ahead.isEmpty || isComplete || problem != null }
        val block = ahead.removeFirstOrNull()
        val trailers = unsentTrailers?.takeIf { ahead.isEmpty }
        if (block == null && trailers == null) return null
        isRestSent = true
        if (trailers != null) unsentTrailers = null
        updateHold()
        changes.value += 1
        val content = block ?: Unpooled.EMPTY_BUFFER
        if (trailers == null) return DefaultHttpContent(content)
        return DefaultLastHttpContent(content).also { it.trailingHeaders().set(trailers) }
    }

    /** Counts the buffers no more, because the request has ended. */
    fun endHold() {
        discardAhead()
        connection.hold(-heldBytes)
        heldBytes = 0
    }

    private fun discardAhead() {
        ahead.clear()
        unsentTrailers = null
        updateHold()
    }

    private fun updateHold() {
        val bytes = buffered.capacity() * BUFFER_COPIES + ahead.capacityBytes
        connection.hold(bytes - heldBytes)
        heldBytes = bytes
    }

    private fun recordEnd() {
        isComplete = true
        connection.beginServing()
    }

    /** Receives the next piece from the connection; null after a problem. */
    private suspend fun receiveOrNull(): HttpContent? {
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

/** Bytes of a body in the order of their arrival. */
private class BodyBlocks {
    private val blocks = ArrayDeque<ByteBuf>()

    var bytes: Long = 0
        private set

    /** What the blocks take. */
    var capacityBytes: Long = 0
        private set

    val isEmpty: Boolean get() = blocks.isEmpty()

    /** Copies [content], which may be a part of a much larger buffer. */
    fun append(content: ByteBuf) {
        val size = content.readableBytes()
        if (size == 0) return
        val last = blocks.lastOrNull()?.takeIf { it.readableBytes() + size <= BLOCK_BYTES }
        val block = last ?: Unpooled.buffer(size).also { blocks += it }
        val formerCapacity = if (last == null) 0 else last.capacity()
        block.writeBytes(content)
        bytes += size
        capacityBytes += block.capacity() - formerCapacity
    }

    fun removeFirstOrNull(): ByteBuf? = blocks.removeFirstOrNull()?.also {
        bytes -= it.readableBytes()
        capacityBytes -= it.capacity()
    }

    fun clear() {
        while (true) (removeFirstOrNull() ?: return).release()
    }
}
