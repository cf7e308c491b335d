/*
 * The relay with targets that write bytes without end, in every part of a response and while no response is due.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The number of bytes after which a target ends by itself. */
private const val MAX_WRITTEN_BYTES = 64_000_000L

/** A target may have written this much when its connection is closed; most of it is in the buffers of the sockets. */
private const val MAX_ACCEPTED_BYTES = 24_000_000L

/** The time in which an endless response is given up; the deadline of the request is after 8 s. */
private const val MAX_RESPONSE_MS = 4_000L

/** The time in which an idle connection with unexpected bytes is closed; one without is closed after 4 s. */
private const val MAX_IDLE_CLOSE_MS = 1_500L

/** The time in which a response reaches its caller and the connection is idle. */
private const val IDLE_AFTER_MS = 200L

private const val BLOCK_BYTES = 16_384

/** The callers that read nothing at the same time. */
private const val SLOW_CALLERS = 12

/** A target that writes nothing for so long is held back. */
private const val HELD_BACK_MS = 1_000L

private const val PIECE_BYTES = 4_096L

private const val HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n"
private const val CHUNKED_HEAD = HEAD + "transfer-encoding: chunked\r\n\r\n"

/** A response whose [repeated] part never ends. */
private class Endless(val name: String, val beginning: String, val repeated: String)

private val endlessResponses = listOf(
    Endless("a status line", "", "x"),
    Endless("blank lines", "", "\r\n"),
    Endless("spaces", "", " "),
    Endless("a header", HEAD + "x: ", "x"),
    Endless("headers", HEAD, "x: y\r\n"),
    Endless("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    Endless(
        "a switch of protocols",
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n",
        "x",
    ),
    Endless("a response to another request", "HTTP/1.1 200 OK\r\nid: other\r\nstamp: 1\r\n\r\n", "x"),
    Endless("responses to another request", "", "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nxx"),
    Endless("the size of a chunk", CHUNKED_HEAD, "0"),
    Endless("the extension of a chunk", CHUNKED_HEAD + "1;", "x"),
    Endless("the delimiter of a chunk", CHUNKED_HEAD + "1\r\nx", "y"),
    Endless("trailers", CHUNKED_HEAD + "0\r\n", "x: y\r\n"),
)

class EndlessTargetTest {
    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    /** Writes [text] again and again until the connection is closed, or up to the limit. */
    private fun Socket.writeEndlessly(text: String, written: AtomicLong) {
        val block = text.repeat((BLOCK_BYTES / text.length).coerceAtLeast(1)).encodeToByteArray()
        while (written.get() < MAX_WRITTEN_BYTES) {
            getOutputStream().write(block)
            written.addAndGet(block.size.toLong())
        }
    }

    private fun elapsedMs(action: () -> Unit): Long {
        val startNanos = System.nanoTime()
        action()
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
    }

    /** Guards against a target that fills the memory, occupies the thread or holds a request to its deadline. */
    @TestFactory
    fun `an endless response is given up`(): List<DynamicTest> = endlessResponses.map { endless ->
        DynamicTest.dynamicTest(endless.name) {
            val written = AtomicLong()
            val target = ScriptedTarget("a") {
                if (number == 1) {
                    write(endless.beginning)
                    socket.writeEndlessly(endless.repeated, written)
                }
                respond("200 OK", "ran")
            }
            target.use {
                RelayFixture(target).use { relay ->
                    val tookMs = elapsedMs {
                        expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 502 ")
                    }
                    expectThat(tookMs).isLessThan(MAX_RESPONSE_MS)
                    expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
                    expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                }
            }
        }
    }

