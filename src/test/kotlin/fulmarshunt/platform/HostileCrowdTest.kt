/*
 * Crowds of clients outside the limits in front of an entry VM and a control VM, as real processes with a small memory.
 * The crowd stays open while an ordinary request is made. Nothing here depends on the speed of the machine: a process
 * must live, stay under the bounds on memory and descriptors, and answer.
 */
package fulmarshunt.platform

import fulmarshunt.caller.relay.RawMessage
import fulmarshunt.caller.relay.ScriptedTarget
import fulmarshunt.caller.relay.readMessageOrNull
import fulmarshunt.faults.awaitThat
import fulmarshunt.standin.Processes
import fulmarshunt.standin.freePort
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.File
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit

private const val ENTRY_IP = "127.0.0.1"
private const val CONTROL_IP = "127.0.0.2"

/** The memory of the process; the deployments give 112 and 128 MB of heap and 48 MB of direct memory. */
private val smallMemory = listOf(
    "-Xmx40m",
    "-Xss256k",
    "-XX:MaxDirectMemorySize=16m",
    "-XX:MaxMetaspaceSize=64m",
    "-XX:ReservedCodeCacheSize=24m",
    "-XX:+ExitOnOutOfMemoryError",
    "-Dio.netty.allocator.type=unpooled",
)

/** The sum of these limits, and 36 MiB for threads, the collector and libraries. */
private const val MAX_RESIDENT_KIB = 180L * 1_024

/** Two connections for each member of the greatest crowd, and those of an idle process, which are some 105. */
private const val MAX_DESCRIPTORS = 1_000

/** The limit that one test sets for the process; an idle one has some 105 open. */
private const val FEW_DESCRIPTORS = 200

private const val CROWD = 120
private const val SLOW_READERS = 400
private const val SHORT_BODIES = 400
private const val HEAD_LINES = 3_200
private const val MAX_BODY_BYTES = 262_144
private const val SHORT_BODY_BYTES = 60_000
private const val FAR_OVER_BYTES = 10_000_000_000L
private const val SENT_OVER_BYTES = 1_000_000
private const val MAX_CONTROL_BODY_BYTES = 1_000_000
private const val ANSWER_BYTES = 1_000_000
private const val DESCRIPTOR_CROWD = 300
private const val CHUNK_BYTES = 0x2000

/** Six forms make a crowd of 180 connections. */
private const val MIXED_EACH = 30
private const val STRANGERS = 60
private const val STRANGER_BYTES = 16_384
private const val RELOADS = 3

/** The default grace period is 8 s; a process that has not ended long after it hangs. */
private const val STOP_LIMIT_S = 60L

/** An ordinary request is repeated as its caller would, because others compete for the same target. */
private const val ATTEMPTS = 6
private const val ATTEMPT_TIMEOUT_MS = 8_000
private const val BETWEEN_ATTEMPTS_MS = 250L

@Timeout(240)
class HostileCrowdTest {
    @TempDir
    lateinit var directory: File

    private val processes by lazy { Processes(directory) }
    private val linkPort = freePort()
    private val requestPort = freePort()
    private val readinessPort = freePort()
    private val metricsPort = freePort()
    private val callerPort = freePort()
    private val bigAnswer = "x".repeat(ANSWER_BYTES)

    private val target = ScriptedTarget("a") {
        val body = if (request.startLine.contains("/big")) bigAnswer else "a"
        write(
            "HTTP/1.1 200 OK\r\nFulmarshunt-Request-Id: ${request.header("fulmarshunt-request-id")}\r\n" +
                "Fulmarshunt-Server-Stamp: 1\r\nContent-Length: ${body.length}\r\n\r\n$body",
        )
    }
    private lateinit var control: Process

    @BeforeEach
    fun startControl() {
        val settings = """
            ${common(CONTROL_IP, "control")}
            [data]
            directory = "$directory/data"
            [listen]
            requests = "$CONTROL_IP:$requestPort"
            metrics = "$CONTROL_IP:$metricsPort"
            [formation]
            bootstrap = true
            [targets]
            period_ms = 500
        """.trimIndent()
        control = start("control", "fulmarshunt.platform.FleetControlKt", settings)
        awaitThat("a configuration") { askControl("POST", "/api/config/replace", configuration).isOk() }
    }

    @AfterEach
    fun end() {
        processes.close()
        target.close()
    }

