/*
 * Splitting a byte stream into events, however the bytes arrive.
 */
package fulmarshunt.caller.relay

import io.netty.buffer.Unpooled
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class EventFramerTest {
    private val events = (1..5).map { "id: $it\ndata: token $it\n\n" }

    /** Guards against events that are lost, duplicated or truncated at the boundaries between pieces of a stream. */
    @Test
    fun `events are complete for every way to split the bytes`() {
        val bytes = events.joinToString("").encodeToByteArray()
        for (size in 1..bytes.size) {
            val framer = EventFramer()
            val out = StringBuilder()
            for (piece in bytes.toList().chunked(size)) {
                val complete = framer.appendOrNull(Unpooled.wrappedBuffer(piece.toByteArray())) ?: continue
                out.append(complete.toString(Charsets.UTF_8))
                expectThat(out.endsWith("\n\n")).isTrue()
                complete.release()
            }
            expectThat(out.toString()).isEqualTo(events.joinToString(""))
            expectThat(framer.lastEventId).isEqualTo(5L)
            expectThat(framer.events).isEqualTo(5L)
        }
    }

    /** Guards against a stream that is continued elsewhere in the middle of an event. */
    @Test
    fun `the beginning of an incomplete event is not forwarded`() {
        val framer = EventFramer()
        framer.appendOrNull(Unpooled.copiedBuffer(events[0] + "id: 2\nda", Charsets.UTF_8))?.release()
        expectThat(framer.lastEventId).isEqualTo(1L)
        framer.discardRest()
        val next = framer.appendOrNull(Unpooled.copiedBuffer(events[1], Charsets.UTF_8))
        expectThat(next?.toString(Charsets.UTF_8)).isEqualTo(events[1])
    }

    private fun EventFramer.append(text: String, size: Int = text.length) =
        text.chunked(size).joinToString("") { piece ->
            val complete = appendOrNull(Unpooled.copiedBuffer(piece, Charsets.UTF_8))
            complete?.toString(Charsets.UTF_8).orEmpty().also { complete?.release() }
        }

    /** Guards against events that a caller gets twice because a run that has continued begins too early. */
    @Test
    fun `events that a run has repeated after it has continued are left out`() {
        val comment = ": comment\n\n"
        val text = comment + events.joinToString("")
        val first = events.take(3).joinToString("")
        for (size in 1..text.length) {
            val framer = EventFramer()
            expectThat(framer.append(first + "id: 4\nda")).isEqualTo(first)
            framer.resume()
            expectThat(framer.append(text, size).removePrefix(comment)).isEqualTo(events.drop(3).joinToString(""))
            expectThat(framer.repeatedEvents).isEqualTo(3L)
            expectThat(framer.events).isEqualTo(5L)
            expectThat(framer.hasIncompleteEvent).isFalse()
        }
    }

    /** Guards against a stream that lacks events because a run that has continued begins too late. */
    @Test
    fun `a run that has left out events is noticed before its next event is returned`() {
        for (size in 1..events[4].length) {
            val framer = EventFramer()
            framer.append(events.take(3).joinToString(""))
            framer.resume()
            expectThat(framer.append(events[4], size)).isEqualTo("")
            expectThat(framer.hasGap).isTrue()
            framer.resume()
            expectThat(framer.append(events[3] + events[4], size)).isEqualTo(events[3] + events[4])
            expectThat(framer.hasGap).isFalse()
        }
    }

    /** Guards against sound streams that are broken off because their ids do not count events. */
    @Test
    fun `ids of any distance are accepted`() {
        fun event(id: Int) = "id: $id\ndata: x\n\n"
        val irregular = EventFramer()
        irregular.append(event(1) + event(2) + event(9))
        irregular.resume()
        expectThat(irregular.append(event(20) + event(21))).isEqualTo(event(20) + event(21))
        val inTokens = EventFramer()
        inTokens.append(event(4) + event(8))
        inTokens.resume()
        expectThat(inTokens.append(event(8) + event(12))).isEqualTo(event(12))
    }

    /** Guards against events that a caller gets twice because a target repeats them, or adds bytes after its end. */
    @Test
    fun `events that a target repeats within a response are left out`() {
        val text = events.joinToString("")
        for (size in 1..text.length) {
            val framer = EventFramer()
            expectThat(framer.append(events[0] + text + events[4] + events[1], size)).isEqualTo(text)
            expectThat(framer.repeatedEvents).isEqualTo(3L)
            expectThat(framer.lastEventId).isEqualTo(5L)
        }
    }

    /** Guards against events of several tokens that are lost or repeated where a run continues or a read ends. */
    @Property(tries = 300)
    fun `each event is returned once`(@ForAll seed: Long) {
        val random = Random(seed)
        val step = random.nextInt(1, 9)
        val newLine = if (random.nextBoolean()) "\n" else "\r\n"
        val data = "data: ${"token ".repeat(step)}$newLine$newLine"
        val all = (1..random.nextInt(3, 30)).map { "id: ${it * step}$newLine$data" }
        val framer = EventFramer()
        val out = StringBuilder()
        while (framer.events < all.size) {
            val forwarded = framer.events.toInt()
            // Without two ids, a step is not known, so that an event that is left out would not be noticed.
            val from = if (forwarded < 2) forwarded else random.nextInt(forwarded + 1)
            val text = all.drop(from).flatMap { event -> List(random.nextInt(1, 3)) { event } }.joinToString("")
            val end = random.nextInt(text.length + 1)
            out.append(framer.append(text.take(end), random.nextInt(1, 50)))
            expectThat(framer.hasGap).isFalse()
            framer.resume()
        }
        expectThat(out.toString()).isEqualTo(all.joinToString(""))
        framer.discardRest()
    }

    /** Guards against a memory leak for each stream that ends within an event. */
    @Test
    fun `discarding the rest releases its buffer`() {
        val framer = EventFramer()
        val bytes = Unpooled.directBuffer().writeBytes("id: 1\nda".encodeToByteArray())
        framer.appendOrNull(bytes)
        framer.discardRest()
        expectThat(bytes.refCnt()).isEqualTo(0)
    }

    /** Guards against a stream without numeric event ids that is considered to be continuable elsewhere. */
    @Test
    fun `events without numeric ids are noticed`() {
        val framer = EventFramer()
        framer.appendOrNull(Unpooled.copiedBuffer("data: x\r\n\r\n", Charsets.UTF_8))?.release()
        expectThat(framer.hasEventWithoutId).isTrue()
        expectThat(framer.lastEventId).isNull()
    }

    /** Guards against the id of a discarded event that is recorded for the next one. */
    @Test
    fun `the id of a discarded event is forgotten`() {
        val framer = EventFramer()
        framer.appendOrNull(Unpooled.copiedBuffer("id: 7\ndata: x\nda", Charsets.UTF_8))
        framer.discardRest()
        framer.appendOrNull(Unpooled.copiedBuffer("data: y\n\n", Charsets.UTF_8))?.release()
        expectThat(framer.lastEventId).isNull()
        expectThat(framer.hasEventWithoutId).isTrue()
    }

    /** Guards against a stream that cannot continue elsewhere because its target sends comments to keep it alive. */
    @Test
    fun `comments and blank lines are forwarded but are no events`() {
        val framer = EventFramer()
        val pieces = listOf("id: 1\ndata: x\n\n", ": alive\n\n", "\n", ":", " alive\n", "\r\n", ": note\nid: 2\n", "\n")
        val forwarded = pieces.mapNotNull { framer.appendOrNull(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
        expectThat(forwarded.joinToString("") { it.toString(Charsets.UTF_8) }).isEqualTo(pieces.joinToString(""))
        forwarded.forEach { it.release() }
        expectThat(framer.events).isEqualTo(2L)
        expectThat(framer.lastEventId).isEqualTo(2L)
        expectThat(framer.hasEventWithoutId).isEqualTo(false)
        expectThat(framer.hasIncompleteEvent).isEqualTo(false)
        framer.discardRest()
    }
}
