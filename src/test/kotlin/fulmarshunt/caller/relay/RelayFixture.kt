/*
 * The relay of one entry VM between scripted targets and callers on loopback sockets, in one process.
 */
package fulmarshunt.caller.relay

import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.ConfigurationVersion
import fulmarshunt.Fingerprint
import fulmarshunt.PromptPartId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.http.Traffic
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.CallerLimits
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.ServiceShare
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.platform.parseLoad
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.Detour
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.RepeatBudget
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.TargetConnections
import fulmarshunt.target.fleet.TargetPaths
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.engines
import fulmarshunt.target.fleet.here
import fulmarshunt.target.fleet.known
import fulmarshunt.target.fleet.plain
import fulmarshunt.target.fleet.record
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val SOCKET_TIMEOUT_MS = 10_000
private const val IDLE_TIMEOUT_MS = 5_000L

/** The head and body of a message on a socket. */
internal class RawMessage(val startLine: String, val headers: Map<String, String>, val body: String) {
    fun header(name: String): String? = headers[name.lowercase()]
}

/** Reads a message with a length, or without a body; null at the end of the input. */
internal fun InputStream.readMessageOrNull(): RawMessage? {
    val startLine = readLineOrNull() ?: return null
    val headers = generateSequence { readLineOrNull()?.takeIf { it.isNotEmpty() } }
        .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
    val body = when {
        headers["transfer-encoding"] == "chunked" -> readChunks()
        else -> readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
    }
    return RawMessage(startLine, headers, body)
}

/** Reads all chunks; the result ends with [TRUNCATED] if the connection ends before the last chunk. */
private fun InputStream.readChunks(): String {
    val body = StringBuilder()
    while (true) {
        val size = readLineOrNull()?.toIntOrNull(16) ?: return "$body$TRUNCATED"
        body.append(readNBytes(size).decodeToString())
        readLineOrNull()
        if (size == 0) return body.toString()
    }
}

internal const val TRUNCATED: String = "<truncated>"

internal fun InputStream.readLineOrNull(): String? {
    val line = StringBuilder()
    while (true) {
        val byte = try {
            read()
        } catch (_: java.io.IOException) {
            -1
        }
        if (byte < 0) return if (line.isEmpty()) null else line.toString()
        if (byte == '\n'.code) return line.removeSuffix("\r").toString()
        line.append(byte.toChar())
    }
}

/** A target whose responses are written by a test. */
internal class ScriptedTarget(val name: String, private val serve: RequestScope.() -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    val requests: MutableList<RawMessage> = CopyOnWriteArrayList()
    val port: Int get() = server.localPort

    /** A request at the target, and the functions that respond to it. */
    inner class RequestScope(val socket: Socket, val request: RawMessage, val number: Int) {
        fun write(text: String) {
            socket.getOutputStream().run {
                write(text.encodeToByteArray())
                flush()
            }
        }

        /** Responds with [body] and echoes the id of the request. */
        fun respond(status: String, body: String, vararg headers: String) = write(
            "HTTP/1.1 $status\r\nid: ${request.header("id")}\r\nstamp: 1\r\n" +
                headers.joinToString("") { "$it\r\n" } + "content-length: ${body.length}\r\n\r\n$body",
        )

        fun startStream() = write(
            "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nstamp: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        )

        fun event(id: Int) {
            val text = "id: $id\ndata: token $id\n\n"
            write("${text.length.toString(16)}\r\n$text\r\n")
        }

        fun endStream() = write("0\r\n\r\n")

        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }

        /** Ends the target, so that its connections break and new ones are not accepted. */
        fun crash() = this@ScriptedTarget.close()

        /** Accepts no new connections. */
        fun stopListening() = this@ScriptedTarget.stopListening()

        /** Breaks the connection, and accepts no more after the next one. */
        fun crashAfterNextConnection() {
            val accepted = sockets.size
            reset()
            while (sockets.size == accepted) Thread.sleep(1)
            stopListening()
        }
    }

    private val acceptor = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: break
            sockets += socket
            thread(isDaemon = true) { visit(socket) }
        }
    }

    /** The listening socket lives until the thread that waits for connections has returned. */
    private fun stopListening() {
        server.close()
        acceptor.join()
    }

    private fun visit(socket: Socket) {
        runCatching {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val request = input.readMessageOrNull() ?: break
                requests += request
                RequestScope(socket, request, requests.size).serve()
            }
        }
        socket.close()
    }

    override fun close() {
        stopListening()
        sockets.forEach { it.close() }
    }
}

