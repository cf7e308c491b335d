/*
 * Accepts links and dials them. A process keeps at most one dialed connection to each address and opens a new one when
 * the old one has failed.
 */
package fulmarshunt.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.nio.channels.ClosedChannelException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import kotlin.coroutines.CoroutineContext

/** The timeout for dialing and the handshake together. */
private const val DIAL_TIMEOUT_MS = 1_000L

/** The links of one process: those that it has accepted and those that it has dialed. */
public class Links internal constructor(
    private val process: String,
    private val secret: String,
    private val handlers: LinkHandlers,
) : AutoCloseable {
    private val log = LogManager.getLogger(Links::class.java)

    /** One thread for all links: a pool wakes threads that find nothing to do, several for each frame. */
    private val thread = Executors
        .newSingleThreadExecutor { task -> Thread(task, "links").apply { isDaemon = true } }
        .asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + thread)
    private val selector = SelectorManager(Dispatchers.IO)
    private val dialed = ConcurrentHashMap<Address, Dialed>()
    private val listening = ConcurrentLinkedQueue<ServerSocket>()

    /** The context of coroutines that resume on the thread of the links. */
    internal val dispatch: CoroutineContext get() = thread

    private class Dialed {
        val mutex = Mutex()

        @Volatile
        var connection: LinkConnection? = null
    }

    /**
     * Accepts links at [address].
     *
     * @return the address with the actual port, or the reason why it cannot be used.
     */
    public suspend fun listen(address: Address): Either<String, Address> {
        val server =
            try {
                aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                return "cannot listen at $address: ${e.message}".left()
            }
        listening += server
        scope.launch {
            try {
                while (true) {
                    val socket = server.accept()
                    launch { serve(socket) }
                }
            } catch (_: ClosedChannelException) {
                log.debug("No longer listening at {}", address)
            }
        }
        return Address(address.host, (server.localAddress as InetSocketAddress).port).right()
    }

    /** Returns an open connection to [address], dialing it if there is none. */
    public suspend fun connect(address: Address): Either<LinkFailure, LinkConnection> {
        val entry = dialed.computeIfAbsent(address) { Dialed() }
        entry.connection?.takeIf { it.isOpen }?.let { return it.right() }
        return entry.mutex.withLock {
            entry.connection?.takeIf { it.isOpen }?.right()
                ?: dial(address).onRight { entry.connection = it }
        }
    }

    /** Returns the dialed connection to [address] if it is open, or null; does not dial. */
    public fun openConnectionOrNull(address: Address): LinkConnection? =
        dialed[address]?.connection?.takeIf { it.isOpen }

    /** Calls the process at [address]; see [LinkConnection.call]. */
    public suspend fun <Q : Any, R : Any> call(
        address: Address,
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
    ): Either<LinkFailure, R> = connect(address).flatMap { it.call(channel, request, timeoutMs) }

    /** Closes all connections and stops listening. */
    override fun close() {
        dialed.values.forEach { it.connection?.close("this process is stopping") }
        // Closing only the selector would leave the ports in use.
        listening.forEach { it.close() }
        scope.cancel()
        thread.close()
        selector.close()
    }

    private suspend fun dial(address: Address): Either<LinkFailure, LinkConnection> {
        var socket: Socket? = null
        return try {
            withTimeoutOrNull(DIAL_TIMEOUT_MS) {
                val opened = aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
                socket = opened
                openConnection(opened, LinkRole.DIALER).right()
            } ?: LinkFailure.NotSent("no link to $address within $DIAL_TIMEOUT_MS ms").left().also { socket?.close() }
        } catch (e: CancellationException) {
            socket?.close()
            throw e
        } catch (e: Exception) {
            socket?.close()
            LinkFailure.NotSent("no link to $address: ${e.message ?: e::class.simpleName}").left()
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val connection = withTimeoutOrNull(DIAL_TIMEOUT_MS) { openConnection(socket, LinkRole.LISTENER) }
            connection?.join() ?: socket.close()
        } catch (e: CancellationException) {
            socket.close()
            throw e
        } catch (e: Exception) {
            log.warn("A link from {} was refused: {}", socket.remoteAddress, e.message)
            socket.close()
        }
    }

    private suspend fun openConnection(socket: Socket, role: LinkRole): LinkConnection {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val peer = performHandshake(input, output, process, secret, role)
        return LinkConnection(socket, input, output, handlers, scope, peer).also { it.start() }
    }
}

/** Creates the links of a process with the id [process], which handles calls with [handlers]. */
public fun linksOf(process: String, secret: String, handlers: LinkHandlers): Links = Links(process, secret, handlers)
