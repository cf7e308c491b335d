/*
 * The connections of callers while the process shuts down.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.BufferedInputStream
import java.io.InputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

@Timeout(60)
class CallerShutdownTest {
    /** Guards against a request that is read and discarded because its caller was not told of the shutdown. */
    @Test
    fun `a request after a stream that began before the shutdown is answered`() {
        val hasBegun = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            if (request.startLine.contains("/stream/")) {
                startStream()
                event(1)
                hasBegun.countDown()
                mayEnd.await()
                endStream()
            } else {
                respond("200 OK", "second")
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    val input = BufferedInputStream(socket.getInputStream())
                    socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                    hasBegun.await()
                    expectThat(String(input.readNBytes(HTTP_VERSION.length))).isEqualTo(HTTP_VERSION)
                    relay.stop()
                    mayEnd.countDown()
                    expectThat(input.readMessageOrNull()?.header("connection")).isEqualTo(null)
                    socket.getOutputStream().write(requestText("/once/x", "").encodeToByteArray())
                    val second = input.readMessageOrNull()
                    expectThat(second?.body).isEqualTo("second")
                    expectThat(second?.header("connection")).isEqualTo("close")
                }
            }
        }
    }

    /** Guards against callers that keep using a connection of a process that is about to end. */
    @Test
    fun `a response during the shutdown announces the end of its connection`() {
        val hasArrived = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            hasArrived.countDown()
            mayEnd.await()
            respond("200 OK", "done")
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    socket.getOutputStream().write(requestText("/once/x", "").encodeToByteArray())
                    hasArrived.await()
                    relay.stop()
                    mayEnd.countDown()
                    val response = BufferedInputStream(socket.getInputStream()).readMessageOrNull()
                    expectThat(response?.startLine).isNotNull().contains(" 200 ")
                    expectThat(response?.header("connection")).isEqualTo("close")
                }
            }
        }
    }

    /** Guards against the loss of the end of a response that its caller reads slowly. */
    @Test
    fun `a connection is closed only after the last response has been sent`() {
        val body = "x".repeat(LONG_BODY_BYTES)
        ScriptedTarget("a") { respond("200 OK", body) }.use { target ->
            RelayFixture(target).use { relay ->
                relay.connect(RECEIVE_BUFFER_BYTES).use { socket ->
                    val request = requestText("/once/x", "", "connection: close")
                    socket.getOutputStream().write(request.encodeToByteArray())
                    val input = socket.getInputStream()
                    var received = input.readNBytes(PIECE_BYTES).size
                    while (relay.active > 0) received += input.readNBytes(PIECE_BYTES).size
                    expectThat(relay.hasPendingWork()).isTrue()
                    // Longer than the connection is kept for a caller that has received everything.
                    Thread.sleep(1_000)
                    received += input.readAllBytes().size
                    expectThat(received).isGreaterThan(LONG_BODY_BYTES)
                }
            }
        }
    }

    /** Guards against a process that ends while a response has not been sent or a request has not been read. */
    @Test
    fun `work is pending until every response has been sent`() {
        val mayEnd = CountDownLatch(1)
        val hasArrived = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            hasArrived.countDown()
            mayEnd.await()
            respond("200 OK", "x".repeat(LONG_BODY_BYTES))
        }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.hasPendingWork()).isFalse()
                val socket = relay.connect()
                socket.getOutputStream().write(requestText("/once/x", "").encodeToByteArray())
                hasArrived.await()
                expectThat(relay.hasPendingWork()).isTrue()
                mayEnd.countDown()
                var received = readUntilSent(relay, socket.getInputStream())
                expectThat(relay.active).isEqualTo(0)
                relay.closeCallers()
                received += socket.use { it.getInputStream().readAllBytes().size }
                expectThat(received).isGreaterThan(LONG_BODY_BYTES)
            }
        }
    }

    private fun readUntilSent(relay: RelayFixture, input: InputStream): Int {
        var received = 0
        while (relay.hasPendingWork()) {
            if (input.available() > 0) received += input.read(ByteArray(PIECE_BYTES))
            Thread.sleep(1)
        }
        return received
    }

    /** Guards against a request that is accepted although the process ends before it can be served. */
    @Test
    fun `a request that cannot end before the process does is refused at once`() {
        ScriptedTarget("a") { respond("200 OK", "too late") }.use { target ->
            RelayFixture(target).use { relay ->
                relay.stop(remainingMs = 1_000)
                val response = relay.call("/stream/x", "", "tokens: 10")
                expectThat(response?.startLine).isNotNull().contains(" 503 ")
                expectThat(response?.header("connection")).isEqualTo("close")
                expectThat(response?.header("retry-after")).isNotNull()
                expectThat(target.requests).isEmpty()
            }
        }
    }

    /** Guards against refusing requests that take far less time than their callers would wait. */
    @Test
    fun `a request that usually ends soon is served during the shutdown`() {
        ScriptedTarget("a") { respond("200 OK", "done") }.use { target ->
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.body).isEqualTo("done")
                relay.stop(remainingMs = 7_500)
                expectThat(relay.call("/once/x")?.body).isEqualTo("done")
            }
        }
    }

    /** Guards against requests that end with their connection because the process ends first. */
    @Test
    fun `requests without a response are answered before the process ends`() {
        val arrivals = CountDownLatch(FULL_TARGET_REQUESTS)
        val target = ScriptedTarget("a") {
            arrivals.countDown()
            Thread.sleep(HELD_MS)
        }
        target.use {
            RelayFixture(target).use { relay ->
                val sockets = List(FULL_TARGET_REQUESTS + 1) { number ->
                    if (number == FULL_TARGET_REQUESTS) arrivals.await()
                    relay.connect().also { it.getOutputStream().write(requestText("/once/x", "").encodeToByteArray()) }
                }
                while (relay.active <= FULL_TARGET_REQUESTS) Thread.sleep(1)
                relay.stop()
                relay.giveUpRequests()
                val statuses = sockets.map { socket ->
                    socket.use {
                        BufferedInputStream(it.getInputStream()).readMessageOrNull()?.startLine?.split(' ')?.get(1)
                    }
                }
                expectThat(statuses.take(FULL_TARGET_REQUESTS).toSet()).isEqualTo(setOf("502"))
                expectThat(statuses.last()).isEqualTo("503")
                expectThat(target.requests).hasSize(FULL_TARGET_REQUESTS)
            }
        }
    }

    /** Guards against a stream that is cut off although it ends before the process does. */
    @Test
    fun `a stream goes on while other requests are given up`() {
        val hasBegun = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            startStream()
            event(1)
            hasBegun.countDown()
            mayEnd.await()
            event(2)
            endStream()
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    val input = BufferedInputStream(socket.getInputStream())
                    socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                    hasBegun.await()
                    expectThat(String(input.readNBytes(HTTP_VERSION.length))).isEqualTo(HTTP_VERSION)
                    relay.stop()
                    relay.giveUpRequests()
                    mayEnd.countDown()
                    expectThat(
                        input.readMessageOrNull()?.body,
                    ).isNotNull().contains("token 2").not().contains(TRUNCATED)
                }
            }
        }
    }

    /** Guards against a stream that is cut off without a response because its target has sent no more than a head. */
    @Test
    fun `a stream without an event is answered before the process ends`() {
        answersStreamThatBegins { startStream() }
    }

    /** Guards against a stream that is cut off without a response because its target has sent comments only. */
    @Test
    fun `a stream with comments and without an event is answered before the process ends`() {
        answersStreamThatBegins {
            startStream()
            write("b\r\n: waiting\n\n\r\n")
        }
    }

    private fun answersStreamThatBegins(begin: ScriptedTarget.RequestScope.() -> Unit) {
        val hasBegun = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            begin()
            hasBegun.countDown()
            Thread.sleep(HELD_MS)
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                    hasBegun.await()
                    relay.stop()
                    Thread.sleep(PAUSE_MS)
                    relay.giveUpRequests()
                    val response = BufferedInputStream(socket.getInputStream()).readMessageOrNull()
                    expectThat(response?.startLine).isNotNull().contains(" 502 ")
                    expectThat(response?.header("connection")).isEqualTo("close")
                }
            }
        }
    }

    /** Guards against callers that connect in the last moments of a process, which ends before it answers them. */
    @Test
    fun `no connection is accepted once requests are given up`() {
        val haveBegun = CountDownLatch(2)
        val target = ScriptedTarget("a") {
            startStream()
            haveBegun.countDown()
            if (request.header("id") == "running") event(1)
            Thread.sleep(HELD_MS)
        }
        target.use {
            RelayFixture(target).use { relay ->
                val (running, waiting) = listOf("running", "waiting").map { id ->
                    relay.connect().also { socket ->
                        val text = requestText("/stream/x", "", "tokens: 10").replace("id: r1", "id: $id")
                        socket.getOutputStream().write(text.encodeToByteArray())
                    }
                }
                haveBegun.await()
                val stop = thread { relay.shutDown(GRACE_MS) }
                val response = BufferedInputStream(waiting.getInputStream()).readMessageOrNull()
                expectThat(response?.startLine).isNotNull().contains(" 502 ")
                expectCatching { relay.connect().close() }.isFailure()
                stop.join()
                listOf(running, waiting).forEach { it.close() }
            }
        }
    }

    /** Guards against a request without a response because its body arrived while the process gave requests up. */
    @Test
    fun `a request whose body arrives slowly is answered before the process ends`() {
        ScriptedTarget("a") { respond("200 OK", "too late") }.use { target ->
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    val output = socket.getOutputStream()
                    val head = "POST /stream/x HTTP/1.1\r\nHost: h\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n"
                    output.write("${head}4\r\nbody\r\n".encodeToByteArray())
                    while (relay.active == 0) Thread.sleep(1)
                    relay.stop(remainingMs = 300)
                    Thread.sleep(PAUSE_MS + 300)
                    relay.giveUpRequests()
                    output.write("0\r\n\r\n".encodeToByteArray())
                    val response = BufferedInputStream(socket.getInputStream()).readMessageOrNull()
                    expectThat(response?.startLine).isNotNull().contains(" 503 ")
                    expectThat(target.requests).isEmpty()
                }
            }
        }
    }

    /** Guards against a stream that is accepted late on an estimate, and is then cut off. */
    @Test
    fun `a stream is accepted late only if its timeout passes before the process ends`() {
        val target = ScriptedTarget("a") {
            startStream()
            event(1)
            endStream()
        }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/stream/x", "", "tokens: 10")?.startLine).isNotNull().contains(" 200 ")
                relay.stop(remainingMs = 7_500, estimatesForMs = 0)
                expectThat(relay.call("/stream/x", "", "tokens: 10")?.startLine).isNotNull().contains(" 503 ")
                val short = relay.call("/stream/x", "", "tokens: 10", "caller-timeout: 3000")
                expectThat(short?.startLine).isNotNull().contains(" 200 ")
            }
        }
    }

    /** Guards against a shutdown that leaves callers without a response, or does not end when it could. */
    @Test
    fun `a shutdown serves callers until the load balancer has removed the VM and then ends`() {
        ScriptedTarget("a") { respond("200 OK", "done") }.use { target ->
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.body).isEqualTo("done")
                relay.connect().use { idle ->
                    val startedNanos = System.nanoTime()
                    val shutdown = thread { relay.shutDown(graceMs = 30_000) }
                    Thread.sleep(1_000)
                    val response = relay.call("/once/x")
                    expectThat(response?.body).isEqualTo("done")
                    expectThat(response?.header("connection")).isEqualTo("close")
                    shutdown.join()
                    expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)).isLessThan(20_000)
                    expectThat(idle.getInputStream().read()).isEqualTo(-1)
                    expectCatching { relay.connect() }.isFailure()
                }
            }
        }
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096

        /** The requests that one plain target of the fixture may get at the same time. */
        const val FULL_TARGET_REQUESTS = 16
        const val HELD_MS = 5_000L

        /** Longer than the time until the load balancer has removed the VM, and shorter than [HELD_MS]. */
        const val GRACE_MS = 4_000L
        const val PAUSE_MS = 200L
        const val LONG_BODY_BYTES = 16 * 1_024 * 1_024
        const val PIECE_BYTES = 65_536
        const val HTTP_VERSION = "HTTP/1.1"
    }
}
