/*
 * Requests whose bodies are longer than the part that the relay buffers, and those just below that length, through the
 * relay on real sockets.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Address
import fulmarshunt.target.fleet.CrashReportTable
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.BufferedInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val WAIT_MS = 5_000L
private const val CRASHING_END = "crash"

/** The time in which a request reaches a target that has room. */
private const val ARRIVAL_MS = 250L

/** Lengths on both sides of what is buffered. */
private val LENGTHS = listOf(
    MAX_BUFFERED_BODY_BYTES - 1,
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES + 1,
    MAX_BUFFERED_BODY_BYTES + 3_000,
    150_000,
)

class LongBodyTest {
    private fun eventually(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "the condition did not hold within $WAIT_MS ms" }
            Thread.sleep(5)
        }
    }

    private fun bodyOf(length: Int, end: String) = "a".repeat(length - end.length) + end

    private fun chunkedText(path: String, body: String) =
        "POST $path HTTP/1.1\r\nHost: h\r\nid: r1\r\ntransfer-encoding: chunked\r\n\r\n" +
            body.chunked(7_001).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"

    private fun textOf(path: String, body: String, isChunked: Boolean) =
        if (isChunked) chunkedText(path, body) else requestText(path, body)

    private fun RelayFixture.send(path: String, body: String, isChunked: Boolean): Socket =
        connect().also { it.getOutputStream().write(textOf(path, body, isChunked).encodeToByteArray()) }

    private fun RelayFixture.exchange(path: String, body: String, isChunked: Boolean): RawMessage? =
        send(path, body, isChunked).use { BufferedInputStream(it.getInputStream()).readMessageOrNull() }

    /** Sends short requests until one waits because [target] has no room. */
    private fun RelayFixture.fill(target: ScriptedTarget): List<Socket> = buildList {
        while (size == target.requests.size) {
            add(send("/once/x", "short", isChunked = false))
            val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ARRIVAL_MS)
            while (size > target.requests.size && System.nanoTime() < endNanos) Thread.sleep(1)
        }
    }

    /** Calls [use] with the relay of [targets], and ends all of them. */
    private fun relaying(vararg targets: ScriptedTarget, use: (RelayFixture) -> Unit) = try {
        RelayFixture(*targets).use(use)
    } finally {
        targets.forEach { it.close() }
    }

    /** Guards against long requests that crash one target after the other, and against refusing all others. */
    @Test
    fun `a request of any length that has crashed three targets is refused`() {
        LENGTHS.flatMap { listOf(it to "/once/x", it to "/stream/x") }.forEach { (length, path) ->
            val crashes = AtomicInteger()
            val targets = Array(4) {
                ScriptedTarget("t$it") {
                    if (request.body.endsWith(CRASHING_END)) crashes.incrementAndGet()
                    if (request.body.endsWith(CRASHING_END)) crash() else respond("200 OK", "id: 0\ndata: x\n\n")
                }
            }
            relaying(*targets) { relay ->
                val table = CrashReportTable()
                while (crashes.get() < 3) {
                    relay.exchange(path, bodyOf(length, CRASHING_END), isChunked = crashes.get() % 2 == 1)
                    eventually { relay.crashReports().size >= crashes.get() }
                    relay.exchangeCrashReports(table)
                }
                listOf(false, true).forEach { relay.expectRefusal(path, length, isChunked = it) }
                expectThat(crashes.get()).isEqualTo(3)
            }
        }
    }

    private fun RelayFixture.expectRefusal(path: String, length: Int, isChunked: Boolean) {
        val refused = exchange(path, bodyOf(length, CRASHING_END), isChunked)
        expectThat(refused?.startLine).isNotNull().contains(" 503 ")
        expectThat(refused?.body).isEqualTo("the request has crashed several targets")
        val sound = exchange(path, bodyOf(length, "sound"), isChunked)
        expectThat(sound?.startLine).isNotNull().contains(" 200 ")
    }

    /** Guards against targets that work on for callers that have left after a long body. */
    @Test
    fun `a target learns that its caller has left`() {
        for (path in listOf("/safe/x", "/stream/x")) {
            LENGTHS.flatMap { listOf(it to false, it to true) }.forEach { (length, isChunked) ->
                val hasArrived = CountDownLatch(1)
                val isDropped = CountDownLatch(1)
                val target = ScriptedTarget("a") {
                    if (path == "/stream/x") startStream()
                    hasArrived.countDown()
                    if (socket.getInputStream().read() < 0) isDropped.countDown()
                }
                relaying(target) { relay ->
                    val caller = relay.send(path, bodyOf(length, "x"), isChunked)
                    expectThat(hasArrived.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue()
                    caller.close()
                    expectThat(isDropped.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue()
                }
            }
        }
    }

    /** Guards against a caller that is not missed because its target does not read the body. */
    @Test
    fun `a target that does not read a long body learns that its caller has left`() {
        val target = ScriptedTarget("a") { }
        val slow = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).apply { receiveBufferSize = 4_096 }
        relaying(target) { relay ->
            relay.announceAt(target, Address("127.0.0.1", slow.localPort))
            val caller = relay.send("/once/x", bodyOf(190_000, "x"), isChunked = false)
            val accepted = slow.accept()
            expectThat(accepted.getInputStream().read()).isEqualTo('P'.code)
            caller.close()
            eventually { relay.active == 0 }
            accepted.close()
        }
        slow.close()
    }

    /** Guards against requests that reach targets after their callers have left while they waited for a place. */
    @Test
    fun `a request whose caller leaves while it waits reaches no target`() {
        for (isChunked in listOf(false, true)) {
            val mayEnd = CountDownLatch(1)
            val target = ScriptedTarget("a") {
                mayEnd.await(WAIT_MS, TimeUnit.MILLISECONDS)
                respond("200 OK", "done")
            }
            target.use {
                RelayFixture(target).use { relay ->
                    val others = relay.fill(target)
                    val leaver = relay.send("/once/x", bodyOf(150_000, "leaver"), isChunked)
                    eventually { relay.active == others.size + 1 }
                    leaver.close()
                    eventually { relay.active == others.size }
                    mayEnd.countDown()
                    others.forEach { socket ->
                        expectThat(BufferedInputStream(socket.getInputStream()).readMessageOrNull()?.body)
                            .isEqualTo("done")
                        socket.close()
                    }
                    expectThat(target.requests).hasSize(others.size)
                }
            }
        }
    }

    /** Guards against long bodies that are damaged because they were read ahead, and against unread rests. */
    @Test
    fun `a long body that has waited arrives unchanged, and its connection is kept`() {
        val body = (0 until 150_000).map { 'a' + it % 26 }.joinToString("")
        for (isChunked in listOf(false, true)) {
            val mayEnd = CountDownLatch(1)
            val target = ScriptedTarget("a") {
                if (request.body == "short") mayEnd.await(WAIT_MS, TimeUnit.MILLISECONDS)
                respond("200 OK", "done")
            }
            target.use {
                RelayFixture(target).use { relay ->
                    val others = relay.fill(target)
                    relay.send("/once/x", body, isChunked).use { socket ->
                        eventually { relay.active == others.size + 1 }
                        mayEnd.countDown()
                        val input = BufferedInputStream(socket.getInputStream())
                        expectThat(input.readMessageOrNull()?.body).isEqualTo("done")
                        expectThat(target.requests.count { it.body == body }).isEqualTo(1)
                        socket.getOutputStream().write(requestText("/once/x", "again").encodeToByteArray())
                        expectThat(input.readMessageOrNull()?.body).isEqualTo("done")
                    }
                    others.forEach { it.close() }
                }
            }
        }
    }

    /** Guards against a long request that is given up because its first target accepts no connection. */
    @Test
    fun `a long body goes to another target if the first one cannot be reached`() {
        val gone = ScriptedTarget("a") { }
        val target = ScriptedTarget("b") { respond("200 OK", "done") }
        target.use {
            RelayFixture(gone, target).use { relay ->
                gone.close()
                for (attempt in 1..4) {
                    val response = relay.exchange("/once/x", bodyOf(150_000, "$attempt"), isChunked = attempt % 2 == 0)
                    expectThat(response?.startLine).isNotNull().contains(" 200 ")
                }
                expectThat(target.requests.any { it.body.length != 150_000 }).isFalse()
            }
        }
    }

    /** Guards against requests that wait although their bodies cannot be served. */
    @Test
    fun `a body that turns out to be too long is refused while it waits`() {
        val mayEnd = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            mayEnd.await(WAIT_MS, TimeUnit.MILLISECONDS)
            respond("200 OK", "done")
        }
        target.use {
            RelayFixture(target).use { relay ->
                val others = relay.fill(target)
                val response = relay.exchange("/once/x", "a".repeat(300_000), isChunked = true)
                expectThat(response?.startLine).isNotNull().contains(" 413 ")
                expectThat(mayEnd.count).isEqualTo(1L)
                mayEnd.countDown()
                others.forEach { it.close() }
            }
        }
    }
}
