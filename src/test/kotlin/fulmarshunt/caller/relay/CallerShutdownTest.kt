/*
 * The connections of callers while the process shuts down.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
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

    /** Guards against the loss of the end of a response that its caller reads slowly. */
    @Test
    fun `a connection is closed only after the last response has been sent`() {
        val body = "x".repeat(LONG_BODY_BYTES)
        ScriptedTarget("a") { respond("200 OK", body) }.use { target ->
            RelayFixture(target).use { relay ->
                relay.connect().use { socket ->
                    val request = requestText("/once/x", "", "connection: close")
                    socket.getOutputStream().write(request.encodeToByteArray())
                    val input = socket.getInputStream()
                    val pieces = mutableListOf(input.readNBytes(PIECE_BYTES))
                    while (relay.active > 0) {
                        pieces += input.readNBytes(PIECE_BYTES)
                        Thread.sleep(1)
                    }
                    // Longer than the connection is kept for a caller that has received everything.
                    Thread.sleep(1_000)
                    val received = pieces.sumOf { it.size } + input.readAllBytes().size
                    expectThat(received).isGreaterThan(LONG_BODY_BYTES)
                }
            }
        }
    }

    /** Guards against a process that ends while a response has not been sent or a request has not been read. */
    @Test
    fun `callers are quiet once every response has been sent`() {
        val mayEnd = CountDownLatch(1)
        val hasArrived = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            hasArrived.countDown()
            mayEnd.await()
            respond("200 OK", "x".repeat(LONG_BODY_BYTES))
        }
        target.use {
            RelayFixture(target).use { relay ->
                expectThat(relay.isQuiet()).isTrue()
                relay.connect().use { socket ->
                    socket.getOutputStream().write(requestText("/once/x", "").encodeToByteArray())
                    hasArrived.await()
                    expectThat(relay.isQuiet()).isFalse()
                    mayEnd.countDown()
                    val input = socket.getInputStream()
                    var received = 0
                    while (!relay.isQuiet()) {
                        if (input.available() > 0) received += input.read(ByteArray(PIECE_BYTES))
                        Thread.sleep(1)
                    }
                    expectThat(relay.active).isEqualTo(0)
                    relay.closeCallers()
                    received += input.readAllBytes().size
                    expectThat(received).isGreaterThan(LONG_BODY_BYTES)
                }
            }
        }
    }

    private companion object {
        const val LONG_BODY_BYTES = 16 * 1_024 * 1_024
        const val PIECE_BYTES = 65_536
        const val HTTP_VERSION = "HTTP/1.1"
    }
}
