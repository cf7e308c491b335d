/*
 * A file format of consecutive checksummed records. Each record is a header of magic number, payload length, CRC32C of
 * the payload and CRC32C of the header, followed by the payload. A record torn by an interrupted write is distinguished
 * from corruption of synced data: it is cut off by the end of the file or contains a disk sector that was not written.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val RECORD_MAGIC = 0x46_53_56_31
private const val HEADER_BYTES = 16
private const val SECTOR_BYTES = 512

/** The intact records of a file and their total length. */
internal class RecordScan(val records: List<ByteArray>, val intactBytes: Int)

/** Returns [payload] as a record. */
internal fun encodeRecord(payload: ByteArray): ByteArray {
    val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
    buffer.putInt(RECORD_MAGIC).putInt(payload.size).putInt(crcOf(payload, 0, payload.size))
    buffer.putInt(crcOf(buffer.array(), 0, HEADER_BYTES - Int.SIZE_BYTES))
    buffer.put(payload)
    return buffer.array()
}

/** Returns the records in [bytes] before a torn one at the end, or a message with the offset of a corrupt record. */
internal fun scanRecords(bytes: ByteArray): Either<String, RecordScan> {
    val records = mutableListOf<ByteArray>()
    var offset = 0
    while (offset < bytes.size) {
        val record = recordAtOrNull(bytes, offset)
        if (record == null) {
            if (isTorn(bytes, offset)) break
            return "corrupt record at byte $offset".left()
        }
        records += record
        offset += HEADER_BYTES + record.size
    }
    return RecordScan(records, offset).right()
}

private fun recordAtOrNull(bytes: ByteArray, offset: Int): ByteArray? {
    val size = payloadSizeOrNull(bytes, offset) ?: return null
    val from = offset + HEADER_BYTES
    if (size > bytes.size - from) return null
    val expected = ByteBuffer.wrap(bytes).getInt(offset + 2 * Int.SIZE_BYTES)
    return if (crcOf(bytes, from, size) == expected) bytes.copyOfRange(from, from + size) else null
}

/** Returns the payload size in the header at [offset], or null if the header is incomplete or damaged. */
private fun payloadSizeOrNull(bytes: ByteArray, offset: Int): Int? {
    if (bytes.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
    if (header.getInt() != RECORD_MAGIC) return null
    val size = header.getInt()
    header.getInt()
    val isIntact = header.getInt() == crcOf(bytes, offset, HEADER_BYTES - Int.SIZE_BYTES)
    return size.takeIf { isIntact && it >= 0 }
}

private fun isTorn(bytes: ByteArray, offset: Int): Boolean {
    if ((offset + 1 until bytes.size).any { recordAtOrNull(bytes, it) != null }) return false
    val remaining = bytes.size - offset
    if (remaining < HEADER_BYTES) return true
    val size = payloadSizeOrNull(bytes, offset) ?: return hasUnwrittenSector(bytes, offset, offset + HEADER_BYTES)
    return size > remaining - HEADER_BYTES || hasUnwrittenSector(bytes, offset, bytes.size)
}

/** Returns whether any disk sector is all zero in its part between [from] and [to]. */
private fun hasUnwrittenSector(bytes: ByteArray, from: Int, to: Int): Boolean {
    var start = from
    while (start < to) {
        val end = minOf(to, (start / SECTOR_BYTES + 1) * SECTOR_BYTES)
        if ((start until end).all { bytes[it] == 0.toByte() }) return true
        start = end
    }
    return false
}

private fun crcOf(bytes: ByteArray, from: Int, size: Int): Int {
    val crc = CRC32C()
    crc.update(bytes, from, size)
    return crc.value.toInt()
}
