/*
 * The encoded form of a document: its changes to another one, as copies from that base and literal bytes, compressed
 * with DEFLATE. A document without a base is a single literal.
 */
package fulmarshunt.entry.document

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** The size of the blocks by which equal parts are found; shorter ones are not worth a copy. */
private const val BLOCK_BYTES = 32

private const val HASH_FACTOR = 1_000_003
private val outgoingFactor = (1 until BLOCK_BYTES).fold(1) { product, _ -> product * HASH_FACTOR }

private const val SEVEN_BITS = 0x7f
private const val MORE_FOLLOWS = 0x80
private const val BITS_PER_BYTE_OF_NUMBER = 7

/** The shift of the last byte of a number of 32 bits. */
private const val MAX_SHIFT = 28

/** Returns the encoded form of [document] as changes to [base]. */
internal fun encodeChanges(document: ByteArray, base: ByteArray = ByteArray(0)): ByteArray {
    val encoded = ByteArrayOutputStream()
    DeflaterOutputStream(encoded).use { ChangeEncoder(document, base, it::write).encode() }
    return encoded.toByteArray()
}

/**
 * Returns the document of [sizeBytes] bytes that [encoded] holds as changes to [base].
 *
 * @throws IOException if the bytes hold no such document.
 */
internal fun decodeChanges(encoded: ByteArray, sizeBytes: Int, base: ByteArray = ByteArray(0)): ByteArray =
    InflaterInputStream(ByteArrayInputStream(encoded)).buffered().use { it.readChanges(sizeBytes, base) }

private fun InputStream.readChanges(sizeBytes: Int, base: ByteArray): ByteArray {
    val document = ByteArray(sizeBytes)
    var size = 0
    while (size < sizeBytes) {
        val literalBytes = readNumber(sizeBytes - size)
        if (readNBytes(document, size, literalBytes) < literalBytes) throw IOException("a literal is cut off")
        size += literalBytes
        if (size == sizeBytes) break
        val copiedBytes = readNumber(sizeBytes - size)
        val from = readNumber(base.size - copiedBytes)
        if (literalBytes + copiedBytes == 0) throw IOException("a change is empty")
        base.copyInto(document, size, from, from + copiedBytes)
        size += copiedBytes
    }
    return document
}

/** Finds the blocks of [base] in [document]. */
private class ChangeEncoder(
    private val document: ByteArray,
    private val base: ByteArray,
    private val write: (ByteArray, Int, Int) -> Unit,
) {
    /** The positions of the blocks of the base plus one, by their hash; 0 if there is none. */
    private val blocks = IntArray(Integer.highestOneBit(base.size / BLOCK_BYTES + 1) * 4)

    fun encode() {
        for (at in base.size - base.size % BLOCK_BYTES - BLOCK_BYTES downTo 0 step BLOCK_BYTES) {
            blocks[slotOf(hashOf(base, at))] = at + 1
        }
        var literalFrom = 0
        var at = 0
        var hash = if (document.size >= BLOCK_BYTES) hashOf(document, 0) else 0
        while (at + BLOCK_BYTES <= document.size) {
            val match = blocks[slotOf(hash)] - 1
            if (match >= 0 && isEqualBlock(match, at)) {
                val before = equalBytesBefore(match, at, literalFrom)
                val end = at + equalBytesFrom(match, at)
                writeLiteral(literalFrom, at - before)
                writeNumber(end - at + before)
                writeNumber(match - before)
                literalFrom = end
                at = end
                if (at + BLOCK_BYTES <= document.size) hash = hashOf(document, at)
            } else {
                if (at + BLOCK_BYTES < document.size) {
                    hash = (hash - document[at] * outgoingFactor) * HASH_FACTOR + document[at + BLOCK_BYTES]
                }
                at += 1
            }
        }
        if (literalFrom < document.size) writeLiteral(literalFrom, document.size)
    }

    private fun hashOf(bytes: ByteArray, from: Int): Int {
        var hash = 0
        for (at in from until from + BLOCK_BYTES) hash = hash * HASH_FACTOR + bytes[at]
        return hash
    }

    private fun slotOf(hash: Int): Int = (hash xor (hash ushr Short.SIZE_BITS)) and (blocks.size - 1)

    private fun isEqualBlock(match: Int, at: Int): Boolean =
        (0 until BLOCK_BYTES).all { base[match + it] == document[at + it] }

    private fun equalBytesFrom(match: Int, at: Int): Int {
        val most = minOf(base.size - match, document.size - at)
        return (BLOCK_BYTES until most).find { base[match + it] != document[at + it] } ?: most
    }

    private fun equalBytesBefore(match: Int, at: Int, literalFrom: Int): Int {
        val most = minOf(match, at - literalFrom)
        return (1..most).find { base[match - it] != document[at - it] }?.dec() ?: most
    }

    private fun writeLiteral(from: Int, to: Int) {
        writeNumber(to - from)
        write(document, from, to - from)
    }

    private fun writeNumber(number: Int) {
        val bytes = ByteArrayOutputStream()
        var remaining = number
        while (remaining > SEVEN_BITS) {
            bytes.write(remaining and SEVEN_BITS or MORE_FOLLOWS)
            remaining = remaining ushr BITS_PER_BYTE_OF_NUMBER
        }
        bytes.write(remaining)
        write(bytes.toByteArray(), 0, bytes.size())
    }
}

/** Reads a number from 0 to [most]. */
private fun InputStream.readNumber(most: Int): Int {
    var number = 0L
    for (shift in 0..MAX_SHIFT step BITS_PER_BYTE_OF_NUMBER) {
        val byte = read()
        if (byte < 0) throw IOException("a number is cut off")
        number = number or ((byte and SEVEN_BITS).toLong() shl shift)
        if (byte and MORE_FOLLOWS == 0) {
            if (number > most) throw IOException("$number is more than $most")
            return number.toInt()
        }
    }
    throw IOException("a number does not end")
}
