/*
 * A target of the fault soak as a program of its own, so that signals act on it as on the programs under test. It
 * announces itself, runs requests, keeps copies of other targets' runs and records what it sees. Faults other than
 * signals are requested with private calls under /soak/.
 */
package fulmarshunt.soak

import java.io.BufferedInputStream
import java.io.File
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.system.exitProcess

private const val HEARTBEAT_MS = 1_000L
private const val FAILED_HEARTBEAT_MS = 100L
private const val CALL_TIMEOUT_MS = 1_000
private const val COPY_PERIOD_MS = 150L
private const val COPY_TIMEOUT_MS = 300
private const val COPY_LIFETIME_NS = 5_000_000_000L
private const val MIN_PAUSE_MS = 20
private const val MAX_PAUSE_MS = 60
private const val MAX_WORK_MS = 120
internal const val TOKENS_PER_EVENT = 4
private const val DRAIN_MS = 3_000L

/** The part of the runs that go on although their channel has closed, as 1 in this number. */
private const val IGNORES_CLOSE_ONE_IN = 5

/** So short that connections which are not accepted soon take long to open. */
private const val BACKLOG = 8
private const val MIN_STALL_MS = 600
private const val MAX_STALL_MS = 1_500
private const val STALL_END_MS = 100L
private const val MIN_RETRY_AFTER_MS = 1_000
private const val MAX_RETRY_AFTER_MS = 4_000
private const val ERROR_DELAY_MS = 1_200L

private const val MIN_SUSPENSION_MS = 500
private const val MAX_SUSPENSION_MS = 3_500
private const val SUSPENSION_STEP_MS = 40
private const val MAX_LATE_MOVE_MS = 3_000
private const val MAX_MISPLACED_EVENTS = 4

/** The part of the events that a target with this fault sends twice, and of those that it sends in two pieces. */
private const val REPEATED_ONE_IN = 10
private const val SPLIT_ONE_IN = 8
private const val MAX_SPLIT_PAUSE_MS = 10

/** The part of the streams that have neither a length nor chunks, as 1 in this number. */
private const val UNFRAMED_ONE_IN = 3

/**
 * What a target does to a request besides running it; only streams wait before their first event, are preempted, go
 * on at an event before the right one or repeat events.
 */
private enum class InjectedFault {
    NONE,
    REFUSE,
    PAUSE,
    FAIL,
    LOSE,
    DELAY,
    RESET,
    WAIT,
    PREEMPT,
    ACCEPT,
    LIMIT,
    MOVE,
    MISPLACE,
}

/** Faults of a target that do not act on single requests. */
private val faultsOfTarget = setOf(InjectedFault.ACCEPT, InjectedFault.LIMIT, InjectedFault.MOVE)

/** What the caller gets for a last move. */
private enum class MoveAnswer {
    /** What the protocol says. */
    PROPER,

    /** The connection ends without a response. */
    CLOSED,

    /** The connection is reset without a response. */
    RESET,

    /** The response comes late. */
    LATE,

    /** A failure without the handle, although the run was stopped. */
    NO_HANDLE,

    /** A failure with the handle, which keeps the memory at this target. */
    NOT_COPIED,

    /** A success that cannot be read. */
    UNREADABLE,
}

/** Runs a target with `name=value` arguments. */
public fun main(arguments: Array<String>) {
    val values = arguments.associate { it.substringBefore('=') to it.substringAfter('=') }
    SoakTarget(
        id = values.getValue("id"),
        address = soakAddress(values.getValue("address")),
        service = values.getValue("service"),
        zone = values.getValue("zone"),
        slots = values.getValue("slots").toInt(),
        controls = values.getValue("controls").split(',').map(::soakAddress),
        random = Random(values.getValue("seed").toLong()),
        record = SoakRecord(File(values.getValue("record"))),
        crashStyle = SoakCrashStyle.valueOf(values["crash"] ?: "EXIT"),
    ).run()
}

private class Run(val request: String, val backup: SoakAddress?, val isFramed: Boolean) {
    val made = AtomicInteger()
    val isStopped = ConcurrentHashMap.newKeySet<String>()

    /** Whether the head of the response has been sent. */
    var hasHead = false
}

