/*
 * A TCP proxy on the loopback interface that injects faults between two real processes: delay, silence on established
 * connections, resets, and cuts in one or both directions. The source of a connection is recognised by the name in its
 * first bytes, so that one VM can be cut off from another while others still reach it.
 */
package fulmarshunt.faults

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The direction of bytes through a proxy. */
enum class Direction {
    /** From the side that opened the connection to the proxied process. */
    INBOUND,

    /** From the proxied process to the side that opened the connection. */
    OUTBOUND,
}

/** A rule that drops bytes in [direction] on connections from [source], or from any source if null. */
data class Cut(val source: String?, val direction: Direction)

/** A proxy in front of the process that listens at [destinationPort]. */
class FaultProxy(private val destinationPort: Int, private val knownSources: List<String> = emptyList()) :
    AutoCloseable {
    private class Connection(val client: Socket, val upstream: Socket) {
        @Volatile
        var isSilent = false

        @Volatile
        var source: String? = null
    }

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val server = runBlocking { aSocket(selector).tcp().bind("127.0.0.1", 0) }
    private val connections = ConcurrentHashMap.newKeySet<Connection>()
    private val cuts = ConcurrentHashMap.newKeySet<Cut>()

    /** The port at which the proxy listens. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    /** The bytes that passed in both directions. */
    val relayedBytes = AtomicLong()

    /** The delay added to each chunk of bytes. */
    @Volatile
    var delayMs: Long = 0

    init {
        scope.launch {
            while (true) {
                val client = server.accept()
                launch { runCatching { relay(client) } }
            }
        }
    }

    /** Drops all bytes that match [cut] from now on. */
    fun add(cut: Cut) {
        cuts += cut
    }

    /** Lets bytes pass that [cut] stopped; dropped bytes stay lost, so the affected connections are closed. */
    fun remove(cut: Cut) {
        cuts -= cut
        connections.filter { cut.source == null || it.source == cut.source }.forEach { it.closeBoth() }
    }

    /** Makes the connections that are open now drop all bytes permanently; new ones work. */
    fun silenceOpenConnections() {
        connections.forEach { it.isSilent = true }
    }

    /** Closes the connections that are open now. */
    fun resetOpenConnections() {
        connections.forEach { it.closeBoth() }
    }

    override fun close() {
        connections.forEach { it.closeBoth() }
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun Connection.closeBoth() {
        client.close()
        upstream.close()
    }

    private suspend fun relay(client: Socket) {
        val upstream =
            try {
                aSocket(selector).tcp().connect("127.0.0.1", destinationPort) { noDelay = true }
            } catch (e: java.io.IOException) {
                client.close()
                return
            }
        val connection = Connection(client, upstream)
        connections += connection
        try {
            coroutineScope {
                launch {
                    copyBytes(connection, Direction.INBOUND, client.openReadChannel(), upstream.openWriteChannel())
                    connection.closeBoth()
                }
                launch {
                    copyBytes(connection, Direction.OUTBOUND, upstream.openReadChannel(), client.openWriteChannel())
                    connection.closeBoth()
                }
            }
        } finally {
            connections -= connection
            connection.closeBoth()
        }
    }

    private suspend fun copyBytes(
        connection: Connection,
        direction: Direction,
        from: ByteReadChannel,
        to: ByteWriteChannel,
    ) {
        val buffer = ByteArray(CHUNK_BYTES)
        while (true) {
            val count = runCatching { from.readAvailable(buffer) }.getOrDefault(-1)
            if (count < 0) return
            if (direction == Direction.INBOUND && connection.source == null) connection.identify(buffer, count)
            if (delayMs > 0) delay(delayMs)
            if (connection.isSilent || isCut(connection, direction)) continue
            relayedBytes.addAndGet(count.toLong())
            if (runCatching { to.writeFully(buffer, 0, count).also { _ -> to.flush() } }.isFailure) return
        }
    }

    private fun Connection.identify(buffer: ByteArray, count: Int) {
        val text = String(buffer, 0, count, Charsets.ISO_8859_1)
        source = knownSources.firstOrNull { it in text } ?: "unknown"
    }

    private fun isCut(connection: Connection, direction: Direction): Boolean =
        Cut(null, direction) in cuts || Cut(connection.source, direction) in cuts

    private companion object {
        const val CHUNK_BYTES = 16_384
    }
}