    private fun common(ip: String, id: String) = """
            [vm]
            id = "$id"
            failure_domain = "here"
            ip = "$ip"
            [link]
            port = $linkPort
            secret = "secret-of-this-test"
            [control]
            seeds = ["$CONTROL_IP:$requestPort"]
    """.trim()

    private val configuration =
        """{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/one/","type":"unsafe","public":true,""" +
            """"timeout_ms":4000,"slo_ms":1000,"service":"s"}],"services":[{"name":"s","max_conns":1000}],""" +
            """"limits":{"max_header_bytes":16384,"max_body_bytes":$MAX_BODY_BYTES,"header_timeout_ms":3000,""" +
            """"idle_timeout_ms":15000}}"""

    private fun start(name: String, mainClass: String, settings: String, maxDescriptors: Int? = null): Process =
        processes.start(
            name,
            mainClass,
            "--settings",
            processes.settings("$name.toml", settings),
            jvmFlags = smallMemory,
            maxDescriptors = maxDescriptors,
        )

    /** Starts an entry VM, and returns it once it has served a request. */
    private fun startEntry(maxDescriptors: Int? = null): Process {
        val settings = """
            ${common(ENTRY_IP, "entry")}
            [listen]
            callers = "$ENTRY_IP:$callerPort"
            readiness = "$ENTRY_IP:$readinessPort"
            metrics = "$ENTRY_IP:$metricsPort"
            forwarding = "$ENTRY_IP:$linkPort"
        """.trimIndent()
        val entry = start("entry", "fulmarshunt.platform.FleetEntryKt", settings, maxDescriptors)
        announce(1)
        awaitThat("the first answer") { request().isOk() }
        return entry
    }

    private fun announce(sequence: Int) = awaitThat("the target announced") {
        val body =
            """{"service":"s","address":"127.0.0.1:${target.port}","zone":"here","slots":1000,"state":"ready",""" +
                """"cold_remaining_ms":0,"seq":$sequence,"born":1}"""
        askControl("POST", "/api/instances/a/heartbeat", body).isOk()
    }

    private fun askControl(method: String, path: String, body: String = "") =
        call(CONTROL_IP, requestPort, method, path, body)

    private fun request() = call(ENTRY_IP, callerPort, "POST", "/one/x")

    private fun call(host: String, port: Int, method: String, path: String, body: String = ""): RawMessage? =
        runCatching {
            Socket(host, port).use { socket ->
                socket.soTimeout = ATTEMPT_TIMEOUT_MS
                val text = "$method $path HTTP/1.1\r\nHost: h\r\nFulmarshunt-Request-Id: r1\r\nConnection: close\r\n" +
                    "Content-Length: ${body.length}\r\n\r\n$body"
                socket.getOutputStream().write(text.encodeToByteArray())
                BufferedInputStream(socket.getInputStream()).readMessageOrNull()
            }
        }.getOrNull()

    private fun RawMessage?.isOk() = this?.startLine?.contains(" 200 ") == true

    private fun isAnswered(ask: () -> RawMessage?): Boolean = (1..ATTEMPTS).any {
        ask().isOk().also { isOk -> if (!isOk) Thread.sleep(BETWEEN_ATTEMPTS_MS) }
    }

    /** Sends [bytes] on [count] connections to an entry VM and checks it while they are open. */
    private fun checkEntry(bytes: ByteArray, count: Int = CROWD, maxDescriptors: Int? = null) {
        val entry = startEntry(maxDescriptors)
        HostileCrowd(InetSocketAddress(ENTRY_IP, callerPort)).open(count, bytes).send().use {
            check("entry", entry) { request() }
        }
    }

    /** Opens a crowd at [address] that sends each of [contents] on [count] connections. */
    private fun crowd(address: InetSocketAddress, count: Int, vararg contents: ByteArray) =
        HostileCrowd(address).also { crowd -> contents.forEach { crowd.open(count, it) } }.send()

    /** Opens crowds at [ports] of [ip] that send heads without end, requests that are no HTTP, and nothing. */
    private fun crowdsAt(ip: String, ports: List<Int>) = ports.map {
        crowd(InetSocketAddress(ip, it), STRANGERS, openHead, ByteArray(STRANGER_BYTES) { 0 }, ByteArray(0))
    }

