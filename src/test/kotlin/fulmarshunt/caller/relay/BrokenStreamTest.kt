/*
 * Responses that end with their connection or inside an event, complete and cut off.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.ByteArrayOutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

private const val PIECE_BYTES = 16_384

/** The time in which written bytes reach the relay before a reset, which discards what is unread. */
private const val TRANSFER_MS = 200L

/** How often a stalled target writes a byte; less than the silence after which a run continues from its copy. */
private const val NOISE_PERIOD_MS = 100L

/** Longer than the silence after which a run continues from its copy. */
private const val SLOW_CALLER_MS = 2_000L

/** With their padding, more than the buffers between a target and its caller take. */
private const val SLOW_EVENTS = 1_000

private const val PARTIAL_EVENT = "id: 4\ndata: tok"

/** A way to delimit the body of a response. */
private class Framing(val name: String, val header: String, val encode: (String) -> String, val end: String)

private val framings = listOf(
    Framing("chunks", "transfer-encoding: chunked\r\n", { "${it.length.toString(16)}\r\n$it\r\n" }, "0\r\n\r\n"),
    Framing("neither length nor chunks", "", { it }, ""),
)

class BrokenStreamTest {
    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    private fun ScriptedTarget.RequestScope.start(framing: Framing) =
        write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n${framing.header}\r\n")

    private fun RelayFixture.stream(): String? = call("/stream/x", "", "tokens: 10")?.body

    /** Sends a request, runs [action] once the response contains [marker], and returns the whole response. */
    private fun RelayFixture.callAndThen(path: String, marker: String, action: () -> Unit): RawMessage? =
        connect().use { socket ->
            socket.getOutputStream().write(requestText(path, "", "tokens: 10").encodeToByteArray())
            val received = ByteArrayOutputStream()
            val input = socket.getInputStream()
            while (marker !in received.toString()) {
                val bytes = ByteArray(PIECE_BYTES)
                val count = input.read(bytes)
                check(count >= 0) { "the response ended without '$marker': $received" }
                received.write(bytes, 0, count)
            }
            action()
            input.transferTo(received)
            received.toByteArray().inputStream().readMessageOrNull()
        }

    /** Guards against a complete stream that is treated as broken off because of the way in which its end is shown. */
    @Test
    fun `a stream that ends after an event is complete`() {
        for (framing in framings) {
            val target = ScriptedTarget("a") {
                start(framing)
                write(framing.encode(events(1..3)) + framing.end)
                if (framing.end.isEmpty()) socket.close()
            }
            target.use {
                RelayFixture(target).use { expectThat(it.stream()).describedAs(framing.name).isEqualTo(events(1..3)) }
            }
        }
    }

    /** Guards against a stream that was broken off inside an event and looks complete. */
    @Test
    fun `a stream that ends inside an event is cut off after the last complete event`() {
        for (framing in framings) {
            val target = ScriptedTarget("a") {
                start(framing)
                write(framing.encode(events(1..3) + PARTIAL_EVENT) + framing.end)
                if (framing.end.isEmpty()) socket.close()
            }
            target.use {
                RelayFixture(target).use { relay ->
                    expectThat(relay.stream()).describedAs(framing.name).isEqualTo(events(1..3) + TRUNCATED)
                    relay.awaitIdle()
                }
            }
        }
    }

    /** Guards against a stream that ends inside its first event and looks complete. */
    @Test
    fun `a stream that ends inside its first event is answered as failed`() {
        for (framing in framings) {
            val target = ScriptedTarget("a") {
                start(framing)
                write(framing.encode("id: 1\ndata: tok") + framing.end)
                if (framing.end.isEmpty()) socket.close()
            }
            target.use {
                RelayFixture(target).use { relay ->
                    val response = relay.call("/stream/x", "", "tokens: 10")
                    expectThat(response?.startLine).describedAs(framing.name).isNotNull().contains(" 502 ")
                }
            }
        }
    }

    /** Guards against a run that is given up although another target has a copy of its memory. */
    @Test
    fun `a run whose stream ends inside an event continues from its copy`() {
        for (framing in framings) {
            val resumes = CopyOnWriteArrayList<String>()
            val serve: ScriptedTarget.RequestScope.() -> Unit = {
                val resume = request.header("resume")
                start(framing)
                if (resume == null) {
                    write(framing.encode(events(1..3) + PARTIAL_EVENT) + framing.end)
                } else {
                    resumes += resume.substringAfter('@')
                    write(framing.encode(events(4..6)) + framing.end)
                }
                if (framing.end.isEmpty()) socket.close()
            }
            ScriptedTarget("a", serve).use { a ->
                ScriptedTarget("b", serve).use { b ->
                    RelayFixture(a, b).use { relay ->
                        expectThat(relay.stream()).describedAs(framing.name).isEqualTo(events(1..6))
                        expectThat(resumes.toList()).isEqualTo(listOf("3"))
                        relay.awaitIdle()
                    }
                }
            }
        }
    }

