/*
 * The frames of a link: a four-byte length followed by a CBOR envelope. Their size is limited, so that a faulty or
 * malicious peer cannot cause unbounded allocation.
 */
package fulmarshunt.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer

/** The maximum size of an encoded envelope. */
internal const val MAX_FRAME_BYTES: Int = 4 * 1_024 * 1_024

/** The maximum size of a frame of the handshake, whose sender has not shown yet that it knows the secret. */
internal const val MAX_HANDSHAKE_BYTES: Int = 1_024

/** The size of the parts in which a frame is read and written, so that one that is slow to arrive is not silence. */
internal const val PART_BYTES: Int = 16 * 1_024

/** The version of the frames and of the handshake; peers with a different version are refused. */
internal const val LINK_VERSION: Int = 1

/** The CBOR format of all messages and stored data of this system; unknown fields of newer versions are ignored. */
public val linkCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

@Serializable
internal sealed interface Frame

/** Starts the handshake; it is the first frame of either side. */
@Serializable
@SerialName("h")
internal class Hello(val version: Int, val process: String, @ByteString val nonce: ByteArray) : Frame

/** Proves knowledge of the shared secret over both nonces. */
@Serializable
@SerialName("p")
internal class Proof(@ByteString val mac: ByteArray) : Frame

/** Calls [channel]; the reply carries the same [id]. */
@Serializable
@SerialName("c")
internal class Call(val id: Long, val channel: String, @ByteString val body: ByteArray) : Frame

/** The reply to the call [id]. */
@Serializable
@SerialName("r")
internal class Reply(val id: Long, @ByteString val body: ByteArray) : Frame

/** Reports that the call [id] could not be handled. */
@Serializable
@SerialName("f")
internal class Fault(val id: Long, val reason: String) : Frame

/** Keeps the connection alive; a side that receives nothing for [SILENCE_LIMIT_MS] closes the connection. */
@Serializable
@SerialName("k")
internal data object KeepAlive : Frame

/** Kept, because the companion of a sealed interface makes a new serializer, with all its descriptors, at each call. */
private val frameSerializer = Frame.serializer()

/** Reads or writes one part of a frame, possibly within a time limit. */
internal typealias PartOfFrame = suspend (suspend () -> Unit) -> Unit

private val unlimited: PartOfFrame = { it() }

/** Writes [frame] in parts, each of them with [part]. */
internal suspend fun LinkSocket.writeFrame(frame: Frame, part: PartOfFrame = unlimited) {
    val body = linkCbor.encodeToByteArray(frameSerializer, frame)
    if (body.size > MAX_FRAME_BYTES) throw IOException("frame of ${body.size} bytes exceeds $MAX_FRAME_BYTES")
    val bytes = ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(body.size).put(body).array()
    for (from in bytes.indices step PART_BYTES) {
        part { write(bytes, from, minOf(from + PART_BYTES, bytes.size)) }
    }
}

/**
 * Reads a frame of up to [maxBytes] in parts, each of them with [part].
 *
 * @param hold called with the size of the frame before it is read; it throws if there is no memory for it.
 */
internal suspend fun LinkSocket.readFrame(
    maxBytes: Int = MAX_FRAME_BYTES,
    part: PartOfFrame = unlimited,
    hold: (Int) -> Unit = {},
): Frame {
    var size = 0
    part { size = ByteBuffer.wrap(read(Int.SIZE_BYTES)).getInt() }
    if (size !in 1..maxBytes) throw IOException("frame size $size is not in 1..$maxBytes")
    hold(size)
    val bytes = ByteArrayOutputStream(minOf(size, PART_BYTES))
    while (bytes.size() < size) {
        part { bytes.write(read(minOf(PART_BYTES, size - bytes.size()))) }
    }
    return try {
        decodeFromPeer(frameSerializer, bytes.toByteArray())
    } catch (e: IllegalArgumentException) {
        throw IOException("frame refused: ${e.message}", e)
    }
}