/** The relay of one entry VM. Routes `/safe/`, `/once/` and `/stream/` lead to [targets]. */
internal class RelayFixture(
    vararg targets: ScriptedTarget,
    /** Returns the ways to a target through other VMs. */
    detoursOf: (Traffic) -> (Address) -> List<Detour> = { { emptyList() } },
) : AutoCloseable {
    private val control = startControlThread()
    private val traffic = Traffic()
    private val clock = monotonicClock()
    private val budget = RepeatBudget(RepeatLimits(100.0, 100.0, 10_000), clock.nowMs()) { 0.0 }
    private val fleet = Fleet(clock, here, budget, { 0.0 }) { 0.0 }
    private val records = targets.flatMap { target ->
        listOf(plain, engines).map { record("${it.id}-${target.name}", service = it, port = target.port) }
    }
    private var listed = FleetView(table(), targets = records.associate { it.id to known(it) }, entryVms = 1)
    private val paths = TargetPaths()
    private val connections = TargetConnections(traffic, clock, paths, detoursOf(traffic))

    /** Performs the migrations of runs; the addresses are those of the targets. */
    var migrate: suspend (Address, RequestId, Address, Boolean) -> arrow.core.Either<MoveFailure, Moved> =
        { _, _, _, _ -> MoveFailure.NoSuchRun.left() }

    private val meters = RelayMeters(SimpleMeterRegistry())
    private val adapter = ProtocolAdapter(
        readRequest = { headers ->
            val parts = headers.get("parts")?.split(',')?.map(::PromptPartId).orEmpty()
            val generation = headers.get("tokens")?.let { GenerationHints(it.toInt(), 400, 400, parts) }
            val callerTimeoutMs = headers.getInt("caller-timeout")?.toLong()
            RequestMetadata(headers.get("id")?.let(::RequestId), headers.get("key"), callerTimeoutMs, generation)
        },
        toTargetHeaders = ::headersForTarget,
        toCallerHeaders = { headers ->
            DefaultHttpHeaders().also { copy -> headers.get("stamp")?.let { copy.set("stamp", it) } }
        },
        readResponse = {
            ResponseMetadata(
                it.get("id"),
                it.contains("stamp"),
                it.contains("not-run"),
                it.getInt("pause-ms")?.toLong(),
                it.contains("leaving"),
                it.get("limit")?.toDouble(),
                it.get("brittle")?.toDouble(),
                it.get("load")?.let(::parseLoad),
            )
        },
        migrate = { source, run, destination, isLast -> this.migrate(source, run, destination, isLast) },
        copyHandle = { it.value },
    )
    private val plannedStop = PlannedStop()
    private val requestRelay = RequestRelay(
        RelayDependencies(fleet.views, fleet, control, connections, adapter, meters, clock, {
            0.5
        }, traffic.scope, plannedStop),
    )
    private val callers =
        CallerConnections({ fleet.views.value }, adapter, meters, clock, plannedStop, requestRelay::run)
    private val listener: Channel = runBlocking {
        control.run { fleet.update(listed) }
        traffic.listen(Address("127.0.0.1", 0), { 8_192 }, callers::serve).fold({ error(it) }, { it })
    }
    private val address = Address("127.0.0.1", (listener.localAddress() as InetSocketAddress).port)

    /** The number of requests that are being served. */
    val active: Int get() = onTraffic { callers.active }

    /** The targets that name a limit. */
    fun limited() = fleet.view.limited

    /** What targets have said of their limits. */
    fun limitStatements() = fleet.limits.heard()

    /** Whether this VM takes itself to be cut off from all targets. */
    val isCut: Boolean get() = onTraffic { paths.isCut }

    /** The placements that the fleet has granted. */
    fun use() = runBlocking { control.run { fleet.use() } }

    /** Waits until all placements have ended, and connections that may be used again are idle. */
    fun awaitIdle() {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MS)
        while (use().isNotEmpty()) {
            check(System.nanoTime() < endNanos) { "placements are held after $IDLE_TIMEOUT_MS ms" }
            Thread.sleep(5)
        }
    }

    /** Plans the end of the process in [remainingMs], and closes idle connections. */
    fun stop(remainingMs: Long = 60_000, estimatesForMs: Long = remainingMs): Unit = onTraffic {
        val nowMs = clock.nowMs()
        plannedStop.begin(nowMs + remainingMs, nowMs + estimatesForMs)
        callers.stop()
    }

    /** Shuts down as a process does that is killed after [graceMs]. */
    fun shutDown(graceMs: Long): Unit =
        runBlocking { CallerShutdown(traffic, callers, plannedStop, clock).run(graceMs, listener) }

    /** Gives up requests without a response, as just before the end of the process. */
    fun giveUpRequests(): Unit = onTraffic { plannedStop.giveUpRequests() }

    /** Whether a request or a response would be lost if the process ended now. */
    fun hasPendingWork(): Boolean = onTraffic { callers.hasPendingWork }

    /** Closes the connections of callers, as at the end of the process. */
    fun closeCallers(): Unit = onTraffic { callers.close() }

    /** Keeps the traffic thread from running for [pauseMs], as a process that is stopped. */
    fun pause(pauseMs: Long): Unit = onTraffic { Thread.sleep(pauseMs) }

    private fun <T> onTraffic(block: () -> T): T = runBlocking { withContext(traffic.dispatch) { block() } }

    /** Sets the configuration, or removes it, as in a process that has just started. */
    fun configure(isConfigured: Boolean): Unit = list(listed.copy(table = if (isConfigured) table() else null))

    /** Sets what control VMs list. */
    private fun list(view: FleetView) {
        listed = view
        runBlocking { control.run { fleet.update(view) } }
    }

    /** The crashes that this VM reports to control VMs. */
    fun crashReports() = runBlocking { control.run { fleet.crashes.reportAgesMs() } }

    /** Exchanges reports and refusals with a control VM whose crash reports are in [table]. */
    fun exchangeCrashReports(table: CrashReportTable) {
        table.receive(crashReports(), clock.nowMs())
        table.clear(runBlocking { control.run { fleet.crashes.soundAgesMs(table.suspected()) } }, clock.nowMs())
        list(listed.copy(refused = table.refused()))
    }

    /** Refuses the requests with one of [causes]. */
    fun refuse(causes: Set<Fingerprint>): Unit = list(listed.copy(refused = causes))

    /** Drains the failure domain of all targets. */
    fun drain(): Unit = list(listed.copy(drained = setOf(here)))

    /** Announces that [target] is leaving. */
    fun leave(target: ScriptedTarget): Unit = setPhase(target, TargetPhase.LEAVING)

    /** Announces that [target] is ready. */
    fun ready(target: ScriptedTarget): Unit = setPhase(target, TargetPhase.READY)

    private fun setPhase(target: ScriptedTarget, phase: TargetPhase): Unit = replace(target) { it.copy(phase = phase) }

    /** Announces that [target] has been started again at the same address. */
    fun restart(target: ScriptedTarget): Unit = replace(target) { it.copy(startedAtMs = it.startedAtMs + 1) }

    /** Announces [target] at [address]. */
    fun announceAt(target: ScriptedTarget, address: Address): Unit = replace(target) { it.copy(address = address) }

    private fun replace(target: ScriptedTarget, change: (TargetRecord) -> TargetRecord): Unit = list(
        listed.copy(
            targets = listed.targets.mapValues { (id, known) ->
                if (id.value.endsWith("-${target.name}")) known(change(known.record)) else known
            },
        ),
    )

    /** Opens a connection of a caller; a small buffer makes a slow reader delay its writer. */
    fun connect(receiveBufferBytes: Int? = null): Socket = Socket().also { socket ->
        receiveBufferBytes?.let { socket.receiveBufferSize = it }
        socket.connect(InetSocketAddress("127.0.0.1", address.port))
        socket.soTimeout = SOCKET_TIMEOUT_MS
    }

    /** Sends one request on a connection of its own and returns the response, or null if there is none. */
    fun call(path: String, body: String = "", vararg headers: String): RawMessage? = connect().use { socket ->
        socket.getOutputStream().write(requestText(path, body, *headers).encodeToByteArray())
        BufferedInputStream(socket.getInputStream()).readMessageOrNull()
    }

    fun addressOf(target: ScriptedTarget): Address = Address("127.0.0.1", target.port)

    override fun close() {
        traffic.close()
        control.close()
    }

    private fun headersForTarget(headers: HttpHeaders, dispatch: Dispatch): HttpHeaders {
        val copy = DefaultHttpHeaders()
        copy.set("host", "h").set("id", headers.get("id")).set("remaining-ms", dispatch.remainingTimeMs)
        dispatch.copyAt?.let { copy.set("copy-at", it.toString()) }
        dispatch.resume?.let { copy.set("resume", "${it.holder}/${it.handle}@${it.lastEventId}") }
        return copy
    }
}

internal fun requestText(path: String, body: String, vararg headers: String): String =
    "POST $path HTTP/1.1\r\nHost: h\r\nid: r1\r\n" + headers.joinToString("") { "$it\r\n" } +
        "content-length: ${body.length}\r\n\r\n$body"

private fun table() = RoutingTable(
    ServingConfiguration(
        ConfigurationVersion(1),
        listOf(
            route("/safe/", Repeatability.IDEMPOTENT, plain.id, 2),
            route("/once/", Repeatability.AT_MOST_ONCE, plain.id, 1),
            route("/stream/", Repeatability.STREAM, engines.id, 1),
        ),
        listOf(plain, engines),
        CallerLimits(8_192, 200_000, 3_000, 15_000),
        null,
    ),
)

private fun route(prefix: String, repeatability: Repeatability, service: ServiceId, maxTargets: Int) = Route(
    prefix, "h", prefix, repeatability, 8_000, 1_000, 180, 0,
    listOf(ServiceShare(service, 1.0)), maxTargets, true, false,
)
