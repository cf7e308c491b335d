/*
 * A small installation of real processes: voters, entry VMs, stand-in engines and plain services, each behind a
 * fault-injecting proxy. Settings are written to a temporary directory.
 */
package fulmarshunt.faults

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.CommandId
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.VoterId
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.operator.CommandAccepted
import fulmarshunt.operator.CommandConflict
import fulmarshunt.operator.ConfigurationChange
import fulmarshunt.operator.ConfigurationReply
import fulmarshunt.operator.OperatorCall
import fulmarshunt.operator.OperatorCommand
import fulmarshunt.operator.OperatorReply
import fulmarshunt.operator.ReadConfiguration
import fulmarshunt.operator.ReadStatus
import fulmarshunt.operator.StatusReply
import fulmarshunt.operator.SubmitCommand
import fulmarshunt.operator.operatorChannel
import fulmarshunt.process.Secret
import fulmarshunt.sha256Hex
import fulmarshunt.standin.Processes
import fulmarshunt.standin.awaitPort
import fulmarshunt.standin.freePort
import kotlinx.coroutines.runBlocking
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The time limit of a test, so that one that waits in vain fails. */
const val TEST_LIMIT_S: Long = 120

private const val LATCH_LIMIT_S = 30L

/** Waits until the latch reaches zero, or fails after [LATCH_LIMIT_S]. */
fun CountDownLatch.awaitOrFail() {
    check(await(LATCH_LIMIT_S, TimeUnit.SECONDS)) { "the latch did not reach zero within $LATCH_LIMIT_S s" }
}

/** Repeats [attempt] until it returns a value or [timeoutMs] has passed. */
fun <T : Any> eventually(what: String, timeoutMs: Long = 20_000, attempt: () -> T?): T {
    val deadline = System.nanoTime() + timeoutMs * 1_000_000
    while (System.nanoTime() < deadline) {
        runCatching(attempt).getOrNull()?.let { return it }
        Thread.sleep(100)
    }
    error("$what did not happen within $timeoutMs ms")
}

/** Repeats [condition] until it holds or [timeoutMs] has passed. */
fun awaitThat(what: String, timeoutMs: Long = 20_000, condition: () -> Boolean) {
    eventually(what, timeoutMs) { true.takeIf { condition() } }
}

/** One process that the site can stop, freeze and start again. */
class SiteProcess(val name: String, private val launch: () -> Process) {
    private var process: Process? = null

    /** The process id. */
    val pid: Long get() = checkNotNull(process).pid()

    fun start(): SiteProcess = apply { process = launch() }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Requests that the process terminate, without waiting for its end. */
    fun terminate() {
        process?.destroy()
    }

    fun exitCode(timeoutMs: Long): Int? {
        val running = checkNotNull(process)
        return if (running.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) running.exitValue() else null
    }

    fun isAlive(): Boolean = process?.isAlive == true

    fun freeze(): Unit = signal("STOP")

    fun thaw(): Unit = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }
}

/** A voter process and the [proxy] through which other processes reach it. */
class SiteVoter(
    val name: String,
    val proxy: FaultProxy,
    val dataDirectory: File,
    val platformPort: Int,
    val process: SiteProcess,
) {
    /** The address at which other processes reach the voter. */
    val address: Address get() = Address("127.0.0.1", proxy.port)

    /** Deletes everything on the disk of the voter. */
    fun wipeDisk() {
        dataDirectory.deleteRecursively()
    }
}

/** An entry VM of the site. */
class SiteEntry(
    val name: String,
    val proxy: FaultProxy,
    val callersPort: Int,
    val targetsPort: Int,
    val platformPort: Int,
    val process: SiteProcess,
)

/** A target of the site; traffic to it passes [proxy]. */
class SiteTarget(val name: String, val port: Int, val proxy: FaultProxy, val process: SiteProcess) {
    private val http = HttpClient.newHttpClient()

    /** Sends a control request to the stand-in, past the proxy. */
    fun act(action: String) {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/standin/$action"))
        runCatching { http.send(request.POST(HttpRequest.BodyPublishers.noBody()).build(), BodyHandlers.discarding()) }
    }

    /** Returns the statistic [name] of a stand-in engine. */
    fun stat(name: String): Long = Regex("\"$name\":(\\d+)").find(get("stats"))!!.groupValues[1].toLong()

    /** Returns the calls that a stand-in service ran. */
    fun ran(): List<String> = get("ran").lines().filter { it.isNotEmpty() }

    private fun get(path: String): String = http.send(
        HttpRequest.newBuilder(URI("http://127.0.0.1:$port/standin/$path")).build(),
        BodyHandlers.ofString(),
    ).body()
}

