/*
 * The server for callers over loopback sockets while the process shuts down.
 */
package fulmarshunt.caller.http

import fulmarshunt.caller.FinishClaim
import fulmarshunt.caller.relay.readMessageOrNull
import fulmarshunt.faults.awaitThat
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseHead
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.SequenceInputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val LONG_LIMIT_MS = 60_000L
private const val CALLERS = 8
private const val LONG_BODY_BYTES = 6_000_000
private const val PIECE_BYTES = 4_096
private const val RECEIVE_BUFFER_BYTES = 8_192
private const val UNKNOWN = "\"ran\":\"unknown\""

@Timeout(60)
class CallerServerTest {
    /** Guards against callers that keep using a connection of a process that is about to end. */
    @Test
    fun `a response during the shutdown announces the end of its connection`() {
        CallerServerFixture { _, receiver -> receiver.respond("done") }.use { fixture ->
            fixture.connect().use { socket ->
                val input = BufferedInputStream(socket.getInputStream())
                socket.sendRequest("x")
                expectThat(input.readMessageOrNull()).isNotNull().and {
                    get { body }.isEqualTo("done")
                    get { header("connection") }.isEqualTo(null)
                }
                fixture.gracefulStop.begin()
                socket.sendRequest("x")
                expectThat(input.readMessageOrNull()).isNotNull().and {
                    get { body }.isEqualTo("done")
                    get { header("connection") }.isEqualTo("close")
                }
            }
        }
    }

    /** Guards against a request that is lost because the response before it announced no end of the connection. */
    @Test
    fun `a request after a response that began before the shutdown is refused with an answer`() {
        val hasBegun = CountDownLatch(1)
        val mayEnd = CompletableDeferred<Unit>()
        val fixture = CallerServerFixture { _, receiver ->
            receiver.onHead(PlainResponseHead(200, "text/plain"))
            receiver.onBytes("a".encodeToByteArray())
            hasBegun.countDown()
            mayEnd.await()
            receiver.onBytes("b".encodeToByteArray())
            PlainOutcome.Completed
        }
        fixture.use {
            fixture.connect().use { socket ->
                val input = BufferedInputStream(socket.getInputStream())
                socket.sendRequest("x")
                hasBegun.await()
                fixture.gracefulStop.refuseRequests()
                mayEnd.complete(Unit)
                expectThat(input.readMessageOrNull()?.body).isEqualTo("ab")
                socket.sendRequest("x")
                expectThat(input.readMessageOrNull()).isNotNull().and {
                    get { startLine }.contains(" 503 ")
                    get { header("connection") }.isEqualTo("close")
                    get { header("retry-after") }.isNotNull()
                    get { body }.contains(NOT_RUN)
                }
            }
        }
    }

    /** Guards against the loss of the end of a response whose caller reads slowly. */
    @Test
    fun `the server stops only after the last response has been sent`() {
        val body = "x".repeat(LONG_BODY_BYTES)
        val hasArrived = CountDownLatch(1)
        val hasFinished = CountDownLatch(1)
        val fixture = CallerServerFixture { _, receiver ->
            hasArrived.countDown()
            receiver.respond(body)
        }
        fixture.use {
            fixture.connect(RECEIVE_BUFFER_BYTES).use { socket ->
                socket.sendRequest("x")
                hasArrived.await()
                val stopping = thread {
                    runBlocking {
                        fixture.server.finishRequests(LONG_LIMIT_MS)
                        hasFinished.countDown()
                        fixture.server.stop()
                    }
                }
                val input = socket.getInputStream()
                val received = ByteArrayOutputStream()
                while (hasFinished.count > 0) {
                    received.write(input.readNBytes(PIECE_BYTES))
                    Thread.sleep(1)
                }
                // Ends early if the server does not wait for this caller.
                stopping.join(1_000)
                val all = SequenceInputStream(received.toByteArray().inputStream(), input)
                expectThat(all.readMessageOrNull()?.body == body).isTrue()
            }
        }
    }

