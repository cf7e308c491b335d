/*
 * Calls of operators and targets whose bodies do not fit into the memory that is meant for them.
 */
package fulmarshunt.http

import fulmarshunt.Address
import fulmarshunt.caller.relay.readMessageOrNull
import fulmarshunt.process.ByteBudget
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetSocketAddress
import java.net.Socket

private const val BODY_BYTES = 80_000
private const val SOCKET_TIMEOUT_MS = 20_000

class BufferedCallsTest {
    private val budget = ByteBudget(100_000)

    private fun withServer(block: (connect: () -> Socket) -> Unit) {
        Traffic().use { traffic ->
            val channel = runBlocking {
                traffic.listen(Address("127.0.0.1", 0), { 8_192 }) { connection ->
                    connection.serveBuffered(1_000_000, budget) {
                        HttpReply(200, "${it.body.size}".encodeToByteArray())
                    }
                }.fold({ error(it) }, { it })
            }
            val port = (channel.localAddress() as InetSocketAddress).port
            block { Socket("127.0.0.1", port).also { it.soTimeout = SOCKET_TIMEOUT_MS } }
        }
    }

    private fun Socket.send(text: String) = getOutputStream().run {
        write(text.encodeToByteArray())
        flush()
    }

    private fun head(bytes: Int) = "POST / HTTP/1.1\r\nHost: h\r\ncontent-length: $bytes\r\n\r\n"

    private fun Socket.response() = getInputStream().buffered().readMessageOrNull()

    private fun awaitHeld(bytes: Long) {
        val endNanos = System.nanoTime() + SOCKET_TIMEOUT_MS * 1_000_000L
        while (budget.heldBytes != bytes) {
            check(System.nanoTime() < endNanos) { "${budget.heldBytes} bytes are held" }
            Thread.sleep(5)
        }
    }

    /** Guards against many long bodies that together fill the memory, and with it end the calls of others. */
    @Test
    fun `a body for which there is no memory is refused, and the others are served`() {
        withServer { connect ->
            connect().use { first ->
                first.send(head(BODY_BYTES + 1) + "x".repeat(BODY_BYTES))
                awaitHeld(BODY_BYTES.toLong())
                connect().use { second ->
                    second.send(head(BODY_BYTES) + "x".repeat(BODY_BYTES))
                    expectThat(second.response()?.startLine).isNotNull().contains(" 503 ")
                }
                connect().use { third ->
                    third.send(head(10) + "x".repeat(10))
                    expectThat(third.response()?.body).isEqualTo("10")
                }
                first.send("x")
                expectThat(first.response()?.body).isEqualTo("${BODY_BYTES + 1}")
            }
            awaitHeld(0)
        }
    }

    /** Guards against memory that stays held after a caller has left in the middle of its body. */
    @Test
    fun `the memory of a body that breaks off is free again`() {
        withServer { connect ->
            repeat(3) {
                connect().use { caller ->
                    caller.send(head(BODY_BYTES + 1) + "x".repeat(BODY_BYTES))
                    awaitHeld(BODY_BYTES.toLong())
                }
                awaitHeld(0)
            }
        }
    }
}
