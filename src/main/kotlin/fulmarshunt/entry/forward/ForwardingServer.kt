/*
 * Accepts tunnels of other entry VMs that are cut off from targets, and connects them to targets directly, so that
 * tunnels form no loops. It connects only to addresses of targets that this VM knows. Confined to the traffic thread.
 */
package fulmarshunt.entry.forward

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.VmId
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
import fulmarshunt.process.LimitedLog
import fulmarshunt.target.fleet.DIAL_TIMEOUT_MS
import fulmarshunt.target.fleet.TargetPaths
import io.netty.channel.Channel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.io.IOException

/** The tunnels that one VM carries; each holds some 80,000 bytes at most. */
private const val MAX_TUNNELS = 160

/** The connections of which the tunnel is not yet open; their peers may be strangers. */
private const val MAX_OPENING = 64

/** The time limit for the handshake and the request of a tunnel. */
private const val REQUEST_LIMIT_MS = 1_000L

/** The time limit for a dial while this VM takes itself to be cut off, so that the peer turns to another one soon. */
private const val CUT_DIAL_LIMIT_MS = 150

/** What [ForwardingServer] knows of this VM. */
internal class ForwardingDependencies(
    val vm: VmId,
    val secret: String,
    val paths: TargetPaths,
    /** Whether a target is known at an address. */
    val isTarget: (Address) -> Boolean,
    /** Whether this process is about to end. */
    val isStopping: () -> Boolean,
    val clock: Clock,
    /** Opens a connection to a target within a time limit in milliseconds; it does not read by itself. */
    val dial: suspend (Address, Int) -> Either<String, Channel>,
    /** Records whether a dial has opened a connection, as for the connections of this VM. */
    val onDial: (Address, Boolean) -> Unit,
    /** Counts a tunnel that was requested, with its result. */
    val onResult: (TunnelResult) -> Unit,
)

/** Forwards connections of other entry VMs. */
internal class ForwardingServer(private val traffic: Traffic, private val dependencies: ForwardingDependencies) {
    private val log = LogManager.getLogger(ForwardingServer::class.java)
    private val refusalLog = LimitedLog(log)
    private val tunnels = mutableSetOf<Tunnel>()
    private var opening = 0

    /** Whether a connection of another entry VM is being forwarded. */
    val isForwarding: Boolean get() = tunnels.isNotEmpty()

    /** Accepts tunnels at [address]. */
    suspend fun listen(address: Address): Either<String, Channel> = traffic.acceptChannels(address) { channel ->
        val socket = LinkSocket(channel)
        channel.pipeline().addLast(socket)
        if (opening >= MAX_OPENING) channel.close() else traffic.scope.launch { serve(channel, socket) }
    }

    /** Closes tunnels that have made no progress for too long. */
    fun expire() {
        val nowMs = dependencies.clock.nowMs()
        tunnels.toList().forEach { it.expire(nowMs) }
    }

    /** Breaks all tunnels off. */
    fun close() {
        tunnels.toList().forEach { it.close() }
    }

    private suspend fun serve(origin: Channel, socket: LinkSocket) {
        var isOpen = false
        opening += 1
        try {
            isOpen = open(origin, socket)
        } catch (e: IOException) {
            refusalLog.log(Level.WARN, "tunnel refused peer=${origin.remoteAddress()} reason=${e.message}")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error("tunnel failed peer={}", origin.remoteAddress(), e)
        } finally {
            opening -= 1
            if (!isOpen) origin.close()
        }
    }

    private suspend fun open(origin: Channel, socket: LinkSocket): Boolean {
        val request = withTimeoutOrNull(REQUEST_LIMIT_MS) {
            performHandshake(socket, dependencies.vm.value, dependencies.secret, LinkRole.LISTENER)
            val call = socket.readFrame(MAX_HANDSHAKE_BYTES) as? Call ?: throw IOException("no request")
            call.id to requestOf(call)
        } ?: throw IOException("no request within $REQUEST_LIMIT_MS ms")
        val (callId, tunnel) = request
        var target: Channel? = null
        var isOpen = false
        try {
            val result = refusalOrNull(tunnel) ?: connect(tunnel) { target = it }
            dependencies.onResult(result)
            val reply = linkCbor.encodeToByteArray(tunnelChannel.reply, TunnelReply(result))
            socket.writeFrame(Reply(callId, reply))
            val connected = target ?: return false
            start(origin, connected, socket)
            isOpen = true
            return true
        } finally {
            if (!isOpen) target?.close()
        }
    }

    private fun requestOf(call: Call): OpenTunnel = try {
        if (call.channel != tunnelChannel.name) throw IOException("a call on ${call.channel}")
        decodeFromPeer(tunnelChannel.request, call.body)
    } catch (e: IllegalArgumentException) {
        throw IOException("the request cannot be decoded: ${e.message}", e)
    }

    private fun refusalOrNull(request: OpenTunnel): TunnelResult? = when {
        dependencies.isStopping() -> TunnelResult.STOPPING
        tunnels.size >= MAX_TUNNELS -> TunnelResult.BUSY
        !dependencies.isTarget(request.target) -> TunnelResult.UNKNOWN_TARGET
        else -> null
    }

    private suspend fun connect(request: OpenTunnel, onOpen: (Channel) -> Unit): TunnelResult {
        val paths = dependencies.paths
        val limitMs = if (paths.isCut) CUT_DIAL_LIMIT_MS else DIAL_TIMEOUT_MS
        val dialed = dependencies.dial(request.target, limitMs)
        dependencies.onDial(request.target, dialed.isRight())
        dialed.onRight(onOpen)
        return when {
            dialed.isRight() -> TunnelResult.OPEN
            paths.isCut -> TunnelResult.NO_PATH
            else -> TunnelResult.UNREACHABLE
        }
    }

    private fun start(origin: Channel, target: Channel, socket: LinkSocket) {
        val tunnel = Tunnel(origin, target, dependencies.clock)
        tunnels += tunnel
        origin.closeFuture().addListener { tunnels -= tunnel }
        tunnel.start(socket.detach())
    }
}
