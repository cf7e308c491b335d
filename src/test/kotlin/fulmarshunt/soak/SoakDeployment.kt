/*
 * The processes of a fault soak on loopback addresses of their own: control VMs, entry VMs and targets, which can be
 * stopped, resumed, killed and started again. Each disturbance is recorded.
 */
package fulmarshunt.soak

import fulmarshunt.standin.Processes
import fulmarshunt.standin.freePort
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

internal const val CONTROL_VMS = 5
internal const val PLAIN = "plain"
internal const val ENGINE = "engine"
private const val SEEDS = 3

/** The addresses of entry VMs end before those of targets. */
internal const val MAX_ENTRIES = 60
private const val FIRST_NETWORK = 64
private const val NETWORKS = 128
private const val NETWORK_SIZE = 256
private const val CALL_TIMEOUT_MS = 1_000

/** The exit code of a target that a request has crashed. */
internal const val CRASH_EXIT_CODE = 70

private const val RESTART_MS = 200L

/** The time between SIGTERM and SIGKILL. */
internal const val GRACE_MS = 8_000L

/** The failure domains of the deployment. */
internal val soakZones: List<String> = listOf("zone-a", "zone-b", "zone-c")

private val networks = AtomicInteger(ProcessHandle.current().pid().toInt() * 4)

/** One target; a restart is a new one at the same address. */
internal class TargetNode(
    val id: String,
    val service: String,
    val zone: String,
    val address: SoakAddress,
    val crashStyle: SoakCrashStyle,
)