    /** Guards against a request that waits for a target or its response and ends without one. */
    @Test
    fun `a request without a response gets one when the time is over`() {
        val hasArrived = CountDownLatch(2)
        val isFirst = AtomicInteger()
        val fixture = CallerServerFixture(
            place = {
                if (isFirst.getAndIncrement() == 0) {
                    hasArrived.countDown()
                    awaitCancellation()
                }
            },
        ) { _, _ ->
            hasArrived.countDown()
            awaitCancellation()
        }
        fixture.use {
            val sockets = List(2) {
                fixture.connect().also { socket ->
                    val before = hasArrived.count
                    socket.sendRequest("x")
                    while (hasArrived.count == before) Thread.sleep(1)
                }
            }
            runBlocking { fixture.server.finishRequests(100) }
            val responses = sockets.map { it.use { socket -> socket.getInputStream().readMessageOrNull() } }
            expectThat(responses[0]).isNotNull().and {
                get { startLine }.contains(" 503 ")
                get { body }.contains(NOT_RUN)
            }
            expectThat(responses[1]).isNotNull().and {
                get { startLine }.contains(" 502 ")
                get { body }.contains(UNKNOWN)
            }
        }
    }

    /** Guards against a shutdown that waits for the body of a request that it refuses. */
    @Test
    fun `a request during the refusal is refused before its body arrives`() {
        CallerServerFixture { _, receiver -> receiver.respond("done") }.use { fixture ->
            fixture.gracefulStop.refuseRequests()
            fixture.connect().use { socket ->
                socket.sendRequest("x", lengthBytes = 10)
                expectThat(socket.getInputStream().readMessageOrNull()).isNotNull().and {
                    get { startLine }.contains(" 503 ")
                    get { header("connection") }.isEqualTo("close")
                    get { body }.contains(NOT_RUN)
                }
            }
        }
    }

    /** Guards against requests that are lost between the last check and the end of the server. */
    @Test
    fun `callers that go on sending lose no request`() {
        val accepted = ConcurrentHashMap.newKeySet<String>()
        val fixture = CallerServerFixture { call, receiver ->
            val id = call.body.decodeToString()
            accepted += id
            receiver.respond(id)
        }
        val requests = SentRequests()
        val callers = List(CALLERS) { number ->
            SendingCaller("$number", requests, fixture::connect) { id, response -> response.body == id }
        }
        callers.forEach { it.start() }
        while (requests.answered.size < 4 * CALLERS) Thread.sleep(1)
        fixture.gracefulStop.begin()
        val answeredBefore = requests.answered.size
        while (requests.answered.size < answeredBefore + 4 * CALLERS) Thread.sleep(1)
        runBlocking { fixture.server.finishRequests(LONG_LIMIT_MS) }
        while (requests.refused.size < CALLERS) Thread.sleep(1)
        fixture.close()
        callers.forEach { it.join() }
        expectThat(requests.lost.toList()).isEmpty()
        expectThat(accepted - requests.answered).isEmpty()
    }

    /** Guards against a claimed call whose response is not recorded because its caller was told that it is lost. */
    @Test
    fun `a claimed call that is given up is still recorded`() {
        val hasArrived = CountDownLatch(1)
        val mayEnd = CompletableDeferred<Unit>()
        val fixture = CallerServerFixture { _, receiver ->
            hasArrived.countDown()
            mayEnd.await()
            receiver.respond("done")
        }
        fixture.use {
            fixture.connect().use { socket ->
                socket.sendRequest("once")
                hasArrived.await()
                runBlocking { fixture.server.finishRequests(100) }
                expectThat(socket.getInputStream().readMessageOrNull()?.body).isNotNull().contains(UNKNOWN)
            }
            mayEnd.complete(Unit)
            awaitThat("the record of the response") { fixture.claims.any { it is FinishClaim } }
        }
    }
}
