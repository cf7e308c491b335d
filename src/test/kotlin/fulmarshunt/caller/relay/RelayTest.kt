/*
 * The relay on real sockets, with targets and callers that misbehave.
 */
package fulmarshunt.caller.relay

import arrow.core.left
import arrow.core.right
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

    /** Starts a stream, lets [change] happen while it runs at one of [targets], and returns the body that arrived. */
    private fun RelayFixture.streamWhile(vararg targets: ScriptedTarget, change: (ScriptedTarget) -> Unit): String? =
        connect().use { socket ->
            socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
            eventually { targets.sumOf { it.requests.size } == 1 }
            // The first events reach the caller meanwhile.
            Thread.sleep(FIRST_EVENTS_MS)
            change(targets.first { it.requests.isNotEmpty() })
            BufferedInputStream(socket.getInputStream()).readMessageOrNull()?.body
        }

    /** Guards against a path, body or answer that is changed on the way. */
    @Test
    fun `a request and its answer are passed on unchanged`() {
        ScriptedTarget("a") { answer("201 Created", "body of the answer") }.use { target ->
            RelayFixture(target).use { site ->
                val answer = checkNotNull(site.call("/once/x?y=1", "body"))
                expectThat(answer.startLine).isEqualTo("HTTP/1.1 201 Created")
                expectThat(answer.body).isEqualTo("body of the answer")
                expectThat(answer.header("stamp")).isEqualTo("1")
                expectThat(target.requests.single()) {
                    get { startLine }.isEqualTo("POST /once/x?y=1 HTTP/1.1")
                    get { body }.isEqualTo("body")
                }
                eventually { site.use().isEmpty() }
            }
        }
    }

    /** Guards against an answer that is given to another request, when a target answers twice. */
    @Test
    fun `a second answer reaches nobody`() {
        val target = ScriptedTarget("a") {
            answer("200 OK", "answer ${request.header("id")}")
            answer("200 OK", "second answer ${request.header("id")}")
        }
        target.use {
            RelayFixture(target).use { site ->
                repeat(5) { expectThat(site.call("/once/x")?.body).isEqualTo("answer r1") }
            }
        }
    }

    /** Guards against a late answer to a former request that is taken for the answer to this one. */
    @Test
    fun `an answer with another id is dropped`() {
        val target = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: other\r\nstamp: 1\r\ncontent-length: 5\r\n\r\nwrong")
            answer("200 OK", "right")
        }
        target.use { RelayFixture(target).use { expectThat(it.call("/once/x")?.body).isEqualTo("right") } }
    }

    /** Guards against bytes without proof of their origin that look like a success. */
    @Test
    fun `a success without a stamp is a failure`() {
        val target = ScriptedTarget("a") { write("HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 2\r\n\r\nok") }
        target.use { RelayFixture(target).use { expectThat(it.call("/once/x")?.startLine).isNotNull().contains(" 502 ") } }
    }

    /** Guards against a request that runs twice, and against "not run" for one that may have run. */
    @Test
    fun `a lost answer is not sent again if it must not run twice`() {
        val target = ScriptedTarget("a") { reset() }
        target.use {
            RelayFixture(target).use { site ->
                expectThat(site.call("/once/x")?.startLine).isNotNull().contains(" 502 ")
                expectThat(target.requests).hasSize(1)
            }
        }
    }

    /** Guards against a failure that another target would have made good. */
    @Test
    fun `an idempotent request is sent to another target`() {
        ScriptedTarget("bad") { answer("500 Internal Server Error", "no") }.use { bad ->
            ScriptedTarget("good") { answer("200 OK", "good") }.use { good ->
                RelayFixture(bad, good).use { site ->
                    repeat(6) { expectThat(site.call("/safe/x")?.body).isEqualTo("good") }
                }
            }
        }
    }

    /** Guards against a failed target's answer that is replaced by one of our own. */
    @Test
    fun `the last failure of the targets is passed on`() {
        val target = ScriptedTarget("a") { answer("500 Internal Server Error", "failed") }
        target.use {
            RelayFixture(target).use { site ->
                expectThat(site.call("/once/x")?.body).isEqualTo("failed")
            }
        }
    }

    /** Guards against a caller that is told to come back when its request runs already. */
    @Test
    fun `a refusal of the target is passed on as not run`() {
        val target = ScriptedTarget("a") { answer("503 Service Unavailable", "full", "not-run: 1") }
        target.use {
            RelayFixture(target).use { site ->
                val answer = checkNotNull(site.call("/once/x"))
                expectThat(answer.startLine).contains(" 503 ")
                expectThat(answer.header("retry-after")).isNotNull()
                expectThat(answer.header("stamp")).isNull()
            }
        }
    }

    /** Guards against an answer that breaks off and looks complete. */
    @Test
    fun `an answer that breaks off is not complete`() {
        val target = ScriptedTarget("a") {
            startStream()
            (1..3).forEach { event(it) }
            reset()
        }
        target.use {
            RelayFixture(target).use { site ->
                expectThat(site.call("/stream/x", "", "tokens: 10")?.body).isNotNull().endsWith(BROKEN_OFF)
            }
        }
    }

    /** Guards against an answer whose end cannot be told from a reset. */
    @Test
    fun `an answer without a length ends with its connection`() {
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

    /** Guards against a target that goes on working for a caller that has left. */
    @Test
    fun `a caller's leaving reaches the target`() {
        val hasEnded = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            startStream()
            event(1)
            if (socket.getInputStream().read() < 0) hasEnded.countDown()
        }
        target.use {
            RelayFixture(target).use { site ->
                val socket = site.connect()
                socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                socket.getInputStream().read()
                socket.close()
                expectThat(hasEnded.await(WAIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(true)
                eventually { site.use().isEmpty() && site.active == 0 }
            }
        }
    }

    /** Guards against a request hidden in another one, which readers that disagree about its end would run. */
    @Test
    fun `requests whose end is not clear are refused`() {
        val target = ScriptedTarget("a") { answer("200 OK", "ran") }
        target.use {
            RelayFixture(target).use { site ->
                val unclear = listOf(
                    "content-length: 4\r\ntransfer-encoding: chunked",
                    "content-length: 4\r\ncontent-length: 5",
                    "transfer-encoding: xchunked",
                    "transfer-encoding: chunked, identity",
                )
                for (headers in unclear) {
                    val answer = site.connect().use { socket ->
                        val text = "POST /once/x HTTP/1.1\r\nHost: h\r\nid: r1\r\n$headers\r\n\r\n0\r\n\r\n"
                        socket.getOutputStream().write(text.encodeToByteArray())
                        BufferedInputStream(socket.getInputStream()).readMessageOrNull()
                    }
                    expectThat(answer?.startLine).isNotNull().startsWith("HTTP/1.1 400")
                }
                expectThat(target.requests).hasSize(0)
            }
        }
    }

    /** Guards against a long body that is kept whole, cut or mixed with the next request. */
    @Test
    fun `a long body is passed on in pieces and bounded`() {
        val target = ScriptedTarget("a") { answer("200 OK", request.body.length.toString()) }
        target.use {
            RelayFixture(target).use { site ->
                expectThat(site.call("/once/x", "x".repeat(150_000))?.body).isEqualTo("150000")
                expectThat(site.call("/once/x", "x".repeat(250_000))?.startLine).isNotNull().contains(" 413 ")
                expectThat(target.requests).hasSize(1)
            }
        }
    }

    /** Guards against a stream that ends with its target although its memory lies at another. */
    @Test
    fun `a stream goes on from its copy when its target is lost`() {
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
                RelayFixture(a, b).use { site ->
                    expectThat(site.call("/stream/x", "", "tokens: 10")?.body).isEqualTo(events(1..6))
                    eventually { site.use().isEmpty() }
                }
            }
        }
    }

    /** Guards against a young run that ends with its target although its copy arrived a moment after the notice. */
    @Test
    fun `a copy that is refused at first is asked for again`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val resume = request.header("resume")
            if (resume == null) {
                startStream()
                event(1)
                Thread.sleep(WAIT_MS)
            } else if (number == 1) {
                answer("503 Service Unavailable", "no copy yet", "not-run: 1")
            } else {
                startStream()
                (resume.substringAfter('@').toInt() + 1..4).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { site ->
                    val body = site.streamWhile(a, b) { source -> site.leave(source) }
                    expectThat(body).isEqualTo(events(1..4))
                }
            }
        }
    }

    /** Guards against a run that ends with its target although most of its memory was copied before. */
    @Test
    fun `a run whose target is lost during its migrate goes on from what was copied`() {
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
                RelayFixture(a, b).use { site ->
                    site.leave(b)
                    site.moves = { _, _, _, isLast ->
                        if (isLast) {
                            lost.countDown()
                            MoveFailure("the connection is closed", null).left()
                        } else {
                            Moved("h1", null).right()
                        }
                    }
                    val body = site.streamWhile(a, b) {
                        site.ready(b)
                        site.leave(a)
                    }
                    expectThat(body).isEqualTo(events(1..5))
                    expectThat(b.requests.single().header("resume")).isEqualTo("${site.addressOf(a)}/h1@2")
                }
            }
        }
    }

    /** Guards against a copy that cannot be used and costs the run that still works. */
    @Test
    fun `a stream stays where it is when its copy is refused`() {
        val left = CountDownLatch(1)
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            if (request.header("resume") != null) {
                answer("503 Service Unavailable", "no copy", "not-run: 1")
                left.countDown()
            } else {
                startStream()
                (1..2).forEach { event(it) }
                left.await(WAIT_MS, TimeUnit.MILLISECONDS)
                (3..4).forEach { event(it) }
                endStream()
            }
        }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { site ->
                    val body = site.streamWhile(a, b) { source -> site.leave(source) }
                    expectThat(body).isEqualTo(events(1..4))
                }
            }
        }
    }

    /** Guards against a run that goes on where it must leave again at once. */
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
                RelayFixture(a, b).use { site ->
                    val body = site.streamWhile(a, b) { source ->
                        site.leave(if (source === a) b else a)
                        site.leave(source)
                    }
                    expectThat(body).isEqualTo(events(1..3))
                    expectThat(a.requests.size + b.requests.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against a run that goes on in a failure domain that was drained after its copy was made there. */
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
                RelayFixture(a, b).use { site ->
                    val body = site.streamWhile(a, b) { source ->
                        site.drain()
                        site.leave(source)
                    }
                    expectThat(body).isEqualTo(events(1..3))
                    expectThat(a.requests.size + b.requests.size).isEqualTo(1)
                }
            }
        }
    }

    /** Guards against a run that is moved with events lost or doubled between its targets. */
    @Test
    fun `a stream without a copy is moved when its target leaves`() {
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
                RelayFixture(a, b).use { site ->
                    site.leave(b)
                    val copies = CopyOnWriteArrayList<Boolean>()
                    site.moves = { _, _, _, isLast ->
                        copies += isLast
                        if (isLast) stopped.countDown()
                        Moved("h1", null).right()
                    }
                    val body = site.streamWhile(a, b) {
                        site.ready(b)
                        site.leave(a)
                    }
                    expectThat(body).isEqualTo(events(1..5))
                    expectThat(b.requests.single().header("resume")).isEqualTo("${site.addressOf(a)}/h1@3")
                    // The run stops only for the last copy, which must not wait behind the first copies of others.
                    expectThat(copies.toList()).isEqualTo(listOf(false, false, true))
                }
            }
        }
    }

    /** Guards against callers that use up their repeats while a process that has just started is told its routes. */
    @Test
    fun `a request waits for the first configuration, but not for long`() {
        ScriptedTarget("a") { answer("200 OK", "ran") }.use { target ->
            RelayFixture(target).use { site ->
                site.configure(false)
                val refused = checkNotNull(site.call("/once/x", "", "patience: 400"))
                expectThat(refused.startLine).contains(" 503 ")
                expectThat(refused.header("retry-after")).isNotNull()
                val socket = site.connect()
                socket.getOutputStream().write(requestText("/once/x", "", "patience: 24000").encodeToByteArray())
                eventually { site.active == 1 }
                site.configure(true)
                expectThat(BufferedInputStream(socket.getInputStream()).readMessageOrNull()?.body).isEqualTo("ran")
            }
        }
    }

    /** Guards against requests that are held until their caller gives up. */
    @Test
    fun `a caller is answered when its time is up`() {
        val target = ScriptedTarget("a") { Thread.sleep(WAIT_MS) }
        target.use {
            RelayFixture(target).use { site ->
                val startedNanos = System.nanoTime()
                expectThat(site.call("/once/x", "", "patience: 300")?.startLine).isNotNull().contains(" 504 ")
                val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
                expectThat(tookMs).isLessThan(WAIT_MS)
                expectThat(target.requests.single().header("time-left")?.toInt()).isNotNull().isLessThan(301)
            }
        }
    }
}
