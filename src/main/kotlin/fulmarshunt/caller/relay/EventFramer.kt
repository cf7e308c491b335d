/*
 * Splits the bytes of an event stream into events. Only complete events are forwarded, so that a stream whose target is
 * lost in the middle of an event can continue at another target. The ids of events increase: events that a target
 * repeats are left out, and a run that has continued and skips events is ended.
 */
package fulmarshunt.caller.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val NEW_LINE = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val COMMENT = ':'.code.toByte()
private val ID_FIELD = "id:".encodeToByteArray()

/** An event that is longer than this is taken for bytes without end; proper events hold a few tokens. */
private const val MAX_EVENT_BYTES = 262_144

/** Splits one stream into events and counts them. */
internal class EventFramer {
    /** The bytes after the last complete event. */
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Where the last line of [rest] begins, so that no line is read twice. */
    private var restLineStart = 0

    /** The id of the event that begins with [rest], if its line has been read. */
    private var restEventId: Long? = null

    /** Whether [rest] has a line other than comments, so that it is the beginning of an event. */
    private var restHasField = false

    /** Whether the stream would end inside an event if it ended now. */
    val hasIncompleteEvent: Boolean get() = rest.isReadable

    /** Whether the incomplete event is too long to be a proper one. */
    val isEventTooLong: Boolean get() = rest.readableBytes() > MAX_EVENT_BYTES

    /** The id of the last returned event that has a numeric id, or null if none has. */
    val lastEventId: Long? get() = order.lastId

    /** Whether an event without a numeric id was returned; such a stream cannot be continued elsewhere. */
    var hasEventWithoutId: Boolean = false
        private set

    /** The number of events that were returned. */
    var events: Long = 0
        private set

    /** The number of events that were left out because the target has repeated them. */
    var repeatedEvents: Long = 0
        private set

    /** Whether a run that has continued has left out events; nothing after them is returned. */
    var hasGap: Boolean = false
        private set

    private val order = EventOrder()

    /** Whether the rest of the stream cannot be forwarded. */
    val isUnusable: Boolean get() = isEventTooLong || hasGap

    /** Begins with the stream of the same run at another target, which goes on after [lastEventId]. */
    fun resume() {
        discardRest()
        order.resume()
        hasGap = false
    }

    /**
     * Appends [bytes], which it releases, and returns what is now complete, or null if nothing is. Comments and blank
     * lines are returned as well, but are no events.
     */
    fun appendOrNull(bytes: ByteBuf): ByteBuf? {
        val readBytes = rest.readableBytes()
        val all = joinRest(bytes)
        var begin = all.readerIndex()
        var end = -1
        val pieces = mutableListOf<ByteBuf>()
        var lineStart = begin + restLineStart
        var searchFrom = all.readerIndex() + readBytes
        var eventId = restEventId
        var hasField = restHasField
        while (true) {
            val newLine = all.indexOf(searchFrom, all.writerIndex(), NEW_LINE)
            if (newLine < 0) break
            if (isBlank(all, lineStart, newLine)) {
                val place = if (hasField) order.placeOf(eventId) else EventPlace.NEXT
                hasGap = place == EventPlace.AFTER_GAP
                if (hasGap) break
                val eventStart = maxOf(begin, end)
                end = newLine + 1
                if (place == EventPlace.REPEATED) {
                    repeatedEvents += 1
                    pieces.addSlice(all, begin, eventStart)
                    begin = end
                } else if (hasField) {
                    recordEvent(eventId)
                }
                eventId = null
                hasField = false
            } else if (all.getByte(lineStart) != COMMENT) {
                hasField = true
                idOrNull(all, lineStart, newLine)?.let { eventId = it }
            }
            lineStart = newLine + 1
            searchFrom = lineStart
        }
        pieces.addSlice(all, begin, end)
        all.readerIndex(maxOf(begin, end))
        val completeEvents = if (pieces.isEmpty()) null else Unpooled.wrappedBuffer(*pieces.toTypedArray())
        restLineStart = lineStart - all.readerIndex()
        restEventId = eventId
        restHasField = hasField
        if (all !== rest || end >= 0) {
            // The rest is copied, so that it does not retain a large buffer.
            rest = if (all.isReadable) Unpooled.copiedBuffer(all) else Unpooled.EMPTY_BUFFER
            all.release()
        }
        return completeEvents
    }

    /** Discards the bytes after the last complete event. */
    fun discardRest() {
        rest.release()
        rest = Unpooled.EMPTY_BUFFER
        restLineStart = 0
        restEventId = null
        restHasField = false
    }

    /** Returns [bytes] with [rest] before them; they are copied only if there is a rest. */
    private fun joinRest(bytes: ByteBuf): ByteBuf {
        if (!rest.isReadable) return bytes
        rest.writeBytes(bytes)
        bytes.release()
        return rest
    }

    private fun isBlank(bytes: ByteBuf, from: Int, to: Int): Boolean =
        from == to || (to - from == 1 && bytes.getByte(from) == CARRIAGE_RETURN)

    private fun recordEvent(id: Long?) {
        events += 1
        if (id == null) hasEventWithoutId = true
        order.record(id)
    }

    private fun idOrNull(bytes: ByteBuf, from: Int, to: Int): Long? {
        if (to - from <= ID_FIELD.size) return null
        if (ID_FIELD.indices.any { bytes.getByte(from + it) != ID_FIELD[it] }) return null
        return bytes.toString(from + ID_FIELD.size, to - from - ID_FIELD.size, Charsets.US_ASCII).trim().toLongOrNull()
    }
}

private fun MutableList<ByteBuf>.addSlice(bytes: ByteBuf, from: Int, to: Int) {
    if (to > from) add(bytes.retainedSlice(from, to - from))
}

/** Where an event belongs. */
private enum class EventPlace { REPEATED, NEXT, AFTER_GAP }

/** Compares the ids of events with those of the events before. */
private class EventOrder {
    /** The id of the last event that has a numeric one, or null if none has. */
    var lastId: Long? = null
        private set

    /** Whether the run has continued without a new event. */
    private var isResumed = false

    /** The difference between the ids of successive events, or null if it is not known or not constant. */
    private var step: Long? = null
    private var isIrregular = false

    fun resume() {
        isResumed = true
    }

    fun placeOf(id: Long?): EventPlace {
        val last = lastId
        if (id == null || last == null) return EventPlace.NEXT
        val expected = step?.let { last + it }
        return when {
            id <= last -> EventPlace.REPEATED
            isResumed && expected != null && id > expected -> EventPlace.AFTER_GAP
            else -> EventPlace.NEXT
        }
    }

    fun record(id: Long?) {
        isResumed = false
        if (id == null) return
        val distance = lastId?.let { id - it }
        lastId = id
        if (distance == null) return
        isIrregular = isIrregular || step?.let { it != distance } == true
        step = distance.takeIf { !isIrregular }
    }
}
