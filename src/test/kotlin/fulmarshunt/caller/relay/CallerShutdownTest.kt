/*
 * The connections of callers while the process shuts down.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.BufferedInputStream
import java.util.concurrent.CountDownLatch

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

    private companion object {
        const val HTTP_VERSION = "HTTP/1.1"
    }
}