    /** Guards against bytes that arrive so slowly that the limit of a single read does not apply to them. */
    @Test
    fun `endless blank lines in small pieces are given up`() {
        val written = AtomicLong()
        val target = ScriptedTarget("a") {
            if (number == 1) {
                while (written.addAndGet(PIECE_BYTES) < MAX_WRITTEN_BYTES) {
                    write("\r\n".repeat(PIECE_BYTES.toInt() / 2))
                    Thread.sleep(1)
                }
            }
            respond("200 OK", "ran")
        }
        target.use {
            RelayFixture(target).use { relay ->
                val tookMs = elapsedMs { expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 502 ") }
                expectThat(tookMs).isLessThan(MAX_RESPONSE_MS)
                expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
            }
        }
    }

    /** Guards against an idempotent request that fails although another target could serve it. */
    @Test
    fun `an idempotent request is sent to another target after an endless response`() {
        val written = AtomicLong()
        ScriptedTarget("bad") { socket.writeEndlessly("\r\n", written) }.use { bad ->
            ScriptedTarget("good") { respond("200 OK", "good") }.use { good ->
                RelayFixture(bad, good).use { relay ->
                    val tookMs = elapsedMs { repeat(4) { expectThat(relay.call("/safe/x")?.body).isEqualTo("good") } }
                    expectThat(tookMs).isLessThan(MAX_RESPONSE_MS)
                    expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
                }
            }
        }
    }

    /** Guards against an event without end that fills the memory or is scanned again for each of its pieces. */
    @Test
    fun `a stream is cut off inside an endless event`() {
        for (line in listOf("x", "x: y\n")) {
            val written = AtomicLong()
            val target = ScriptedTarget("a") {
                write("$HEAD\r\n${events(1..2)}id: 3\ndata: ")
                socket.writeEndlessly(line, written)
            }
            target.use {
                RelayFixture(target).use { relay ->
                    val tookMs = elapsedMs {
                        expectThat(relay.call("/stream/x", "", "tokens: 10")?.body).isEqualTo(events(1..2) + TRUNCATED)
                    }
                    expectThat(tookMs).isLessThan(MAX_RESPONSE_MS)
                    expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
                }
            }
        }
    }

    /** Guards against a run that is given up although another target has a copy of its memory. */
    @Test
    fun `a run with an endless event continues from its copy`() {
        val written = AtomicLong()
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            if (resume == null) {
                write("$HEAD\r\n${events(1..2)}id: 3\ndata: ")
                socket.writeEndlessly("x", written)
            } else {
                write("$HEAD\r\n${events(resume.substringAfter('@').toInt() + 1..4)}")
                socket.close()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    expectThat(relay.call("/stream/x", "", "tokens: 10")?.body).isEqualTo(events(1..4))
                    expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
                }
            }
        }
    }

    /** Guards against a bound on proper responses: a long one is limited only by its deadline and its caller. */
    @Test
    fun `a long response is forwarded completely`() {
        val body = "x".repeat(8_000_000)
        ScriptedTarget("a") { respond("200 OK", body) }.use { target ->
            RelayFixture(target).use { expectThat(it.call("/once/x")?.body == body).isEqualTo(true) }
        }
    }

    /** Guards against tiny pieces that take much more memory and time than their content. */
    @Test
    fun `a response in tiny pieces is forwarded completely`() {
        val pieces = 60_000
        val target = ScriptedTarget("a") {
            startStream()
            write("1\r\nx\r\n".repeat(pieces))
            endStream()
        }
        target.use { RelayFixture(target).use { expectThat(it.call("/once/x")?.body).isEqualTo("x".repeat(pieces)) } }
    }

    /** Guards against bytes on an idle connection that are taken for the beginning of the next response. */
    @Test
    fun `an idle connection is closed when bytes arrive`() {
        for (bytes in listOf("x", "\r\n", "HTTP/1.1 503 Service Unavailable\r\nnot-", "HTTP/1.1 503 No\r\n\r\n")) {
            val hasEnded = CountDownLatch(1)
            val target = ScriptedTarget("a") {
                respond("200 OK", "ran")
                if (number == 1) {
                    Thread.sleep(IDLE_AFTER_MS)
                    write(bytes)
                    runCatching { socket.getInputStream().read() }
                    hasEnded.countDown()
                }
            }
            target.use {
                RelayFixture(target).use { relay ->
                    expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                    expectThat(hasEnded.await(MAX_IDLE_CLOSE_MS, TimeUnit.MILLISECONDS))
                        .describedAs("closed after $bytes").isEqualTo(true)
                    expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                }
            }
        }
    }

    /** Guards against an idle connection on which bytes are read for as long as it is kept. */
    @Test
    fun `an idle connection is closed when endless bytes arrive`() {
        val written = AtomicLong()
        val target = ScriptedTarget("a") {
            respond("200 OK", "ran")
            if (number == 1) {
                Thread.sleep(IDLE_AFTER_MS)
                socket.writeEndlessly("\r\n", written)
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                Thread.sleep(IDLE_AFTER_MS + MAX_IDLE_CLOSE_MS)
                expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
                expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
            }
        }
    }

    /** Guards against a new connection for each request, which costs a round trip and a slot of the target. */
    @Test
    fun `a connection is used again after a complete response`() {
        val sockets = ConcurrentHashMap.newKeySet<Socket>()
        val target = ScriptedTarget("a") {
            sockets += socket
            if (number % 2 == 0) {
                respond("200 OK", "ran")
            } else {
                startStream()
                write("3\r\nran\r\n")
                endStream()
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                repeat(4) {
                    expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                    relay.awaitIdle()
                }
                expectThat(sockets).hasSize(1)
            }
        }
    }

    /** Guards against bytes after a complete response that make the response to the next request unreadable. */
    @Test
    fun `a connection with bytes after a response is not used again`() {
        val target = ScriptedTarget("a") {
            write("${HEAD}content-length: 3\r\n\r\nranxyz")
        }
        target.use {
            RelayFixture(target).use { relay ->
                repeat(4) {
                    expectThat(relay.call("/once/x")?.body).isEqualTo("ran")
                    relay.awaitIdle()
                }
            }
        }
    }

    /** Guards against a target whose proper bytes without end fill the memory because callers do not read them. */
    @Test
    fun `callers that do not read hold back their targets`() {
        val written = List(SLOW_CALLERS) { AtomicLong() }
        val target = ScriptedTarget("a") {
            val text = "x".repeat(BLOCK_BYTES)
            write(CHUNKED_HEAD.replace("id: r1", "id: ${request.header("id")}"))
            val chunk = "${text.length.toString(16)}\r\n$text\r\n"
            socket.writeEndlessly(chunk, written[number - 1])
        }
        target.use {
            RelayFixture(target).use { relay ->
                val callers = List(SLOW_CALLERS) {
                    relay.connect(BLOCK_BYTES).also { socket ->
                        socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                    }
                }
                var before = -1L
                while (written.sumOf { it.get() } != before) {
                    before = written.sumOf { it.get() }
                    Thread.sleep(HELD_BACK_MS)
                }
                expectThat(target.requests).hasSize(SLOW_CALLERS)
                written.forEach { expectThat(it.get()).isLessThan(MAX_ACCEPTED_BYTES) }
                callers.forEach { it.close() }
                relay.awaitIdle()
            }
        }
    }
}
