/*
 * The relay on real sockets, with misbehaving targets and callers.
 */
package fulmarshunt.caller.relay

import arrow.core.left
import arrow.core.right
import fulmarshunt.standin.UnresponsiveTarget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.io.BufferedInputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val WAIT_MS = 5_000L

private const val FIRST_EVENTS_MS = 100L

class RelayTest {
    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    private fun eventually(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "the condition did not hold within $WAIT_MS ms" }
            Thread.sleep(5)
        }
    }

    /** Starts a stream, calls [change] while it runs at one of [targets], and returns the body that arrived. */
    private fun RelayFixture.streamWhile(vararg targets: ScriptedTarget, change: (ScriptedTarget) -> Unit): String? =
        connect().use { socket ->
            socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
            eventually { targets.sumOf { it.requests.size } == 1 }
            // The first events reach the caller in this time.
            Thread.sleep(FIRST_EVENTS_MS)
            change(targets.first { it.requests.isNotEmpty() })
            BufferedInputStream(socket.getInputStream()).readMessageOrNull()?.body
        }

    /** Guards against a path, request body or response that is changed by the relay. */
    @Test
    fun `a request and its response are forwarded unchanged`() {
        ScriptedTarget("a") { respond("201 Created", "body of the response") }.use { target ->
            RelayFixture(target).use { relay ->
                val response = checkNotNull(relay.call("/once/x?y=1", "body"))
                expectThat(response.startLine).isEqualTo("HTTP/1.1 201 Created")
                expectThat(response.body).isEqualTo("body of the response")
                expectThat(response.header("stamp")).isEqualTo("1")
                expectThat(target.requests.single()) {
                    get { startLine }.isEqualTo("POST /once/x?y=1 HTTP/1.1")
                    get { body }.isEqualTo("body")
                }
                eventually { relay.use().isEmpty() }
            }
        }
    }

    /** Guards against a response that is forwarded to another request when a target responds twice. */
    @Test
    fun `a second response is not forwarded`() {
        val target = ScriptedTarget("a") {
            respond("200 OK", "response ${request.header("id")}")
            respond("200 OK", "second response ${request.header("id")}")
        }
        target.use {
            RelayFixture(target).use { relay ->
                repeat(5) { expectThat(relay.call("/once/x")?.body).isEqualTo("response r1") }
            }
        }
    }

    /** Guards against a late response to an earlier request that is mistaken for the response to this one. */
    @Test
    fun `a response with another id is discarded`() {
        val target = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: other\r\nstamp: 1\r\ncontent-length: 5\r\n\r\nwrong")
            respond("200 OK", "right")
        }
        target.use { RelayFixture(target).use { expectThat(it.call("/once/x")?.body).isEqualTo("right") } }
    }

    /** Guards against a success whose bytes do not come from the target. */
    @Test
    fun `a success without a stamp is a failure`() {
        val target = ScriptedTarget("a") { write("HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 2\r\n\r\nok") }
        target.use {
            RelayFixture(target).use { expectThat(it.call("/once/x")?.startLine).isNotNull().contains(" 502 ") }
        }
    }

    /** Guards against a request that runs twice, and against one that may have run but is reported as not run. */
    @Test
    fun `a request whose response is lost is not sent again if it must not run twice`() {
        val target = ScriptedTarget("a") { reset() }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 502 ")
                expectThat(target.requests).hasSize(1)
            }
        }
    }

    /** Guards against a failure that another target could have avoided. */
    @Test
    fun `an idempotent request is sent to another target`() {
        ScriptedTarget("bad") { respond("500 Internal Server Error", "no") }.use { bad ->
            ScriptedTarget("good") { respond("200 OK", "good") }.use { good ->
                RelayFixture(bad, good).use { relay ->
                    repeat(6) { expectThat(relay.call("/safe/x")?.body).isEqualTo("good") }
                }
            }
        }
    }

    /** Guards against the error response of a target that is replaced by a local response. */
    @Test
    fun `the last failure of the targets is forwarded`() {
        val target = ScriptedTarget("a") { respond("500 Internal Server Error", "failed") }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.body).isEqualTo("failed")
            }
        }
    }

    /** Guards against a caller that is told to retry while its request is running. */
    @Test
    fun `a refusal of the target is reported as not run`() {
        val target = ScriptedTarget("a") { respond("503 Service Unavailable", "full", "not-run: 1") }
        target.use {
            RelayFixture(target).use { relay ->
                val response = checkNotNull(relay.call("/once/x"))
                expectThat(response.startLine).contains(" 503 ")
                expectThat(response.header("retry-after")).isNotNull()
                expectThat(response.header("stamp")).isNull()
            }
        }
    }

    /** Guards against a truncated response that looks complete. */
    @Test
    fun `a truncated response is not complete`() {
        val target = ScriptedTarget("a") {
            startStream()
            (1..3).forEach { event(it) }
            reset()
        }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/stream/x", "", "tokens: 10")?.body).isNotNull().endsWith(TRUNCATED)
            }
        }
    }

    /** Guards against a response whose end cannot be distinguished from a reset. */
    @Test
    fun `a response without a length ends with its connection`() {
        val ordered = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\nall of it")
            socket.close()
        }
        ordered.use { RelayFixture(ordered).use { expectThat(it.call("/once/x")?.body).isEqualTo("all of it") } }
        val broken = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\npart of it")
            Thread.sleep(200)
            reset()
        }
        broken.use {
            RelayFixture(broken).use { expectThat(it.call("/once/x")?.startLine).isNotNull().contains(" 502 ") }
        }
    }

    /** Guards against a target that continues to work for a caller that has disconnected. */
    @Test
    fun `the disconnection of a caller reaches the target`() {
        val hasEnded = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            startStream()
            event(1)
            if (socket.getInputStream().read() < 0) hasEnded.countDown()
        }
        target.use {
            RelayFixture(target).use { relay ->
                val socket = relay.connect()
                socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                socket.getInputStream().read()
                socket.close()
                expectThat(hasEnded.await(WAIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(true)
                eventually { relay.use().isEmpty() && relay.active == 0 }
            }
        }
    }

    /** Guards against request smuggling: a reader with another view of the end would run a hidden request. */
    @Test
    fun `requests whose end is ambiguous are refused`() {
        val target = ScriptedTarget("a") { respond("200 OK", "ran") }
        target.use {
            RelayFixture(target).use { relay ->
                val ambiguous = listOf(
                    "content-length: 4\r\ntransfer-encoding: chunked",
                    "content-length: 4\r\ncontent-length: 5",
                    "transfer-encoding: xchunked",
                    "transfer-encoding: chunked, identity",
                )
                for (headers in ambiguous) {
                    val response = relay.connect().use { socket ->
                        val text = "POST /once/x HTTP/1.1\r\nHost: h\r\nid: r1\r\n$headers\r\n\r\n0\r\n\r\n"
                        socket.getOutputStream().write(text.encodeToByteArray())
                        BufferedInputStream(socket.getInputStream()).readMessageOrNull()
                    }
                    expectThat(response?.startLine).isNotNull().startsWith("HTTP/1.1 400")
                }
                expectThat(target.requests).hasSize(0)
            }
        }
    }

    /** Guards against bytes after the response to HEAD, which the caller reads as the next response. */
    @Test
    fun `the response to HEAD on a stream route has no body`() {
        for (framing in listOf("transfer-encoding: chunked", "content-length: 70", "x: y")) {
            val target = ScriptedTarget("a") {
                if (request.startLine.startsWith("HEAD")) {
                    write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n$framing\r\n\r\n")
                } else {
                    respond("200 OK", "done")
                }
            }
            target.use {
                RelayFixture(target).use { relay ->
                    relay.connect().use { socket ->
                        val input = BufferedInputStream(socket.getInputStream())
                        val head = "HEAD /stream/x HTTP/1.1\r\nHost: h\r\nid: r1\r\n\r\n"
                        socket.getOutputStream().write(head.encodeToByteArray())
                        val lines = generateSequence { input.readLineOrNull() }.takeWhile { it.isNotEmpty() }.toList()
                        expectThat(lines.first()).isEqualTo("HTTP/1.1 200 OK")
                        socket.getOutputStream().write(requestText("/once/x", "").encodeToByteArray())
                        expectThat(input.readMessageOrNull()?.startLine).isEqualTo("HTTP/1.1 200 OK")
                    }
                }
            }
        }
    }

    /** Guards against a long body that is buffered completely, truncated or mixed with the next request. */
    @Test
    fun `a long body is forwarded in pieces and bounded`() {
        val target = ScriptedTarget("a") { respond("200 OK", request.body.length.toString()) }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x", "x".repeat(150_000))?.body).isEqualTo("150000")
                expectThat(relay.call("/once/x", "x".repeat(250_000))?.startLine).isNotNull().contains(" 413 ")
                expectThat(target.requests).hasSize(1)
            }
        }
    }

    /** Guards against events that a caller gets twice, or that are missing, after its run has continued elsewhere. */
    @Test
    fun `a run that continues at the wrong event neither repeats nor leaves out events`() {
        for (offset in -3..2) {
            val expected = if (offset <= 0) events(1..6) else events(1..3) + TRUNCATED
            expectThat(streamContinuedAt(offset)).isEqualTo(expected)
        }
    }

    /** Returns what a caller gets of a run that continues [offset] events after the one that follows the last. */
    private fun streamContinuedAt(offset: Int): String? {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            startStream()
            val first = if (resume == null) 1 else resume.substringAfter('@').toInt() + 1 + offset
            (first..if (resume == null) 3 else 6).forEach { event(it) }
            if (resume == null) reset() else endStream()
        }
        return ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay -> relay.call("/stream/x", "", "tokens: 10")?.body }
            }
        }
    }

    /** Guards against a stream that ends with its target although another target has a copy of its memory. */
    @Test
    fun `a stream continues from its copy when its target is lost`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            startStream()
            if (resume == null) {
                (1..3).forEach { event(it) }
                reset()
            } else {
                (resume.substringAfter('@').toInt() + 1..6).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    expectThat(relay.call("/stream/x", "", "tokens: 10")?.body).isEqualTo(events(1..6))
                    eventually { relay.use().isEmpty() }
                }
            }
        }
    }

    /** Guards against a new run that ends with its target although its copy arrived shortly after the notice. */
    @Test
    fun `a copy that is refused at first is tried again`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            if (resume == null) {
                startStream()
                event(1)
                Thread.sleep(WAIT_MS)
            } else if (number == 1) {
                respond("503 Service Unavailable", "no copy yet", "not-run: 1")
            } else {
                startStream()
                (resume.substringAfter('@').toInt() + 1..4).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    val body = relay.streamWhile(a, b) { source -> relay.leave(source) }
                    expectThat(body).isEqualTo(events(1..4))
                }
            }
        }
    }

    /** Guards against a run that ends with its target although most of its memory was copied before. */
    @Test
    fun `a run whose target is lost during its migration continues from what was copied`() {
        val lost = CountDownLatch(1)
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            startStream()
            if (resume == null) {
                (1..2).forEach { event(it) }
                lost.await(WAIT_MS, TimeUnit.MILLISECONDS)
                reset()
            } else {
                (resume.substringAfter('@').toInt() + 1..5).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    relay.leave(b)
                    relay.migrate = { _, _, _, isLast ->
                        if (isLast) {
                            lost.countDown()
                            MoveFailure.NoResponse("the connection is closed").left()
                        } else {
                            Moved("h1", null).right()
                        }
                    }
                    val body = relay.streamWhile(a, b) {
                        relay.ready(b)
                        relay.leave(a)
                    }
                    expectThat(body).isEqualTo(events(1..5))
                    expectThat(b.requests.single().header("resume")).isEqualTo("${relay.addressOf(a)}/h1@2")
                }
            }
        }
    }

    /** Guards against an unusable copy that ends a run that still works. */
    @Test
    fun `a stream stays where it is when its copy is refused`() {
        val refused = CountDownLatch(1)
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            if (request.header("resume") != null) {
                respond("503 Service Unavailable", "no copy", "not-run: 1")
                refused.countDown()
            } else {
                startStream()
                (1..2).forEach { event(it) }
                refused.await(WAIT_MS, TimeUnit.MILLISECONDS)
                (3..4).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    val body = relay.streamWhile(a, b) { source -> relay.leave(source) }
                    expectThat(body).isEqualTo(events(1..4))
                }
            }
        }
    }

    /** Guards against a run that continues at a target that it must leave again at once. */
    @Test
    fun `a copy at a leaving target is not used`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            startStream()
            (1..2).forEach { event(it) }
            Thread.sleep(400)
            event(3)
            endStream()
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    val body = relay.streamWhile(a, b) { source ->
                        relay.leave(if (source === a) b else a)
                        relay.leave(source)
                    }
                    expectThat(body).isEqualTo(events(1..3))
                    expectThat(a.requests.size + b.requests.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against a run that continues in a failure domain that was drained after its copy was made there. */
    @Test
    fun `a copy in a drained domain is not used`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            startStream()
            (1..2).forEach { event(it) }
            Thread.sleep(400)
            event(3)
            endStream()
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    val body = relay.streamWhile(a, b) { source ->
                        relay.drain()
                        relay.leave(source)
                    }
                    expectThat(body).isEqualTo(events(1..3))
                    expectThat(a.requests.size + b.requests.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against events that are lost or duplicated when a run is migrated. */
    @Test
    fun `a stream without a copy is migrated when its target leaves`() {
        val stopped = CountDownLatch(1)
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            startStream()
            if (resume == null) {
                (1..2).forEach { event(it) }
                stopped.await(WAIT_MS, TimeUnit.MILLISECONDS)
                event(3)
                socket.close()
            } else {
                (resume.substringAfter('@').toInt() + 1..5).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            // Without another target when it starts, the run gets no copy.
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    relay.leave(b)
                    val copies = CopyOnWriteArrayList<Boolean>()
                    relay.migrate = { _, _, _, isLast ->
                        copies += isLast
                        if (isLast) stopped.countDown()
                        Moved("h1", null).right()
                    }
                    val body = relay.streamWhile(a, b) {
                        relay.ready(b)
                        relay.leave(a)
                    }
                    expectThat(body).isEqualTo(events(1..5))
                    expectThat(b.requests.single().header("resume")).isEqualTo("${relay.addressOf(a)}/h1@3")
                    // The run stops only for the last copy, which must not be queued behind first copies of other runs.
                    expectThat(copies.toList()).isEqualTo(listOf(false, false, true))
                }
            }
        }
    }

    /** Guards against callers that use up their retries while a new process receives its first configuration. */
    @Test
    fun `a request waits for the first configuration, but not for long`() {
        ScriptedTarget("a") { respond("200 OK", "ran") }.use { target ->
            RelayFixture(target).use { relay ->
                relay.configure(false)
                val refused = checkNotNull(relay.call("/once/x", "", "caller-timeout: 400"))
                expectThat(refused.startLine).contains(" 503 ")
                expectThat(refused.header("retry-after")).isNotNull()
                val socket = relay.connect()
                socket.getOutputStream().write(requestText("/once/x", "", "caller-timeout: 24000").encodeToByteArray())
                eventually { relay.active == 1 }
                relay.configure(true)
                expectThat(BufferedInputStream(socket.getInputStream()).readMessageOrNull()?.body).isEqualTo("ran")
            }
        }
    }

    /** Guards against requests that are held until their caller has given up. */
    @Test
    fun `a caller gets a response when its timeout has passed`() {
        val target = ScriptedTarget("a") { Thread.sleep(WAIT_MS) }
        target.use {
            RelayFixture(target).use { relay ->
                val startedNanos = System.nanoTime()
                expectThat(relay.call("/once/x", "", "caller-timeout: 300")?.startLine).isNotNull().contains(" 504 ")
                val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
                expectThat(tookMs).isLessThan(WAIT_MS)
                expectThat(target.requests.single().header("remaining-ms")?.toInt()).isNotNull().isLessThan(301)
            }
        }
    }

    /** Guards against callers that must not repeat a request that has reached no target (504). */
    @Test
    fun `a request that was sent to no target has not run when its timeout has passed`() {
        ScriptedTarget("a") { respond("200 OK", "ran") }.use { target ->
            UnresponsiveTarget().use { unresponsive ->
                RelayFixture(target).use { relay ->
                    relay.announceAt(target, unresponsive.address)
                    for (path in listOf("/safe/x", "/once/x", "/stream/x")) {
                        val response = checkNotNull(relay.call(path, "", "caller-timeout: 300"))
                        expectThat(response.startLine).contains(" 503 ")
                        expectThat(response.header("retry-after")).isNotNull()
                    }
                }
            }
        }
    }
}
