/*
 * Accepts and opens HTTP/1.1 connections. Everything runs on the event loop of one traffic thread; coroutines that use
 * a connection run on the same event loop, so that they need no locks.
 */
package fulmarshunt.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.isUnicastEndpoint
import fulmarshunt.monotonicClock
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/** The maximum length of a request line or status line. */
private const val MAX_LINE_BYTES = 8_192
private const val MAX_RESPONSE_HEADER_BYTES = 65_536

/** The maximum size of the pieces in which a body is relayed. */
internal const val MAX_PIECE_BYTES: Int = 16_384

/** The writer is suspended above the high mark of unwritten bytes and resumed below the low mark. */
private const val WRITE_LOW_BYTES = 16_384
private const val WRITE_HIGH_BYTES = 65_536

private const val ACCEPT_BACKLOG = 1_024

/** What is read at once from an accepted connection; an incomplete message holds the buffer of its last read. */
private const val FIRST_READ_BYTES = 2_048
private const val LEAST_READ_BYTES = 256
private const val MAX_READ_BYTES = 16_384

/** The thread that transfers the bytes of callers and targets, and its connections. */
public class Traffic internal constructor(private val peers: PeerMemory) : AutoCloseable {
    public constructor() : this(PeerMemory(peerLimitsOfProcess()))

    private val log = LogManager.getLogger(Traffic::class.java)
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(
        1,
        ThreadFactory { task -> Thread(task, "traffic").apply { isDaemon = true } },
        NioIoHandler.newFactory(),
    )
    private val eventLoop: EventLoop = group.next()
    private val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()
    private val unreadTime = UnreadTime(monotonicClock())

    init {
        eventLoop.scheduleWithFixedDelay(unreadTime::tick, TICK_PERIOD_MS, TICK_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** The context of coroutines that resume on the traffic thread. */
    public val dispatch: CoroutineContext get() = dispatcher

    /** The scope of coroutines that run on the traffic thread. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher)

    /**
     * Accepts connections at [address] and runs [serve] for each; the connection is closed when it returns.
     *
     * @return the listening channel, or why the address cannot be used.
     */
    public suspend fun listen(
        address: Address,
        maxHeaderBytes: () -> Int,
        serve: suspend (HttpConnection) -> Unit,
    ): Either<String, Channel> = acceptChannels(address) { channel ->
        val connection = HttpConnection(channel, ArrivalBound(unreadTime))
        if (connection.openShare(peers)) {
            val reads = AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            channel.config().setRecvByteBufAllocator(reads)
            val decoder = StrictRequestDecoder(maxHeaderBytes()) { connection.hold(it.toLong()) }
            channel.pipeline().addLast(InputCount(connection, decoder::heldBytes), decoder, HttpResponseEncoder())
            channel.pipeline().addLast(ConnectionHandler(connection))
            scope.launch { serveSafely(connection, serve) }
        } else {
            channel.close()
        }
    }

    /** What the peers of accepted connections hold. */
    public val peerMemory: PeerMemory get() = peers

    /**
     * Accepts connections at [address]; [prepare] is called for each, which does not read by itself.
     *
     * @return the listening channel, or why the address cannot be used.
     */
    internal suspend fun acceptChannels(address: Address, prepare: (Channel) -> Unit): Either<String, Channel> {
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
            .childHandler(initializer(prepare))
        val future = bootstrap.bind(address.host, address.port)
        if (future.awaitDone()) return future.channel().right()
        return "cannot listen at $address: ${future.cause()?.message}".left()
    }

    /** Opens a connection to [address] within [timeoutMs], or returns why it cannot be opened. */
    public suspend fun dial(address: Address, timeoutMs: Int): Either<String, HttpConnection> {
        var connection: HttpConnection? = null
        return dialChannel(address, timeoutMs) { connection = responsesOn(it) }
            .map { checkNotNull(connection) { "an open channel was not initialized" } }
    }

    /**
     * Opens a connection to [address] within [timeoutMs], or returns why it cannot be opened.
     *
     * @param prepare called before the connection is open, which does not read by itself.
     */
    internal suspend fun dialChannel(
        address: Address,
        timeoutMs: Int,
        prepare: (Channel) -> Unit,
    ): Either<String, Channel> {
        // Netty throws for a port that does not exist, and looks up names on the event loop.
        if (!address.isUnicastEndpoint()) return "$address is not the IPv4 number of a VM and a port".left()
        val bootstrap = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
            .handler(initializer(prepare))
        val future = bootstrap.connect(address.host, address.port)
        if (future.awaitDone()) return future.channel().right()
        return "no connection to $address: ${future.cause()?.message}".left()
    }

    /** Adds the handlers to [channel] that make it a connection on which requests are sent. */
    internal fun responsesOn(channel: Channel, isKeepable: Boolean = true): HttpConnection =
        HttpConnection(channel, isKeepable = isKeepable).also {
            channel.pipeline().addLast(INPUT_GUARD_NAME, InputGuard(it))
            channel.pipeline().addLast(responseCodec(), ConnectionHandler(it))
        }

    /** Closes all connections. */
    override fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private suspend fun serveSafely(connection: HttpConnection, serve: suspend (HttpConnection) -> Unit) {
        try {
            serve(connection)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error("connection failed peer={}", connection.channel.remoteAddress(), e)
        } finally {
            connection.close()
        }
    }
}

private fun initializer(prepare: (Channel) -> Unit) = object : ChannelInitializer<Channel>() {
    override fun initChannel(channel: Channel) = prepare(channel)
}

private fun decoderConfig(maxHeaderBytes: Int) = HttpDecoderConfig()
    .setMaxInitialLineLength(MAX_LINE_BYTES)
    .setMaxHeaderSize(maxHeaderBytes)
    .setMaxChunkSize(MAX_PIECE_BYTES)

/** Returns a codec of one connection to a target. */
internal fun responseCodec(): HttpClientCodec = HttpClientCodec(decoderConfig(MAX_RESPONSE_HEADER_BYTES), false, false)

/**
 * A decoder that fails on a request with both a length and chunks, whose end would be ambiguous.
 *
 * @param onHeld called with what each header line takes.
 */
private class StrictRequestDecoder(maxHeaderBytes: Int, onHeld: (Int) -> Unit) :
    HttpRequestDecoder(
        decoderConfig(maxHeaderBytes)
            .setHeadersFactory(countedHeadersFactory(onHeld))
            .setTrailersFactory(countedHeadersFactory(onHeld)),
    ) {
    /** What is kept of bytes that are not decoded yet. */
    fun heldBytes(): Int = internalBuffer().let { if (it.isReadable) it.capacity() else 0 }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the request has both a length and chunks")
}

/** Waits for the completion of this operation and returns whether it succeeded; a cancelled wait closes the channel. */
private suspend fun ChannelFuture.awaitDone(): Boolean = suspendCancellableCoroutine { continuation ->
    addListener { if (continuation.isActive) continuation.resume(isSuccess) else channel().close() }
    continuation.invokeOnCancellation { channel().close() }
}
