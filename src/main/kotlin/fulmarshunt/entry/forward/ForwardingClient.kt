/*
 * Opens connections to targets through other entry VMs. What is returned is used like a direct connection: its requests
 * are placed and answered for here, and the forwarder passes bytes. Confined to the traffic thread.
 */
package fulmarshunt.entry.forward

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.VmId
import fulmarshunt.http.HttpConnection
import fulmarshunt.http.Traffic
import fulmarshunt.link.Call
import fulmarshunt.link.LinkRole
import fulmarshunt.link.LinkSocket
import fulmarshunt.link.MAX_HANDSHAKE_BYTES
import fulmarshunt.link.Reply
import fulmarshunt.link.decodeFromPeer
import fulmarshunt.link.linkCbor
import fulmarshunt.link.performHandshake
import fulmarshunt.link.readFrame
import fulmarshunt.link.writeFrame
import fulmarshunt.target.fleet.DIAL_TIMEOUT_MS
import fulmarshunt.target.fleet.Detour
import fulmarshunt.target.fleet.DetourFailure
import io.netty.channel.Channel
import java.io.IOException

/** The id of the only call on a connection to a forwarder. */
private const val CALL_ID = 1L

/** Opens tunnels through the entry VMs that [forwarders] returns. */
internal class ForwardingClient(
    private val traffic: Traffic,
    private val vm: VmId,
    private val secret: String,
    private val selection: ForwarderSelection,
    /** The other entry VMs that forward connections. */
    private val forwarders: () -> List<Forwarder>,
    private val clock: Clock,
    /** Called with what became of a request for a tunnel, or null if there was no reply. */
    private val onResult: (Forwarder, Address, TunnelResult?) -> Unit,
) {
    /** Returns the ways to [target] through other entry VMs, in the order in which they are tried. */
    fun detours(target: Address): List<Detour> =
        selection.select(forwarders(), clock.nowMs()).map { forwarder -> { open(forwarder, target) } }

    private suspend fun open(forwarder: Forwarder, target: Address): Either<DetourFailure, HttpConnection> {
        var result: TunnelResult? = null
        // If another way is faster, this one is cancelled, which says nothing about the forwarder.
        val opened = openTunnel(forwarder, target) { result = it }
        if (result == TunnelResult.OPEN || result == TunnelResult.UNREACHABLE) {
            selection.recordReply(forwarder.vm)
        } else {
            selection.recordFailure(forwarder.vm, clock.nowMs())
        }
        onResult(forwarder, target, result)
        return opened.mapLeft { DetourFailure("${forwarder.vm}: $it", result == TunnelResult.UNREACHABLE) }
    }

    private suspend fun openTunnel(
        forwarder: Forwarder,
        target: Address,
        onReply: (TunnelResult) -> Unit,
    ): Either<String, HttpConnection> {
        var channel: Channel? = null
        var connection: HttpConnection? = null
        try {
            lateinit var socket: LinkSocket
            val dialed = traffic.dialChannel(forwarder.address, DIAL_TIMEOUT_MS) {
                socket = LinkSocket(it)
                it.pipeline().addLast(socket)
                channel = it
            }
            dialed.onLeft { return it.left() }
            val result = requestTunnel(socket, target)
            onReply(result)
            if (result != TunnelResult.OPEN) return "$result".left()
            connection = connectionOn(checkNotNull(channel), socket)
            return connection.right()
        } catch (e: IOException) {
            return "${e.message}".left()
        } finally {
            if (connection == null) channel?.close()
        }
    }

    private suspend fun requestTunnel(socket: LinkSocket, target: Address): TunnelResult {
        performHandshake(socket, vm.value, secret, LinkRole.DIALER)
        val request = linkCbor.encodeToByteArray(OpenTunnel.serializer(), OpenTunnel(target))
        socket.writeFrame(Call(CALL_ID, tunnelChannel.name, request))
        val reply = socket.readFrame(MAX_HANDSHAKE_BYTES) as? Reply ?: throw IOException("the forwarder did not reply")
        return try {
            decodeFromPeer(tunnelChannel.reply, reply.body).result
        } catch (e: IllegalArgumentException) {
            throw IOException("the reply of the forwarder cannot be decoded: ${e.message}", e)
        }
    }

    private fun connectionOn(channel: Channel, socket: LinkSocket): HttpConnection {
        val unread = socket.detach()
        channel.pipeline().addLast(TunnelDecoder())
        return traffic.responsesOn(channel, isKeepable = false).also {
            unread.forEach { bytes -> channel.pipeline().fireChannelRead(bytes) }
        }
    }
}