/** A site of real processes with [voterCount] voters and [entryCount] entry VMs. */
class Site(
    private val directory: File,
    private val voterCount: Int = 3,
    private val entryCount: Int = 3,
    private val domains: List<String> = listOf("suva", "nausori", "lautoka"),
    private val policies: String = "",
    private val isProxied: Boolean = true,
    private val entryJvmFlags: List<String> = listOf("-Xmx96m"),
) : AutoCloseable {
    private val processes = Processes(directory)
    private val names = (1..voterCount).map { "control-$it" } + (1..entryCount).map { "entry-$it" }
    private val proxies = mutableListOf<FaultProxy>()
    private val links = linksOf("test-operator", SECRET, LinkHandlers())
    private val http = HttpClient.newHttpClient()

    /** The voters, which [start] starts. */
    val voters: List<SiteVoter> = createVoters()

    /** The entry VMs, which [start] starts. */
    val entries: List<SiteEntry> = createEntries()

    /** Starts all voters and entry VMs and waits until they listen. */
    fun start(): Site {
        voters.forEach { it.process.start() }
        entries.forEach { it.process.start() }
        return this
    }

    /** Waits until each of [entries] reports that it is ready, as a load balancer would check. */
    fun awaitReady(entries: List<SiteEntry> = this.entries) {
        for (entry in entries) {
            runCatching { awaitThat("readiness of ${entry.name}") { isReady(entry) } }.onFailure {
                val shown = (voters.map { it.process } + entry.process).joinToString("\n") { process ->
                    "${process.name} (alive: ${process.isAlive()}):\n${processes.lastLines(process.name)}"
                }
                throw IllegalStateException("${it.message}\n$shown", it)
            }
        }
    }

    /** Returns true if the entry VM reports that it accepts new work. */
    fun isReady(entry: SiteEntry): Boolean {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${entry.platformPort}/readyz"))
        val response = http.send(request.timeout(Duration.ofSeconds(2)).build(), BodyHandlers.discarding())
        return response.statusCode() == 200
    }

    /** Submits [changes] at the current revision and retries on a conflict with another change. */
    fun configure(vararg changes: ConfigurationChange): Revision = eventually("the configuration change") {
        (submit(currentRevision(), changes.toList()) as? CommandAccepted)?.revision
    }

    /** Submits one command once. */
    fun submit(
        expected: Revision,
        changes: List<ConfigurationChange>,
        id: CommandId = CommandId(UUID.randomUUID().toString()),
        voter: SiteVoter? = null,
        waitInEffectMs: Long = 6_000,
    ): OperatorReply? {
        val command = OperatorCommand(id, OPERATOR, expected, changes)
        return ask(SubmitCommand(OPERATOR, OPERATOR_KEY, command, waitInEffectMs), voter)
    }

    /** Returns the configuration revision that the leader reports. */
    fun currentRevision(): Revision = eventually("a read of the configuration") {
        when (val reply = ask(ReadConfiguration(OPERATOR, OPERATOR_KEY))) {
            is ConfigurationReply -> reply.configuration.revision
            is CommandConflict -> reply.current.revision
            else -> null
        }
    }

    /** Returns the status that the leader reports. */
    fun status(): StatusReply = eventually("a status") {
        ask(ReadStatus(OPERATOR, OPERATOR_KEY)) as? StatusReply
    }

    /** Returns the voter that leads. */
    fun leader(): SiteVoter = eventually("a leader") {
        val leader = status().voters.firstOrNull { it.isLeader }
        voters.firstOrNull { it.name == leader?.vm?.value }
    }

    /** Returns the id of the data directory of [voter], as the voter logs it when it starts. */
    fun voterIdOf(voter: SiteVoter): VoterId = eventually("the voter id of ${voter.name}") {
        VOTER_ID.findAll(processes.output(voter.name)).lastOrNull()?.let { VoterId(it.groupValues[1]) }
    }

    /** Sends [call] to [voter], or to each voter in turn until the leader replies. */
    fun ask(call: OperatorCall, voter: SiteVoter? = null): OperatorReply? {
        for (candidate in listOfNotNull(voter).ifEmpty { voters }) {
            val reply = askOnce(candidate, call).getOrNull() ?: continue
            if (reply !is fulmarshunt.operator.OperatorNotLeader) return reply
        }
        return null
    }

    /** Sends [call] to [voter] once. */
    fun askOnce(voter: SiteVoter, call: OperatorCall): Either<LinkFailure, OperatorReply> =
        runBlocking { links.call(voter.address, operatorChannel, call, ASK_TIMEOUT_MS) }

    /** Starts a stand-in engine; [options] are `name=value`. */
    fun engine(name: String, domain: String = domains.first(), vararg options: String): SiteTarget =
        target(name) { port, announcedPort ->
            processes.start(
                name,
                "fulmarshunt.standin.EngineStandInKt",
                "id=$name",
                "port=$port",
                "seen_port=$announcedPort",
                "domain=$domain",
                "announce=${announceAddresses()}",
                *options,
            )
        }

    /** Starts a stand-in service. */
    fun plainService(name: String, service: String, domain: String = domains.first()): SiteTarget =
        target(name) { port, announcedPort ->
            processes.start(
                name,
                "fulmarshunt.standin.PlainServiceStandInKt",
                "id=$name",
                "port=$port",
                "seen_port=$announcedPort",
                "domain=$domain",
                "service=$service",
                "announce=${announceAddresses()}",
            )
        }

    /** Cuts [vm] off from all other VMs in both directions, or reconnects it if [isCut] is false. */
    fun isolate(vm: String, isCut: Boolean) {
        val all = voters.map { it.name to it.proxy } + entries.map { it.name to it.proxy }
        all.forEach { (name, proxy) ->
            val source = if (name == vm) null else vm
            Direction.entries.forEach { if (isCut) proxy.add(Cut(source, it)) else proxy.remove(Cut(source, it)) }
        }
    }

    override fun close() {
        links.close()
        processes.close()
        proxies.forEach { it.close() }
    }

    private fun announceAddresses(): String = entries.joinToString(",") { "127.0.0.1:${it.targetsPort}" }

    private fun proxyFor(port: Int): FaultProxy = FaultProxy(port, names).also { proxies += it }

    private fun target(name: String, launch: (Int, Int) -> Process): SiteTarget {
        val port = freePort()
        val proxy = proxyFor(port)
        val process = SiteProcess(name) { launch(port, if (isProxied) proxy.port else port) }.start()
        awaitPort(port)
        return SiteTarget(name, port, proxy, process)
    }

    private fun createVoters(): List<SiteVoter> {
        val ports = (1..voterCount).map { freePort() }
        val voterProxies = ports.map { proxyFor(it) }
        return ports.mapIndexed { index, port ->
            val name = "control-${index + 1}"
            val data = File(directory, "data-$name")
            val platformPort = freePort()
            val settings = processes.settings("$name.toml", voterSettings(name, port, data, platformPort, voterProxies))
            val process =
                SiteProcess(name) { processes.start(name, "fulmarshunt.program.ControlKt", "--settings", settings) }
            SiteVoter(name, voterProxies[index], data, platformPort, process)
        }
    }

    private fun voterSettings(
        name: String,
        port: Int,
        data: File,
        platformPort: Int,
        voterProxies: List<FaultProxy>,
    ): String {
        val members =
            voterProxies.withIndex().joinToString(", ") { (index, proxy) ->
                """{ vm = "control-${index + 1}", address = "127.0.0.1:${proxy.port}" }"""
            }
        return """
            [vm]
            id = "$name"
            [link]
            listen = "127.0.0.1:$port"
            secret = "$SECRET"
            [data]
            directory = "${data.path}"
            [voters]
            bootstrap = true
            members = [$members]
            [platform]
            listen = "127.0.0.1:$platformPort"
            [operator]
            bootstrap_operator = "${OPERATOR.value}"
            bootstrap_operator_key_sha256 = "${sha256Hex(OPERATOR_KEY.value)}"
        """.trimIndent()
    }

    private fun createEntries(): List<SiteEntry> = (1..entryCount).map { number ->
        val name = "entry-$number"
        val port = freePort()
        val proxy = proxyFor(port)
        val callers = freePort()
        val targets = freePort()
        val platform = freePort()
        val control = voters.joinToString(", ") { "\"127.0.0.1:${it.proxy.port}\"" }
        val settings =
            processes.settings(
                "$name.toml",
                """
                    [vm]
                    id = "$name"
                    failure_domain = "${domains[(number - 1) % domains.size]}"
                    [link]
                    listen = "127.0.0.1:$port"
                    advertise = "127.0.0.1:${proxy.port}"
                    secret = "$SECRET"
                    [control]
                    addresses = [$control]
                    [callers]
                    listen = "127.0.0.1:$callers"
                    [targets]
                    listen = "127.0.0.1:$targets"
                    [platform]
                    listen = "127.0.0.1:$platform"
                """.trimIndent() + "\n" + policies,
            )
        val process =
            SiteProcess(name) {
                val main = "fulmarshunt.program.EntryKt"
                processes.start(name, main, "--settings", settings, jvmFlags = entryJvmFlags)
            }
        SiteEntry(name, proxy, callers, targets, platform, process)
    }

    companion object {
        const val SECRET = "site-link-secret"
        val OPERATOR_KEY = Secret("operator-key")
        val OPERATOR = OperatorId("ops")
        private val VOTER_ID = Regex("Started as voter (\\S+)")
        private const val ASK_TIMEOUT_MS = 8_000L
    }
}
