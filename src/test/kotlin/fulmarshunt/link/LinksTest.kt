/*
 * Calls over links on loopback sockets: replies, failures that say whether the call was sent, and the handshake.
 */
package fulmarshunt.link

import com.sun.management.OperatingSystemMXBean
import fulmarshunt.Address
import fulmarshunt.process.ByteBudget
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

private val echo = Channel("echo", String.serializer(), String.serializer())
private val loopback = Address("127.0.0.1", 0)

class LinksTest {
    /** Guards against replies that are assigned to the wrong call when they arrive out of order. */
    @Test
    fun `concurrent calls get their own replies`(): Unit = runBlocking {
        val handlers =
            LinkHandlers().with(echo) { _, text ->
                delay((text.last().digitToInt() % 3) * 20L)
                "re:$text"
            }
        val server = linksOf("server", "secret", handlers)
        val client = linksOf("client", "secret", LinkHandlers())
        val address = server.listen(loopback).getOrNull()!!
        // The first handshake of a process that has just started can take longer than a link may take to open.
        withTimeout(30_000) { while (client.call(address, echo, "call 0", 5_000).isLeft()) delay(20) }
        val replies = (0 until 50).map { n -> async { client.call(address, echo, "call $n", 5_000) } }.awaitAll()
        expectThat(replies.map { it.getOrNull() }).isEqualTo((0 until 50).map { "re:call $it" })
        client.close()
        server.close()
    }

    /** Guards against a reply that is given up while it arrives, and sent again by another peer on the same link. */
    @Test
    fun `an extended call waits for a reply that is arriving`(): Unit = runBlocking {
        val text = "x".repeat(128 * 1_024)
        val handlers = LinkHandlers().with(echo) { _, _ -> text }
        val server = linksOf("server", "secret", handlers)
        val client = linksOf("client", "secret", LinkHandlers())
        SlowProxy(server.listen(loopback).getOrNull()!!, bytesPerSecond = 64 * 1_024).use { proxy ->
            withTimeout(30_000) { while (client.connect(proxy.address).isLeft()) delay(20) }
            val reply = client.call(proxy.address, echo, "call", 1_000, isExtended = true)
            expectThat(reply.getOrNull()).isEqualTo(text)
        }
        client.close()
        server.close()
    }

    /** Guards against closing a connection as silent while a long frame arrives slowly. */
    @Test
    fun `a call that takes longer to arrive than the silence limit is answered`(): Unit = runBlocking {
        val size = Channel("size", String.serializer(), Int.serializer())
        val server = linksOf("server", "secret", LinkHandlers().with(size) { _, text -> text.length })
        val client = linksOf("client", "secret", LinkHandlers())
        SlowProxy(server.listen(loopback).getOrNull()!!, bytesPerSecond = 128 * 1_024).use { proxy ->
            val text = "x".repeat(2 * 128 * 1_024 * SILENCE_LIMIT_MS.toInt() / 1_000)
            expectThat(client.call(proxy.address, size, text, 20_000).getOrNull()).isEqualTo(text.length)
        }
        client.close()
        server.close()
    }

    /** Guards against calls that wait behind others that nobody waits for any more. */
    @Test
    fun `calls that were given up are not sent`(): Unit = runBlocking {
        val size = Channel("size", String.serializer(), Int.serializer())
        val server = linksOf("server", "secret", LinkHandlers().with(size) { _, text -> text.length })
        val client = linksOf("client", "secret", LinkHandlers())
        SlowProxy(server.listen(loopback).getOrNull()!!, bytesPerSecond = 1_024 * 1_024).use { proxy ->
            withTimeout(30_000) { while (client.call(proxy.address, size, "", 5_000).isLeft()) delay(20) }
            // More than the buffers of the connection take.
            val text = "x".repeat(64 * 1_024)
            (0 until 400).map { async { client.call(proxy.address, size, text, 200) } }.awaitAll()
            expectThat(client.call(proxy.address, size, "last", 15_000).getOrNull()).isEqualTo(4)
        }
        client.close()
        server.close()
    }

    /** Guards against reporting a call to a process that is not running as possibly handled. */
    @Test
    fun `a call to a closed port was not sent`(): Unit = runBlocking {
        val client = linksOf("client", "secret", LinkHandlers())
        val result = client.call(Address("127.0.0.1", 1), echo, "x", 1_000)
        expectThat(result.leftOrNull()).isA<LinkFailure.NotSent>()
        client.close()
    }

    /** Guards against accepting calls from a peer with a different secret. */
    @Test
    fun `a peer with a different secret is refused`(): Unit = runBlocking {
        val server = linksOf("server", "secret", LinkHandlers().with(echo) { _, text -> text })
        val client = linksOf("client", "other", LinkHandlers())
        val address = server.listen(loopback).getOrNull()!!
        expectThat(client.call(address, echo, "x", 1_000).leftOrNull()).isA<LinkFailure.NotSent>()
        client.close()
        server.close()
    }

