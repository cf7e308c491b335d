/*
 * Cutting a byte stream into events, however the bytes arrive.
 */
package fulmarshunt.caller.relay

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

class EventFramerTest {
    private val events = (1..5).map { "id: $it\ndata: token $it\n\n" }

    /** Guards against events that are lost, doubled or cut where the pieces of a stream meet. */
    @Test
    fun `events come out whole for every way to cut the bytes`() {
        val bytes = events.joinToString("").encodeToByteArray()
        for (size in 1..bytes.size) {
            val framer = EventFramer()
            val out = StringBuilder()
            for (piece in bytes.toList().chunked(size)) {
                val whole = framer.appendOrNull(Unpooled.wrappedBuffer(piece.toByteArray())) ?: continue
                out.append(whole.toString(Charsets.UTF_8))
                expectThat(out.endsWith("\n\n")).isTrue()
                whole.release()
            }
            expectThat(out.toString()).isEqualTo(events.joinToString(""))
            expectThat(framer.lastEventId).isEqualTo(5L)
            expectThat(framer.events).isEqualTo(5L)
        }
    }

    /** Guards against a stream that goes on elsewhere in the middle of an event. */
    @Test
    fun `the beginning of a broken event is not passed on`() {
        val framer = EventFramer()
        framer.appendOrNull(Unpooled.copiedBuffer(events[0] + "id: 2\nda", Charsets.UTF_8))?.release()
        expectThat(framer.lastEventId).isEqualTo(1L)
        framer.discardRest()
        val next = framer.appendOrNull(Unpooled.copiedBuffer(events[1], Charsets.UTF_8))
        expectThat(next?.toString(Charsets.UTF_8)).isEqualTo(events[1])
    }

    /** Guards against memory that is lost with each stream that breaks off within an event. */
    @Test
    fun `dropping the rest releases its buffer`() {
        val framer = EventFramer()
        val bytes = Unpooled.directBuffer().writeBytes("id: 1\nda".encodeToByteArray())
        framer.appendOrNull(bytes)
        framer.discardRest()
        expectThat(bytes.refCnt()).isEqualTo(0)
    }

    /** Guards against a stream without numbers that is taken for one that can go on elsewhere. */
    @Test
    fun `events without numbers are noticed`() {
        val framer = EventFramer()
        framer.appendOrNull(Unpooled.copiedBuffer("data: x\r\n\r\n", Charsets.UTF_8))?.release()
        expectThat(framer.hasEventWithoutId).isTrue()
        expectThat(framer.lastEventId).isNull()
    }
}