    /** A crowd of all forms at once, at the callers' address of the entry VM. */
    private fun mixedCrowd() = crowd(
        InetSocketAddress(ENTRY_IP, callerPort),
        MIXED_EACH,
        openHead,
        head("/one/x", oddLines).removeSuffix("\r\n").encodeToByteArray(),
        withLength(MAX_BODY_BYTES.toLong(), MAX_BODY_BYTES - 1),
        inChunksOfOneByte(SHORT_BODY_BYTES),
        inChunks(MAX_BODY_BYTES - CHUNK_BYTES),
        head("/one/big", "").encodeToByteArray(),
    )

    private fun signal(process: Process, name: String) {
        ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
    }

    /** Sends [bytes] on many connections to a control VM and checks it while they are open. */
    private fun checkControl(bytes: ByteArray) {
        HostileCrowd(InetSocketAddress(CONTROL_IP, requestPort)).open(CROWD, bytes).send().use {
            check("control", control) { askControl("GET", "/api/config/get") }
        }
    }

    private fun check(name: String, process: Process, ask: () -> RawMessage?) {
        val isAnswered = process.isAlive && isAnswered(ask)
        val descriptors = File("/proc/${process.pid()}/fd").list()?.size ?: 0
        val residentKib = File("/proc/${process.pid()}/status").takeIf { it.exists() }?.readLines().orEmpty()
            .firstOrNull { it.startsWith("VmHWM:") }?.filter { it.isDigit() }?.toLong() ?: 0
        println("alive=${process.isAlive} answered=$isAnswered descriptors=$descriptors residentKib=$residentKib")
        if (!process.isAlive) println(processes.lastLines(name))
        expectThat(process.isAlive).isTrue()
        expectThat(isAnswered).isTrue()
        expectThat(descriptors).isLessThan(MAX_DESCRIPTORS)
        expectThat(residentKib).isLessThan(MAX_RESIDENT_KIB)
    }

    private fun head(path: String, more: String) =
        "POST $path HTTP/1.1\r\nHost: h\r\nFulmarshunt-Request-Id: c\r\n$more\r\n"

    private fun withLength(length: Long, sent: Int) =
        (head("/one/x", "Content-Length: $length\r\n") + "x".repeat(sent)).encodeToByteArray()