    /** Guards against reporting a call that was sent as not sent when the peer closes the connection. */
    @Test
    fun `a call whose peer closes is lost`(): Unit = runBlocking {
        val received = CompletableDeferred<Unit>()
        val handlers =
            LinkHandlers().with(echo) { _, text ->
                received.complete(Unit)
                delay(60_000)
                text
            }
        val server = linksOf("server", "secret", handlers)
        val client = linksOf("client", "secret", LinkHandlers())
        val address = server.listen(loopback).getOrNull()!!
        val call = async { client.call(address, echo, "x", 10_000) }
        received.await()
        server.close()
        expectThat(call.await().leftOrNull()).isA<LinkFailure.Lost>()
        client.close()
    }

    /** Guards against an exception at the end of a process whose links were closed before. */
    @Test
    fun `links may be closed twice and make no calls afterwards`(): Unit = runBlocking {
        val server = linksOf("server", "secret", LinkHandlers().with(echo) { _, text -> text })
        val address = server.listen(loopback).getOrNull()!!
        val client = linksOf("client", "secret", LinkHandlers())
        repeat(2) { client.close() }
        expectThat(client.call(address, echo, "x", 1_000).leftOrNull()).isA<LinkFailure.NotSent>()
        repeat(2) { server.close() }
    }

    /** Guards against a thread that tries again and again to write to a connection whose peer reads nothing. */
    @Test
    fun `a peer that does not read costs no processor time`(): Unit = runBlocking {
        val size = Channel("size", String.serializer(), Int.serializer())
        val server = linksOf("server", "secret", LinkHandlers().with(size) { _, text -> text.length })
        val client = linksOf("client", "secret", LinkHandlers())
        SlowProxy(server.listen(loopback).getOrNull()!!, bytesPerSecond = 16 * 1_024).use { proxy ->
            withTimeout(30_000) { while (client.call(proxy.address, size, "", 5_000).isLeft()) delay(20) }
            // More than the buffers of the connection take.
            val text = "x".repeat(64 * 1_024)
            val calls = (0 until 200).map { async { client.call(proxy.address, size, text, 1_900) } }
            delay(800)
            val usedNanos = processCpuNanos()
            delay(1_000)
            expectThat(TimeUnit.NANOSECONDS.toMillis(processCpuNanos() - usedNanos)).isLessThan(500)
            calls.awaitAll()
        }
        client.close()
        server.close()
    }

    private fun processCpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    /** Guards against a peer that fills the memory before it has shown that it knows the secret. */
    @Test
    fun `a large frame before the handshake is not read`(): Unit = runBlocking {
        val server = linksOf("server", "secret", LinkHandlers().with(echo) { _, text -> text })
        val client = linksOf("client", "secret", LinkHandlers())
        val address = server.listen(loopback).getOrNull()!!
        for (claimedBytes in listOf(Int.MAX_VALUE, -1, 0, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES + 1)) {
            Socket(address.host, address.port).use { socket ->
                socket.soTimeout = 5_000
                socket.getOutputStream().write(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(claimedBytes).array())
                val block = ByteArray(64 * 1_024)
                val written = runCatching { repeat(1_000) { socket.getOutputStream().write(block) } }
                expectThat(written.isFailure).describedAs("$claimedBytes").isEqualTo(true)
            }
        }
        withTimeout(30_000) { while (client.call(address, echo, "x", 5_000).isLeft()) delay(20) }
        client.close()
        server.close()
    }

    /** Guards against a peer that fills the memory with calls that take long, and with it ends the calls of others. */
    @Test
    fun `calls that hold too much memory end their own link only`(): Unit = runBlocking {
        val handlers = LinkHandlers().with(echo) { _, text ->
            if (text.length > 10) delay(3_000)
            text.take(10)
        }
        val budget = ByteBudget(8L * 1_024 * 1_024)
        val server = Links("server", "secret", handlers, budget)
        val address = server.listen(loopback).getOrNull()!!
        val faulty = linksOf("faulty", "secret", LinkHandlers())
        val sound = linksOf("sound", "secret", LinkHandlers())
        withTimeout(30_000) { while (sound.call(address, echo, "x", 5_000).isLeft()) delay(20) }
        val large = "x".repeat(1_024 * 1_024)
        val calls = (0 until 30).map { async { faulty.call(address, echo, large, 10_000) } }
        while (calls.none { it.isCompleted }) {
            expectThat(sound.call(address, echo, "x", 5_000).getOrNull()).isEqualTo("x")
            expectThat(budget.heldBytes).isLessThan(8L * 1_024 * 1_024 + 1)
            delay(20)
        }
        expectThat(calls.awaitAll().count { it.isLeft() }).isGreaterThan(0)
        withTimeout(30_000) { while (budget.heldBytes > 0) delay(20) }
        listOf(faulty, sound, server).forEach { it.close() }
    }
}
