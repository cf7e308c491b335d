/*
 * The frames of a link: a four-byte length followed by a CBOR envelope. Their size is limited, so that a faulty or
 * malicious peer cannot cause unbounded allocation.
 */
package fulmarshunt.link

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readInt
import io.ktor.utils.io.readPacket
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import java.io.IOException

/** The maximum size of an encoded envelope. */
internal const val MAX_FRAME_BYTES: Int = 4 * 1_024 * 1_024

/** The size of the parts in which a frame is read and written, so that one that is slow to arrive is not silence. */
private const val PART_BYTES = 16 * 1_024

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
internal suspend fun ByteWriteChannel.writeFrame(frame: Frame, part: PartOfFrame = unlimited) {
    val bytes = linkCbor.encodeToByteArray(frameSerializer, frame)
    if (bytes.size > MAX_FRAME_BYTES) throw IOException("frame of ${bytes.size} bytes exceeds $MAX_FRAME_BYTES")
    part { writeInt(bytes.size) }
    for (from in bytes.indices step PART_BYTES) {
        part {
            writeFully(bytes, from, minOf(from + PART_BYTES, bytes.size))
            flush()
        }
    }
}

/** Reads a frame in parts, each of them with [part]. */
internal suspend fun ByteReadChannel.readFrame(part: PartOfFrame = unlimited): Frame {
    var size = 0
    part { size = readInt() }
    if (size !in 1..MAX_FRAME_BYTES) throw IOException("frame size $size is not in 1..$MAX_FRAME_BYTES")
    val bytes = Buffer()
    while (bytes.size < size) {
        part { bytes.transferFrom(readPacket(minOf(PART_BYTES, size - bytes.size.toInt()))) }
    }
    return linkCbor.decodeFromByteArray(frameSerializer, bytes.readByteArray())
}
