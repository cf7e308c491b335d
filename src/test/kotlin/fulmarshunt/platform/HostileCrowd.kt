/*
 * Connections that send what a caller outside the limits sends, and then stay open without reading. One thread writes
 * to all of them in turn, so that a process that stops reading one of them does not hold up the others.
 */
package fulmarshunt.platform

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit

/** A small buffer, so that unread answers stay with their sender. */
private const val RECEIVE_BUFFER_BYTES = 4_096

/** The crowd has sent what is taken once nothing could be written for this long, or at the latest after the limit. */
private const val QUIET_MS = 1_500L
private const val MAX_SENDING_MS = 20_000L
private const val POLL_MS = 5L

/** A crowd of connections to [address]. */
internal class HostileCrowd(private val address: InetSocketAddress) : AutoCloseable {
    private class Member(val channel: SocketChannel, val unsent: ByteBuffer)

    private val members = mutableListOf<Member>()

    /** Opens [count] connections, each of which is to send [bytes]; one that is refused is left out. */
    fun open(count: Int, bytes: ByteArray): HostileCrowd = apply {
        repeat(count) {
            val channel = SocketChannel.open()
            try {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                channel.connect(address)
                channel.configureBlocking(false)
                members += Member(channel, ByteBuffer.wrap(bytes))
            } catch (_: IOException) {
                channel.close()
            }
        }
    }

    /** Sends until everything has been taken, all connections have been closed, or nothing more is taken. */
    fun send(): HostileCrowd = apply {
        val startedAtNs = System.nanoTime()
        var progressAtNs = startedAtNs
        var unsent = members.filter { it.unsent.hasRemaining() }
        while (unsent.isNotEmpty()) {
            val written = unsent.sumOf(::write)
            val nowNs = System.nanoTime()
            if (written > 0) progressAtNs = nowNs else Thread.sleep(POLL_MS)
            if (nowNs - progressAtNs > TimeUnit.MILLISECONDS.toNanos(QUIET_MS)) return@apply
            if (nowNs - startedAtNs > TimeUnit.MILLISECONDS.toNanos(MAX_SENDING_MS)) return@apply
            unsent = unsent.filter { it.channel.isOpen && it.unsent.hasRemaining() }
        }
    }

    private fun write(member: Member): Int = try {
        member.channel.write(member.unsent)
    } catch (_: IOException) {
        member.channel.close()
        0
    }

    override fun close(): Unit = members.forEach { it.channel.close() }
}
