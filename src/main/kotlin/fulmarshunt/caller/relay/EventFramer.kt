/*
 * Splits the bytes of an event stream into events. Only complete events are forwarded, so that a stream whose target is
 * lost in the middle of an event can continue at another target.
 */
package fulmarshunt.caller.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val NEW_LINE = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private val ID_FIELD = "id:".encodeToByteArray()

/** Splits one stream into events and counts them. */
internal class EventFramer {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Whether the stream would end inside an event if it ended now. */
    val hasIncompleteEvent: Boolean get() = rest.isReadable

    /** The id of the last returned event that has a numeric id, or null if none has. */
    var lastEventId: Long? = null
        private set

    /** Whether an event without a numeric id was returned; such a stream cannot be continued elsewhere. */
    var hasEventWithoutId: Boolean = false
        private set

    /** The number of events that were returned. */
    var events: Long = 0
        private set

    /** Appends [bytes], which it releases, and returns the events that are now complete, or null if there are none. */
    fun appendOrNull(bytes: ByteBuf): ByteBuf? {
        val all = if (rest.isReadable) Unpooled.wrappedBuffer(rest, bytes) else bytes
        rest = Unpooled.EMPTY_BUFFER
        var end = -1
        var lineStart = all.readerIndex()
        var eventId: Long? = null
        while (true) {
            val newLine = all.indexOf(lineStart, all.writerIndex(), NEW_LINE)
            if (newLine < 0) break
            val length = newLine - lineStart
            val isBlank = length == 0 || (length == 1 && all.getByte(lineStart) == CARRIAGE_RETURN)
            if (isBlank) {
                end = newLine + 1
                recordEvent(eventId)
                eventId = null
            } else {
                idOrNull(all, lineStart, newLine)?.let { eventId = it }
            }
            lineStart = newLine + 1
        }
        if (end < 0) {
            rest = all
            return null
        }
        val completeEvents = all.readRetainedSlice(end - all.readerIndex())
        // The rest is copied, so that it does not retain a large buffer.
        if (all.isReadable) rest = Unpooled.copiedBuffer(all)
        all.release()
        return completeEvents
    }

    /** Discards the bytes after the last complete event. */
    fun discardRest() {
        rest.release()
        rest = Unpooled.EMPTY_BUFFER
    }

    private fun recordEvent(id: Long?) {
        events += 1
        if (id == null) hasEventWithoutId = true else lastEventId = id
    }

    private fun idOrNull(bytes: ByteBuf, from: Int, to: Int): Long? {
        if (to - from <= ID_FIELD.size) return null
        if (ID_FIELD.indices.any { bytes.getByte(from + it) != ID_FIELD[it] }) return null
        return bytes.toString(from + ID_FIELD.size, to - from - ID_FIELD.size, Charsets.US_ASCII).trim().toLongOrNull()
    }
}
