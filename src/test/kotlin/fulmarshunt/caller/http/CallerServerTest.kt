/*
 * The server for callers over loopback sockets while the process shuts down.
 */
package fulmarshunt.caller.http

import fulmarshunt.caller.relay.readMessageOrNull
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseHead
import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.BufferedInputStream
import java.util.concurrent.CountDownLatch


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
}
