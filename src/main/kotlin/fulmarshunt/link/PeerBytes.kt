/*
 * Decoding of bytes from other processes. For malformed bytes the CBOR decoder throws exceptions of several types, and
 * some of 20 bytes make it call itself without end; an error of the JVM would end the process.
 */
package fulmarshunt.link

import kotlinx.serialization.DeserializationStrategy

/**
 * Decodes [bytes] of another process.
 *
 * @throws IllegalArgumentException if the bytes are malformed, in whatever way.
 */
internal fun <T> decodeFromPeer(serializer: DeserializationStrategy<T>, bytes: ByteArray): T = try {
    linkCbor.decodeFromByteArray(serializer, bytes)
} catch (e: RuntimeException) {
    throw IllegalArgumentException("unreadable bytes: ${e.message}", e)
} catch (e: StackOverflowError) {
    throw IllegalArgumentException("unreadable bytes: the decoder does not end", e)
}
