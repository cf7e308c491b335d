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
import fulmarshunt.isUnicastEndpoint
import fulmarshunt.process.ByteBudget
import fulmarshunt.process.byteBudgetOfHeap
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext
import io.netty.channel.Channel as NettyChannel

/** The timeout for dialing and the handshake together. */
private const val DIAL_TIMEOUT_MS = 1_000L

/** How long the end of the links may take. */
private const val CLOSE_LIMIT_MS = 500L

/** The links of one process: those that it has accepted and those that it has dialed. */
public class Links internal constructor(
    private val process: String,
    private val secret: String,
    private val handlers: LinkHandlers,
    /** The bytes of the frames of all links that are being read or handled. */
    private val budget: ByteBudget,
) : AutoCloseable {
    private val log = LogManager.getLogger(Links::class.java)

    /** One thread for all links: a pool wakes threads that find nothing to do, several for each frame. */
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(
        1,
        ThreadFactory { task -> Thread(task, "links").apply { isDaemon = true } },
        NioIoHandler.newFactory(),
    )
    private val eventLoop: EventLoop = group.next()
    private val dispatcher = eventLoop.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val dialed = ConcurrentHashMap<Address, Dialed>()
    private val listening = ConcurrentLinkedQueue<NettyChannel>()
    private val isClosed = AtomicBoolean()

    /** The context of coroutines that resume on the thread of the links. */
    internal val dispatch: CoroutineContext get() = dispatcher

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
        val bound = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                initializer { channel ->
                    val socket = LinkSocket(channel)
                    channel.pipeline().addLast(socket)
                    scope.launch { serve(socket) }
                },
            )
            .bind(address.host, address.port)
        bound.awaitDone()
        if (!bound.isSuccess) return "cannot listen at $address: ${bound.cause()?.message}".left()
        listening += bound.channel()
        return Address(address.host, (bound.channel().localAddress() as InetSocketAddress).port).right()
    }

    /** Returns an open connection to [address], dialing it if there is none. */
    public suspend fun connect(address: Address): Either<LinkFailure, LinkConnection> {
        if (isClosed.get()) return LinkFailure.NotSent("this process is stopping").left()
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
        isExtended: Boolean = false,
    ): Either<LinkFailure, R> = connect(address).flatMap { it.call(channel, request, timeoutMs, isExtended) }

    /** Closes all connections and stops listening; later calls have no effect. */
    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        dialed.values.forEach { it.connection?.close("this process is stopping") }
        val closed = listening.map { it.close() }
        scope.cancel()
        if (!eventLoop.inEventLoop()) {
            closed.forEach { it.awaitUninterruptibly(CLOSE_LIMIT_MS) }
            // The selector releases a socket when it next selects, which it does before a delay ends.
            eventLoop.schedule({}, 1, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_LIMIT_MS)
        }
        group.shutdownGracefully(0, CLOSE_LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    private suspend fun dial(address: Address): Either<LinkFailure, LinkConnection> {
        // Netty throws for a port that does not exist, and looks up names on the event loop.
        if (!address.isUnicastEndpoint()) return LinkFailure.NotSent("$address is no IPv4 number and port").left()
        return withContext(dispatcher) { dialHere(address) }
    }

    private suspend fun dialHere(address: Address): Either<LinkFailure, LinkConnection> {
        var socket: LinkSocket? = null
        var connection: LinkConnection? = null
        try {
            return withTimeoutOrNull(DIAL_TIMEOUT_MS) {
                val opened = openSocket(address) { socket = it }
                openConnection(opened, LinkRole.DIALER).also { connection = it }.right()
            } ?: LinkFailure.NotSent("no link to $address within $DIAL_TIMEOUT_MS ms").left()
        } catch (e: IOException) {
            return LinkFailure.NotSent("no link to $address: ${e.message}").left()
        } finally {
            if (connection == null) socket?.close()
        }
    }

    /** Opens a connection to [address]; [onCreated] is called before it is open. */
    private suspend fun openSocket(address: Address, onCreated: (LinkSocket) -> Unit): LinkSocket {
        var socket: LinkSocket? = null
        val connecting = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_TIMEOUT_MS.toInt())
            .handler(
                initializer { channel ->
                    val created = LinkSocket(channel)
                    channel.pipeline().addLast(created)
                    socket = created
                    onCreated(created)
                },
            )
            .connect(address.host, address.port)
        connecting.awaitDone()
        connecting.cause()?.let { throw IOException(it.message, it) }
        return checkNotNull(socket) { "an open channel was not initialized" }
    }

    private suspend fun serve(socket: LinkSocket) {
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

    private suspend fun openConnection(socket: LinkSocket, role: LinkRole): LinkConnection {
        val peer = performHandshake(socket, process, secret, role)
        return LinkConnection(socket, handlers, scope, peer, budget).also { it.start() }
    }
}

private fun initializer(prepare: (NettyChannel) -> Unit) = object : ChannelInitializer<NettyChannel>() {
    override fun initChannel(channel: NettyChannel) = prepare(channel)
}

/** Creates the links of a process with the id [process], which handles calls with [handlers]. */
public fun linksOf(process: String, secret: String, handlers: LinkHandlers): Links =
    Links(process, secret, handlers, byteBudgetOfHeap(leastBytes = 2L * MAX_FRAME_BYTES))
