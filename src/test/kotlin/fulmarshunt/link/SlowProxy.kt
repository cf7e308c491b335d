/*
 * A proxy on a loopback port that passes bytes on to another address at a limited rate.
 */
package fulmarshunt.link

import fulmarshunt.Address
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

private const val CHUNK_BYTES = 4_096
private const val MS_PER_SECOND = 1_000L

/** Passes at most [bytesPerSecond] of each connection on to [target]; replies are not slowed. */
internal class SlowProxy(private val target: Address, private val bytesPerSecond: Int) : AutoCloseable {
    private val server = ServerSocket()
    private val sockets = ConcurrentLinkedQueue<Socket>()

    val address: Address

    init {
        // A small buffer, so that the sender notices how slow the connection is.
        server.receiveBufferSize = CHUNK_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        address = Address("127.0.0.1", server.localPort)
        start {
            while (true) connect(server.accept())
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun connect(client: Socket) {
        val upstream = Socket(target.host, target.port)
        sockets += listOf(client, upstream)
        start {
            copy(client.getInputStream(), upstream.getOutputStream(), CHUNK_BYTES * MS_PER_SECOND / bytesPerSecond)
        }
        start { copy(upstream.getInputStream(), client.getOutputStream(), pauseMs = 0) }
    }

    private fun copy(input: InputStream, output: OutputStream, pauseMs: Long) {
        val buffer = ByteArray(CHUNK_BYTES)
        output.use {
            while (true) {
                val size = input.read(buffer)
                if (size < 0) return
                output.write(buffer, 0, size)
                Thread.sleep(size * pauseMs / CHUNK_BYTES)
            }
        }
    }

    private fun start(block: () -> Unit) {
        thread(isDaemon = true) {
            try {
                block()
            } catch (_: IOException) {
                // The test or one of the two sides has closed the connection.
            }
        }
    }
}