/** The deployment of one run, with its files in [directory]. */
internal class SoakDeployment(private val directory: File, val site: SoakSite, val record: SoakRecord) :
    AutoCloseable {
    val entryCount: Int = site.entries

    init {
        require(entryCount <= MAX_ENTRIES) { "there are addresses for $MAX_ENTRIES entry VMs" }
    }

    private val processes = Processes(directory)
    private val network = networks.getAndIncrement().let {
        "127.${FIRST_NETWORK + (it / NETWORK_SIZE).mod(NETWORKS)}.${it.mod(NETWORK_SIZE)}"
    }
    private val linkPort = freePort()
    private val requestPort = freePort()
    private val metricsPort = freePort()
    private val callerPort = freePort()
    private val readinessPort = freePort()
    private val targetPort = freePort()
    private val cutNumbers = AtomicInteger()
    private val byNode = ConcurrentHashMap<String, Process>()
    private val targetNumbers = AtomicInteger()

    @Volatile
    private var isClosed = false

    /** The targets that run now. */
    val targets: MutableMap<String, TargetNode> = ConcurrentHashMap()

    fun controlAddress(number: Int): SoakAddress = SoakAddress("$network.${10 + number}", requestPort)

    fun callerAddress(entry: Int): SoakAddress = SoakAddress("$network.${40 + entry}", callerPort)

    fun isReady(entry: Int): Boolean {
        val address = SoakAddress("$network.${40 + entry}", readinessPort)
        return callOnce(address, "GET", "/api/ready", "", CALL_TIMEOUT_MS) == 200
    }

    fun start() {
        (0 until CONTROL_VMS).forEach { startControl(it, bootstrap = true) }
        (0 until entryCount).forEach(::startEntry)
        repeat(site.engines) { startTarget(ENGINE, soakZones[it % soakZones.size]) }
        soakZones.forEach { startTarget(PLAIN, it) }
    }

    private fun common(node: String, ip: String, zone: String) = """
        [vm]
        id = "$node"
        failure_domain = "$zone"
        ip = "$ip"
        [link]
        port = $linkPort
        secret = "secret-of-the-fault-soak"
        [control]
        seeds = [${(0 until SEEDS).joinToString { "\"${controlAddress(it)}\"" }}]
    """.trimIndent()

    fun startControl(number: Int, bootstrap: Boolean = false) {
        val ip = controlAddress(number).ip
        val settings = """
            [data]
            directory = "$directory/data-$number"
            [listen]
            requests = "$ip:$requestPort"
            metrics = "$ip:$metricsPort"
            [formation]
            bootstrap = $bootstrap
            [targets]
            period_ms = 1000
        """.trimIndent()
        val flags = slowLinkFlags(site.linkKbps)
        startProgram("control-$number", "fulmarshunt.platform.FleetControlKt", ip, number, settings, flags)
    }

    fun startEntry(number: Int) {
        val ip = callerAddress(number).ip
        val settings = """
            [listen]
            callers = "$ip:$callerPort"
            ${if (site.hasForwarding) "forwarding = \"$ip:$linkPort\"" else ""}
            readiness = "$ip:$readinessPort"
            metrics = "$ip:$metricsPort"
            [bounds]
            repeat_ratio = 0.2
            repeat_allowance = ${site.repeatAllowance}
            repeat_window_s = 10
            [shutdown]
            grace_s = ${GRACE_MS / 1_000.0}
        """.trimIndent()
        val flags = cutFlags(ip, cutFile(number), targetPort)
        startProgram("entry-$number", "fulmarshunt.platform.FleetEntryKt", ip, number, settings, flags)
    }

    private fun cutFile(entry: Int) = File(directory, "entry-$entry.cut")

    private fun startProgram(
        node: String,
        mainClass: String,
        ip: String,
        number: Int,
        settings: String,
        moreFlags: List<String> = emptyList(),
    ) {
        val zone = soakZones[number % soakZones.size]
        val path = processes.settings("$node.toml", "${common(node, ip, zone)}\n$settings\n")
        val flags = listOf("-Xmx112m", "-Xss256k", "-XX:+ExitOnOutOfMemoryError") + moreFlags
        byNode[node] = processes.start(node, mainClass, "--settings", path, jvmFlags = flags)
        record.add(SoakKind.RECOVERED, "node" to node, "action" to "start")
    }

    /** Starts a target, at the address of an earlier one if [address] is given. */
    fun startTarget(service: String, zone: String, address: SoakAddress? = null): TargetNode {
        val number = targetNumbers.incrementAndGet()
        val id = "i-$service-$number"
        val crashStyle = site.crashStyle ?: SoakCrashStyle.entries[number % SoakCrashStyle.entries.size]
        val own = address ?: SoakAddress("$network.${100 + number % 150}", targetPort)
        val node = TargetNode(id, service, zone, own, crashStyle)
        val controls = (0 until CONTROL_VMS).joinToString(",") { "${controlAddress(it)}" }
        byNode[id] = processes.start(
            id, "fulmarshunt.soak.SoakTargetKt", "id=$id", "address=${node.address}", "service=$service", "zone=$zone",
            "slots=${if (service == PLAIN) site.plainSlots else site.engineSlots}", "controls=$controls",
            "seed=$number",
            "record=$directory/$id.record", "crash=$crashStyle",
            jvmFlags = listOf("-Xmx32m", "-Xss256k") + socketOptionFlags,
        )
        targets[id] = node
        byNode.getValue(id).onExit().thenAccept { if (it.exitValue() == CRASH_EXIT_CODE) restartCrashed(node) }
        return node
    }

    /** Starts a target that has crashed again, at its address. */
    private fun restartCrashed(node: TargetNode) {
        targets -= node.id
        thread(isDaemon = true) {
            Thread.sleep(if (node.crashStyle == SoakCrashStyle.EXIT) CRASH_DOWN_MS else RESTART_MS)
            if (!isClosed) startTarget(node.service, node.zone, node.address)
        }
    }

    /** Stops a process for [durationMs]. */
    fun pause(node: String, durationMs: Long) {
        stop(node)
        try {
            Thread.sleep(durationMs)
        } finally {
            resume(node)
        }
    }

    fun stop(node: String) {
        record.add(SoakKind.DISTURBED, "node" to node, "action" to "SIGSTOP")
        signal(node, "STOP")
    }

    fun resume(node: String) {
        signal(node, "CONT")
        record.add(SoakKind.RECOVERED, "node" to node, "action" to "SIGCONT")
    }

    fun kill(node: String) {
        record.add(SoakKind.DISTURBED, "node" to node, "action" to "SIGKILL")
        byNode.getValue(node).destroyForcibly().waitFor()
        record.add(SoakKind.KILLED, "node" to node)
        targets -= node
    }

    /** Sends SIGTERM, and SIGKILL at the end of the grace period, and waits for the end of the process. */
    fun terminate(node: String) {
        record.add(SoakKind.DISTURBED, "node" to node, "action" to "SIGTERM")
        signal(node, "TERM")
        val process = byNode.getValue(node)
        val hasEnded = process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)
        if (!hasEnded) process.destroyForcibly().waitFor()
        record.add(SoakKind.ENDED, "node" to node, "action" to if (hasEnded) "exit" else "SIGKILL")
    }

    /** Requests a fault of each request at the target with the given probability. */
    fun setInjectedFault(target: TargetNode, name: String, probability: Double) {
        callOnce(target.address, "POST", "/soak/fault/$name", "$probability", CALL_TIMEOUT_MS)
        record.add(SoakKind.INJECTED, "node" to target.id, "action" to "$name:$probability")
    }

    /** Lets a target announce that it leaves; it ends by itself. */
    fun drain(target: TargetNode) {
        targets -= target.id
        callOnce(target.address, "POST", "/soak/drain", "", CALL_TIMEOUT_MS)
    }

    /** Cuts entry VMs from all targets for [durationMs]. */
    fun cutFromTargets(entries: List<Int>, kind: SoakCut, durationMs: Long) {
        val cut = cutNumbers.incrementAndGet()
        if (kind == SoakCut.RESET) {
            targets.values.map { target ->
                thread { entries.forEach { resetConnections(target, callerAddress(it).ip) } }
            }.forEach { it.join() }
        }
        entries.forEach { cutFile(it).writeText(kind.name) }
        entries.forEach { record.add(SoakKind.CUT, "node" to "entry-$it", "cut" to cut, "action" to kind) }
        try {
            Thread.sleep(durationMs)
        } finally {
            entries.forEach { record.add(SoakKind.JOINED, "node" to "entry-$it", "cut" to cut) }
            entries.forEach { cutFile(it).writeText(SoakCut.NONE.name) }
        }
    }

    private fun resetConnections(target: TargetNode, ip: String) {
        callOnce(target.address, "POST", "/soak/reset", ip, CALL_TIMEOUT_MS)
    }

    private fun signal(node: String, name: String) {
        ProcessBuilder("kill", "-$name", "${byNode.getValue(node).pid()}").start().waitFor()
    }

    override fun close() {
        isClosed = true
        processes.close()
    }
}