private class SoakTarget(
    private val id: String,
    private val address: SoakAddress,
    private val service: String,
    private val zone: String,
    private val slots: Int,
    private val controls: List<SoakAddress>,
    private val random: Random,
    private val record: SoakRecord,
    private val crashStyle: SoakCrashStyle,
) {
    private val startedAtMs = System.currentTimeMillis()
    private val runs = ConcurrentHashMap<String, Run>()
    private val running = AtomicInteger()
    private val handles = AtomicLong()
    private val injected = ConcurrentHashMap<InjectedFault, Double>()

    private val channels = ConcurrentHashMap.newKeySet<Socket>()

    /** When each copy was last extended, by request id or handle. */
    private val copies = ConcurrentHashMap<String, Long>()

    @Volatile
    private var isDraining = false

    @Volatile
    private var isDown = false

    fun run() {
        val serverChannel = ServerSocketChannel.open()
        serverChannel.dropPacketsOfCutVms()
        val socket = serverChannel.socket()
        socket.reuseAddress = true
        socket.bind(InetSocketAddress(address.ip, address.port), BACKLOG)
        thread(isDaemon = true) { announce() }
        thread(isDaemon = true) { sendCopies() }
        var stallMs = 0L
        var stallEndNs = 0L
        while (true) {
            if (nextInt(0, PERCENT) < PERCENT * (injected[InjectedFault.ACCEPT] ?: 0.0)) {
                stallMs = nextInt(MIN_STALL_MS, MAX_STALL_MS).toLong()
                Thread.sleep(stallMs)
                stallEndNs = System.nanoTime()
            }
            val channel = socket.accept()
            if (isDown) Thread.sleep(Long.MAX_VALUE)
            val stalledMs = if (System.nanoTime() < stallEndNs + STALL_END_MS * NS_PER_MS) stallMs else 0
            channels += channel
            thread(isDaemon = true) {
                try {
                    channel.use { serve(it, stalledMs) }
                } catch (e: IOException) {
                    // The caller has closed the channel; a run that this ends has been recorded.
                } finally {
                    channels -= channel
                }
            }
        }
    }

    private fun announce() {
        var node = random.nextInt(controls.size)
        var sequence = 0L
        var drainedAtMs: Long? = null
        while (!isDown) {
            val isDrainingNow = isDraining
            val body = """{"service":"$service","address":"$address","zone":"$zone","version":"v1","slots":$slots,""" +
                """"state":"${if (isDrainingNow) "draining" else "ready"}","cold_remaining_ms":0,""" +
                """"seq":${++sequence},"born":$startedAtMs}"""
            val status = callOnce(controls[node], "POST", "/api/instances/$id/heartbeat", body, CALL_TIMEOUT_MS)
            if (status == OK) {
                if (isDrainingNow && drainedAtMs == null) drainedAtMs = System.currentTimeMillis()
            } else {
                node = (node + 1) % controls.size
            }
            if (drainedAtMs != null && System.currentTimeMillis() > drainedAtMs + DRAIN_MS) {
                callOnce(controls[node], "POST", "/api/instances/$id/deregister", """{"born":$startedAtMs}""", 1_000)
                runs.values.forEach { recordEnd(it, "exit") }
                exitProcess(0)
            }
            val pauseMs = if (status == OK) HEARTBEAT_MS else FAILED_HEARTBEAT_MS
            var waitedMs = 0L
            while (waitedMs < pauseMs && isDraining == isDrainingNow) {
                Thread.sleep(50)
                waitedMs += 50
            }
        }
    }

    /** Sends the progress of runs to the targets that keep their copies, one thread for each of these. */
    private fun sendCopies() {
        val senders = ConcurrentHashMap.newKeySet<SoakAddress>()
        while (true) {
            Thread.sleep(COPY_PERIOD_MS)
            val atNs = System.nanoTime()
            copies.entries.removeIf { atNs - it.value > COPY_LIFETIME_NS }
            runs.values.filter { it.backup != null && it.made.get() > 0 }.groupBy { it.backup }.forEach { (to, group) ->
                if (to != null && senders.add(to)) {
                    thread(isDaemon = true) {
                        callOnce(to, "POST", "/soak/copy", group.joinToString(",") { it.request }, COPY_TIMEOUT_MS)
                        senders -= to
                    }
                }
            }
        }
    }

    /** Serves [channel], whose first request may have waited for [stalledMs] until it was accepted. */
    private fun serve(channel: Socket, stalledMs: Long) {
        var acceptStallMs = stalledMs
        channel.tcpNoDelay = true
        val input = BufferedInputStream(channel.getInputStream())
        while (true) {
            channel.soTimeout = 0
            val message = input.readSoakMessageOrNull() ?: return
            val path = message.startLine.split(' ')[1]
            when {
                path == "/soak/copy" -> {
                    message.body.split(',').forEach { copies[it] = System.nanoTime() }
                    channel.write(200, "", "")
                }
                path == "/soak/drain" -> {
                    isDraining = true
                    channel.write(200, "", "")
                }
                path.startsWith("/soak/fault/") -> {
                    injected[InjectedFault.valueOf(path.substringAfterLast('/'))] = message.body.toDouble()
                    channel.write(200, "", "")
                }
                path == "/soak/reset" -> {
                    channels.filter { it.inetAddress?.hostAddress == message.body }.forEach {
                        reset(it)
                        it.close()
                    }
                    channel.write(200, "", "")
                }
                path == "/api/kv-move" -> if (!move(channel, message.body)) return
                path == "/health" -> {
                    channel.write(if (isDraining) 503 else 200, "Fulmarshunt-Instance-Id: $id\r\n", "")
                }
                else -> {
                    recordArrival(message, acceptStallMs)
                    if (!take(channel, input, message, path)) return
                }
            }
            acceptStallMs = 0
        }
    }

    /** Answers a request to move a run; returns whether the channel can be used again. */
    private fun move(channel: Socket, body: String): Boolean {
        fun field(name: String) = Regex("\"$name\"\\s*:\\s*\"?([^\",}]+)").find(body)?.groupValues?.get(1).orEmpty()
        val run = runs[field("id")]
        if (run == null || !run.isStopped.add("moving")) {
            channel.write(if (run == null) 404 else 409, "", "{}")
            return true
        }
        val handle = "h-$id-${handles.incrementAndGet()}"
        val isLast = field("last") == "true"
        val answer = if (isLast) drawMoveAnswer() else MoveAnswer.PROPER
        if (isLast) {
            run.isStopped += "stopped"
            while (runs[run.request] === run) Thread.sleep(5)
            copies[handle] = System.nanoTime()
        } else {
            Thread.sleep(50)
        }
        run.isStopped -= "moving"
        if (isLast) record.add(SoakKind.MOVE, "request" to run.request, "target" to id, "answer" to answer)
        val copyStatus = if (answer == MoveAnswer.NOT_COPIED) {
            null
        } else {
            callOnce(soakAddress(field("target")), "POST", "/soak/copy", handle, CALL_TIMEOUT_MS)
        }
        val text = """{"handle":"$handle","made":${run.made.get()}}"""
        when (answer) {
            MoveAnswer.CLOSED -> return false
            MoveAnswer.RESET -> {
                reset(channel)
                return false
            }
            MoveAnswer.NO_HANDLE -> channel.write(503, "", "{}")
            MoveAnswer.UNREADABLE -> channel.write(200, "", text.dropLast(text.length / 2))
            MoveAnswer.LATE, MoveAnswer.PROPER, MoveAnswer.NOT_COPIED -> {
                if (answer == MoveAnswer.LATE) Thread.sleep(nextInt(MIN_SUSPENSION_MS, MAX_LATE_MOVE_MS).toLong())
                channel.write(if (copyStatus == OK) 200 else 503, "", text)
            }
        }
        return true
    }

    private fun drawMoveAnswer(): MoveAnswer = synchronized(random) {
        val isFault = random.nextDouble() < (injected[InjectedFault.MOVE] ?: 0.0)
        if (isFault) (MoveAnswer.entries - MoveAnswer.PROPER).random(random) else MoveAnswer.PROPER
    }

    private fun drawInjectedFault(): InjectedFault = synchronized(random) {
        injected.entries.firstOrNull { it.key !in faultsOfTarget && random.nextDouble() < it.value }?.key
            ?: InjectedFault.NONE
    }

    private fun isMisdirected(message: SoakMessage) =
        message.headers["fulmarshunt-expect-instance"].let { it != null && it != id }

    private fun recordArrival(message: SoakMessage, stalledMs: Long) = record.add(
        SoakKind.ARRIVE,
        "request" to message.headers["fulmarshunt-request-id"].orEmpty(),
        "target" to id,
        "zone" to zone,
        "service" to service,
        "misdirected" to isMisdirected(message),
        "from" to message.headers["kv-from"].orEmpty(),
        "last" to message.headers["last-event-id"].orEmpty(),
        "bytes" to message.body.length,
        "hash" to message.body.hashCode(),
        "deadline_ms" to (message.headers["fulmarshunt-deadline-ms"] ?: "none"),
        "stalled_ms" to stalledMs,
    )

    /** Handles one request; returns whether the channel can be used again. */
    private fun take(channel: Socket, input: InputStream, message: SoakMessage, path: String): Boolean {
        val request = message.headers["fulmarshunt-request-id"].orEmpty()
        val isMisdirected = isMisdirected(message)
        val source = message.headers["kv-from"].orEmpty()
        val fault = drawInjectedFault()
        val key = source.substringAfter('/')
        val reason = when {
            isMisdirected -> "misdirected"
            source.isNotEmpty() && !copies.containsKey(key) -> "no_copy"
            source.isEmpty() && running.get() >= slots -> "full"
            fault == InjectedFault.REFUSE -> "injected"
            fault == InjectedFault.PAUSE -> "paused"
            else -> null
        }
        if (reason != null) {
            val pauseMs = if (reason == "paused") nextInt(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) else null
            record.add(
                SoakKind.REFUSE,
                "request" to request,
                "target" to id,
                "reason" to reason,
                "retry_after_ms" to (pauseMs ?: ""),
            )
            val headers = "Fulmarshunt-Request-Id: $request\r\nFulmarshunt-Not-Run: 1\r\n" +
                pauseMs?.let { "Retry-After: ${it / 1_000.0}\r\n" }.orEmpty()
            channel.write(if (isMisdirected) 421 else 503, headers, "")
            return true
        }
        if (key.startsWith("h-")) copies -= key
        val isFramed = "$request$id".hashCode().mod(UNFRAMED_ONE_IN) > 0
        val run = Run(request, message.headers["fulmarshunt-kv-backup"]?.let(::soakAddress), isFramed)
        runs[request] = run
        running.incrementAndGet()
        var reasonOfEnd = "closed"
        try {
            if (fault == InjectedFault.WAIT) {
                record.add(SoakKind.QUEUED, "request" to request, "target" to id, "framed" to isFramed)
            }
            val reasonOfLeave = if (fault == InjectedFault.WAIT) await(channel, input, path, run) else null
            if (reasonOfLeave == null) {
                record.add(
                    SoakKind.BEGIN,
                    "request" to request,
                    "target" to id,
                    "from" to source,
                    "framed" to (isFramed || !path.startsWith("/$STREAM/")),
                )
            }
            reasonOfEnd = reasonOfLeave ?: work(channel, input, message, path, run, fault)
        } finally {
            runs.remove(request, run)
            running.decrementAndGet()
            recordEnd(run, reasonOfEnd)
        }
        return reasonOfEnd == "done" && (isFramed || !path.startsWith("/$STREAM/"))
    }

    /** Ends the process because of [request]; another one follows when the target is back. */
    private fun crash(request: String) {
        isDown = true
        record.add(SoakKind.DISTURBED, "node" to id, "action" to "CRASH")
        record.add(SoakKind.KILLED, "node" to id, "request" to request, "style" to crashStyle)
        if (crashStyle == SoakCrashStyle.LISTENING) {
            channels.forEach {
                runCatching {
                    reset(it)
                    it.close()
                }
            }
        }
        Thread.sleep(if (crashStyle == SoakCrashStyle.EXIT) 0 else CRASH_DOWN_MS)
        Runtime.getRuntime().halt(CRASH_EXIT_CODE)
    }

    private fun recordEnd(run: Run, reason: String) = record.add(
        SoakKind.END,
        "request" to run.request,
        "target" to id,
        "reason" to reason,
        "made" to run.made.get(),
        "framed" to run.isFramed,
    )

    /** Lets a stream wait before it runs; returns why it left, or null. The head of half of them is sent at once. */
    private fun await(channel: Socket, input: InputStream, path: String, run: Run): String? {
        if (!path.startsWith("/$STREAM/")) return null
        if (nextInt(0, 2) == 0) {
            run.hasHead = true
            channel.getOutputStream().write(streamHeadOf(run).encodeToByteArray())
        }
        return suspendOrNull(channel, input, run, false)
    }

    /** Lets a run stand still; returns how it ended meanwhile, or null. */
    private fun suspendOrNull(channel: Socket, input: InputStream, run: Run, ignoresClose: Boolean): String? {
        repeat(nextInt(MIN_SUSPENSION_MS, MAX_SUSPENSION_MS) / SUSPENSION_STEP_MS) {
            if ("stopped" in run.isStopped) return "stopped"
            if (!pause(channel, input, SUSPENSION_STEP_MS, ignoresClose)) return "closed"
        }
        return null
    }

    /** Runs a request and returns how the run ended. */
    private fun work(
        channel: Socket,
        input: InputStream,
        message: SoakMessage,
        path: String,
        run: Run,
        fault: InjectedFault,
    ): String {
        val ignoresClose = run.request.hashCode().mod(IGNORES_CLOSE_ONE_IN) == 0
        val isStream = path.startsWith("/$STREAM/") && fault != InjectedFault.FAIL
        if (message.body.startsWith(CRASHING)) crash(run.request)
        if (fault == InjectedFault.DELAY) Thread.sleep(ERROR_DELAY_MS)
        return if (isStream) {
            stream(channel, input, message, run, fault, ignoresClose)
        } else {
            answer(channel, input, run, fault, ignoresClose)
        }
    }

    private fun headOf(run: Run): String {
        val limit = injected[InjectedFault.LIMIT]?.takeIf { it > 0 }
        if (limit != null) record.add(SoakKind.LIMITED, "request" to run.request, "target" to id, "limit" to limit)
        return "Fulmarshunt-Request-Id: ${run.request}\r\nFulmarshunt-Server-Stamp: $id.${run.request}\r\n" +
            "Fulmarshunt-Server-Load: ${running.get()},0,$slots\r\n" +
            limit?.let { "Server-Limit: $it\r\n" }.orEmpty()
    }

    private fun streamHeadOf(run: Run) = "HTTP/1.1 200 OK\r\n${headOf(run)}Content-Type: text/event-stream\r\n" +
        if (run.isFramed) "Transfer-Encoding: chunked\r\n\r\n" else "\r\n"

    private fun answer(
        channel: Socket,
        input: InputStream,
        run: Run,
        fault: InjectedFault,
        ignoresClose: Boolean,
    ): String {
        val pauseMs = nextInt(MIN_PAUSE_MS, MAX_WORK_MS)
        if (!pause(channel, input, pauseMs, ignoresClose)) return "closed"
        if (fault == InjectedFault.LOSE) return "lost"
        if (fault == InjectedFault.RESET) return reset(channel)
        channel.write(if (fault == InjectedFault.FAIL) 500 else 200, headOf(run), "body of ${run.request}")
        return "done"
    }

    private fun stream(
        channel: Socket,
        input: InputStream,
        message: SoakMessage,
        run: Run,
        fault: InjectedFault,
        ignoresClose: Boolean,
    ): String {
        val output = channel.getOutputStream()
        val tokens = message.headers.getValue("fulmarshunt-token-counts").substringAfter(',').toInt()
        val count = tokens / TOKENS_PER_EVENT
        val first = firstEvent(message, run, fault)
        val isCut = fault == InjectedFault.LOSE || fault == InjectedFault.RESET
        val cutAt = if (isCut) first + nextInt(0, count) else Int.MAX_VALUE
        val preemptedAt = if (fault == InjectedFault.PREEMPT) first + nextInt(0, count) else Int.MAX_VALUE
        var isOpen = run.hasHead || send(true, ignoresClose) { output.write(streamHeadOf(run).encodeToByteArray()) }
        for (number in first..count) {
            if ("stopped" in run.isStopped) return "stopped"
            if (number == cutAt) {
                val reason = if (fault == InjectedFault.RESET) reset(channel) else "lost"
                if (!ignoresClose) return reason
                // The connection ends for the caller only; the run goes on.
                channel.close()
                isOpen = false
            }
            if (number == preemptedAt) suspendOrNull(channel, input, run, ignoresClose)?.let { return it }
            run.made.set(number)
            isOpen = send(isOpen, ignoresClose) { output.writeEvent(run, number, fault) }
            if (!pause(channel, input, nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS), ignoresClose)) return "closed"
        }
        send(isOpen && run.isFramed, ignoresClose) { output.write("0\r\n\r\n".encodeToByteArray()) }
        return if (isOpen) "done" else "client_gone"
    }

    /** Writes event [number], twice for some events if [fault] misplaces them. */
    private fun OutputStream.writeEvent(run: Run, number: Int, fault: InjectedFault) {
        val event = "id: $number\ndata: ${run.request}\n\n"
        val bytes = (if (run.isFramed) "${event.length.toString(16)}\r\n$event\r\n" else event).encodeToByteArray()
        val isRepeated = fault == InjectedFault.MISPLACE && nextInt(0, REPEATED_ONE_IN) == 0
        if (isRepeated) recordMisplaced(run, number, number)
        repeat(if (isRepeated) 2 else 1) { writeInPieces(bytes) }
    }

    /** Returns the event that a run begins with, one that its caller has already if [fault] misplaces it. */
    private fun firstEvent(message: SoakMessage, run: Run, fault: InjectedFault): Int {
        val last = message.headers["last-event-id"]?.toInt() ?: 0
        if (fault != InjectedFault.MISPLACE || last == 0) return last + 1
        val first = maxOf(1, last + 1 - nextInt(1, MAX_MISPLACED_EVENTS))
        recordMisplaced(run, last, first)
        return first
    }

    private fun recordMisplaced(run: Run, last: Int, first: Int) =
        record.add(SoakKind.MISPLACED, "request" to run.request, "target" to id, "last" to last, "first" to first)

    /** Writes [bytes], some of them so that they arrive in two reads. */
    private fun OutputStream.writeInPieces(bytes: ByteArray) {
        val split = if (nextInt(0, SPLIT_ONE_IN) == 0) nextInt(1, bytes.size) else 0
        write(bytes, 0, split)
        if (split > 0) Thread.sleep(nextInt(1, MAX_SPLIT_PAUSE_MS).toLong())
        write(bytes, split, bytes.size - split)
    }

    /** Writes unless the channel has ended; a failure ends the run unless [ignoresClose]. */
    private fun send(isOpen: Boolean, ignoresClose: Boolean, write: () -> Unit): Boolean = try {
        if (isOpen) write()
        isOpen
    } catch (e: IOException) {
        if (!ignoresClose) throw e
        false
    }

    private fun reset(channel: Socket): String {
        channel.setSoLinger(true, 0)
        return "reset"
    }

    private fun nextInt(from: Int, until: Int) = synchronized(random) { random.nextInt(from, maxOf(from + 1, until)) }

    /** Waits for [pauseMs]; returns false as soon as the caller has closed the channel, unless [ignoresClose]. */
    private fun pause(channel: Socket, input: InputStream, pauseMs: Int, ignoresClose: Boolean): Boolean {
        if (ignoresClose) {
            Thread.sleep(pauseMs.toLong())
            return true
        }
        return try {
            channel.soTimeout = pauseMs
            input.mark(1)
            val byte = input.read()
            if (byte >= 0) {
                input.reset()
                Thread.sleep(pauseMs.toLong())
            }
            byte >= 0
        } catch (e: SocketTimeoutException) {
            true
        }
    }

    private fun Socket.write(status: Int, headers: String, body: String) {
        val text = "HTTP/1.1 $status Status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"
        getOutputStream().write(text.encodeToByteArray())
    }
}

private const val OK = 200
private const val PERCENT = 100