    /** Guards against a reset that is mistaken for the end of a stream that ends with its connection. */
    @Test
    fun `a stream that is reset is cut off, also after a complete event`() {
        for (framing in framings) {
            val mayReset = CountDownLatch(1)
            val target = ScriptedTarget("a") {
                start(framing)
                write(framing.encode(events(1..3)))
                mayReset.await()
                reset()
            }
            target.use {
                RelayFixture(target).use { relay ->
                    // A reset discards what the relay has not read yet.
                    val response = relay.callAndThen("/stream/x", "token 3", mayReset::countDown)
                    expectThat(response?.body).describedAs(framing.name).isEqualTo(events(1..3) + TRUNCATED)
                }
            }
        }
    }

    /** Guards against a reset that is mistaken for the end of a plain response that ends with its connection. */
    @Test
    fun `a plain response that ends with its connection is complete only without a reset`() {
        val long = "x".repeat(200_000)
        for (body in listOf("short", long)) {
            val ordered = ScriptedTarget("a") {
                write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\n$body")
                socket.close()
            }
            ordered.use { RelayFixture(it).use { relay -> expectThat(relay.call("/once/x")?.body).isEqualTo(body) } }
        }
        val cutShort = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\nshort")
            Thread.sleep(TRANSFER_MS)
            reset()
        }
        cutShort.use {
            RelayFixture(it).use { relay ->
                expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 502 ")
            }
        }
        val mayReset = CountDownLatch(1)
        val cutLong = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\n$long")
            mayReset.await()
            reset()
        }
        cutLong.use {
            RelayFixture(it).use { relay ->
                val response = relay.callAndThen("/once/x", "xxx", mayReset::countDown)
                expectThat(response?.body).isNotNull().endsWith(TRUNCATED)
            }
        }
    }

    /** Guards against a stalled stream that never ends, because its target writes a byte or a comment now and then. */
    @Test
    fun `a run that writes bytes but no events continues from its copy`() {
        for (noise in listOf(":", " ", ": alive\n\n", "\n")) {
            val hasStalled = CountDownLatch(1)
            val serve: ScriptedTarget.RequestScope.() -> Unit = {
                val resume = request.header("resume")
                start(framings.first())
                if (resume == null) {
                    write(framings.first().encode(events(1..2)))
                    // Until the relay has left; the deadline of the request is after 8 s.
                    runCatching {
                        while (hasStalled.count > 0) {
                            write(framings.first().encode(noise))
                            Thread.sleep(NOISE_PERIOD_MS)
                        }
                    }
                } else {
                    hasStalled.countDown()
                    write(framings.first().encode(events(resume.substringAfter('@').toInt() + 1..4)))
                    write(framings.first().end)
                }
            }
            ScriptedTarget("a", serve).use { a ->
                ScriptedTarget("b", serve).use { b ->
                    RelayFixture(a, b).use { relay ->
                        val body = relay.stream().orEmpty()
                        val proper = body.replace(": alive\n\n", "").replace(Regex("\n{3,}"), "\n\n")
                        expectThat(proper).describedAs("noise '$noise'").isEqualTo(events(1..4))
                    }
                }
            }
        }
    }

    /** Guards against a slow but sound stream that is cut off or leaves its target while its caller reads slowly. */
    @Test
    fun `a caller that reads nothing for a while is no stall`() {
        val target = ScriptedTarget("a") {
            startStream()
            val padding = "x".repeat(PIECE_BYTES)
            for (id in 1..SLOW_EVENTS) {
                val text = "id: $id\ndata: $padding\n\n"
                write("${text.length.toString(16)}\r\n$text\r\n")
            }
            endStream()
        }
        val other = ScriptedTarget("b") { respond("503 Service Unavailable", "", "not-run: 1") }
        target.use {
            other.use {
                RelayFixture(target, other).use { relay ->
                    relay.connect(receiveBufferBytes = PIECE_BYTES).use { socket ->
                        socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                        Thread.sleep(SLOW_CALLER_MS)
                        val response = socket.getInputStream().buffered().readMessageOrNull()
                        expectThat(response?.body.orEmpty().split("id: ").size - 1).isEqualTo(SLOW_EVENTS)
                        expectThat(target.requests.size to other.requests.size).isEqualTo(1 to 0)
                    }
                }
            }
        }
    }
}
