/*
 * The link of one VM, of a limited rate, as a TCP proxy on the loopback interface: all bytes that arrive at the VM,
 * from whichever process, share the rate and wait for each other.
 */
package fulmarshunt.faults

import fulmarshunt.Address
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Less than a part of a frame, so that the bytes of several connections alternate. */
private const val CHUNK_BYTES = 1_460
private const val BITS_PER_BYTE = 8
private const val NS_PER_S = 1_000_000_000L

/** The send and receive buffers; larger ones would hold what a slow link has not carried yet. */
private const val BUFFER_BYTES = 16 * 1_024

/** A link that carries [bitsPerS] towards the VM behind it. */
class SlowLink(@Volatile var bitsPerS: Long) : AutoCloseable {
    private val servers = ConcurrentHashMap.newKeySet<ServerSocket>()
    private val sockets = ConcurrentHashMap<Socket, Address>()
    private var freeAtNs = System.nanoTime()

    /** The bytes that have arrived at the VM. */
    val arrivedBytes = AtomicLong()

    /** Returns the address at which the VM reaches the process at [destination] through this link. */
    fun to(destination: Address): Address {
        val server = ServerSocket()
        server.receiveBufferSize = BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        servers += server
        thread(isDaemon = true) {
            while (!server.isClosed) {
                try {
                    relay(server.accept(), destination)
                } catch (_: IOException) {
                    // The link or the destination is closed.
                }
            }
        }
        return Address("127.0.0.1", server.localPort)
    }

    /** Breaks the connections to [destination] off. */
    fun cut(destination: Address) {
        sockets.filterValues { it == destination }.keys.forEach { it.close() }
    }

    override fun close() {
        servers.forEach { it.close() }
        sockets.keys.forEach { it.close() }
    }

    private fun relay(client: Socket, destination: Address) {
        val upstream = Socket()
        upstream.receiveBufferSize = BUFFER_BYTES
        sockets[client] = destination
        sockets[upstream] = destination
        try {
            upstream.connect(InetSocketAddress(destination.host, destination.port))
        } catch (e: IOException) {
            client.close()
            throw e
        }
        client.sendBufferSize = BUFFER_BYTES
        client.tcpNoDelay = true
        upstream.tcpNoDelay = true
        copy(client.getInputStream(), upstream.getOutputStream(), client, upstream) { }
        copy(upstream.getInputStream(), client.getOutputStream(), client, upstream) { count ->
            awaitTurn(count)
            arrivedBytes.addAndGet(count.toLong())
        }
    }

    private fun copy(from: InputStream, to: OutputStream, client: Socket, upstream: Socket, pace: (Int) -> Unit) {
        thread(isDaemon = true) {
            val bytes = ByteArray(CHUNK_BYTES)
            try {
                while (true) {
                    val count = from.read(bytes)
                    if (count < 0) break
                    pace(count)
                    to.write(bytes, 0, count)
                }
            } catch (_: IOException) {
                // Either side has closed its connection.
            }
            client.close()
            upstream.close()
            sockets -= client
            sockets -= upstream
        }
    }

    private fun awaitTurn(count: Int) {
        val turnNs = synchronized(this) {
            freeAtNs = maxOf(freeAtNs, System.nanoTime()) + count * BITS_PER_BYTE * NS_PER_S / bitsPerS
            freeAtNs
        }
        TimeUnit.NANOSECONDS.sleep(turnNs - System.nanoTime())
    }
}