    private fun inChunksOfOneByte(count: Int) =
        (head("/one/x", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n".repeat(count)).encodeToByteArray()

    /** Returns a body in chunks that has no end. */
    private fun inChunks(bytes: Int): ByteArray {
        val body = ByteArrayOutputStream()
        body.write(head("/one/x", "Transfer-Encoding: chunked\r\n").encodeToByteArray())
        val chunk = "${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n".encodeToByteArray()
        repeat(bytes / CHUNK_BYTES) { body.write(chunk) }
        return body.toByteArray()
    }

    private val manyLines = "a:\r\n".repeat(HEAD_LINES)
    private val oddLines = (1..HEAD_LINES).joinToString("") { if (it % 8 == 0) " \r\n" else "~:;\r\n" }
    private val openHead = head("/one/x", manyLines).removeSuffix("\r\n").encodeToByteArray()

    /** Guards against heads that take many times their length of the heap while they are incomplete. */
    @Test
    fun `an entry VM bears incomplete heads of short lines`(): Unit = checkEntry(openHead)

    /** Guards against heads that are kept while their requests are served. */
    @Test
    fun `an entry VM bears whole heads of short lines`(): Unit =
        checkEntry(head("/one/x", manyLines + "Content-Length: 1\r\n").encodeToByteArray())

    /** Guards against odd lines, which continue each other or repeat a name. */
    @Test
    fun `an entry VM bears heads of odd lines`(): Unit =
        checkEntry(head("/one/x", oddLines).removeSuffix("\r\n").encodeToByteArray())

    /** Guards against bodies that are buffered for callers that do not send their end. */
    @Test
    fun `an entry VM bears short bodies that stop before their end`(): Unit =
        checkEntry(withLength(SHORT_BODY_BYTES.toLong(), SHORT_BODY_BYTES - 1), SHORT_BODIES)

    /** Guards against long bodies that are passed on while their end is missing. */
    @Test
    fun `an entry VM bears long bodies that stop before their end`(): Unit =
        checkEntry(withLength(MAX_BODY_BYTES.toLong(), MAX_BODY_BYTES - 1))

    /** Guards against an object on the heap for each byte of a body. */
    @Test
    fun `an entry VM bears bodies in chunks of one byte`(): Unit = checkEntry(inChunksOfOneByte(SHORT_BODY_BYTES))

    /** Guards against bodies that are read although they are refused. */
    @Test
    fun `an entry VM bears bodies that are announced far over the limit`(): Unit =
        checkEntry(withLength(FAR_OVER_BYTES, SENT_OVER_BYTES))

    /** Guards against bodies of unknown length that are read beyond the limit. */
    @Test
    fun `an entry VM bears bodies without end`(): Unit = checkEntry(inChunks(SENT_OVER_BYTES))

    /** Guards against answers that fill the memory because nobody reads them. */
    @Test
    fun `an entry VM bears callers that do not read`(): Unit =
        checkEntry(head("/one/big", "").encodeToByteArray(), SLOW_READERS)

    /** Guards against connections that take all descriptors, so that no other caller is accepted. */
    @Test
    fun `an entry VM bears more connections than it has descriptors`(): Unit =
        checkEntry("POST /one/x HT".encodeToByteArray(), DESCRIPTOR_CROWD, FEW_DESCRIPTORS)

    /** Guards against bodies of legal size that are held between caller and target while their end is missing. */
    @Test
    fun `an entry VM bears bodies in large chunks that stop before their end`(): Unit =
        checkEntry(inChunks(MAX_BODY_BYTES - CHUNK_BYTES), SHORT_BODIES)

    /** Guards against forms that are borne alone and not together. */
    @Test
    fun `an entry VM bears all forms at once`() {
        val entry = startEntry()
        mixedCrowd().use { check("entry", entry) { request() } }
    }

    /** Guards against a reload of the settings that fails or hangs beside a crowd. */
    @Test
    fun `an entry VM bears all forms at once while it reloads its settings`() {
        val entry = startEntry()
        mixedCrowd().use {
            repeat(RELOADS) {
                signal(entry, "HUP")
                Thread.sleep(BETWEEN_ATTEMPTS_MS)
            }
            check("entry", entry) { request() }
        }
    }

    /** Guards against a process that a crowd keeps from ending, and against one that cannot start beside a crowd. */
    @Test
    fun `an entry VM stops and starts again beside a crowd`() {
        val former = startEntry()
        mixedCrowd().use {
            signal(former, "TERM")
            expectThat(former.waitFor(STOP_LIMIT_S, TimeUnit.SECONDS)).describedAs("the process has ended").isTrue()
            val next = startEntry()
            mixedCrowd().use { check("entry", next) { request() } }
        }
    }

    /** Guards against strangers at the listeners that are not for callers. */
    @Test
    fun `an entry VM bears strangers at its other listeners`() {
        val entry = startEntry()
        val crowds = crowdsAt(ENTRY_IP, listOf(readinessPort, metricsPort, linkPort))
        try {
            check("entry", entry) { request() }
        } finally {
            crowds.forEach { it.close() }
        }
    }

    @Test
    fun `a control VM bears strangers at its other listeners`() {
        val crowds = crowdsAt(CONTROL_IP, listOf(metricsPort, linkPort))
        try {
            check("control", control) { askControl("GET", "/api/config/get") }
        } finally {
            crowds.forEach { it.close() }
        }
    }

    @Test
    fun `a control VM bears bodies in large chunks that stop before their end`(): Unit =
        checkControl(inChunks(MAX_CONTROL_BODY_BYTES))

    @Test
    fun `a control VM bears incomplete heads of short lines`(): Unit = checkControl(openHead)

    @Test
    fun `a control VM bears long bodies that stop before their end`(): Unit =
        checkControl(withLength(MAX_CONTROL_BODY_BYTES.toLong(), MAX_CONTROL_BODY_BYTES - 1))

    @Test
    fun `a control VM bears bodies in chunks of one byte`(): Unit = checkControl(inChunksOfOneByte(SHORT_BODY_BYTES))

    @Test
    fun `a control VM bears bodies without end`(): Unit = checkControl(inChunks(SENT_OVER_BYTES * 2))

    @Test
    fun `a control VM bears bodies that are announced far over the limit`(): Unit =
        checkControl(withLength(FAR_OVER_BYTES, SENT_OVER_BYTES))
}
