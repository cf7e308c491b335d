/*
 * The size of the configurations of a soak and the rate of the links on which they travel. Each configuration has a
 * route of its own, which a probe requests at every entry VM once the configuration has to be in effect.
 */
package fulmarshunt.soak

import java.io.IOException
import java.net.ProtocolFamily
import java.nio.channels.DatagramChannel
import java.nio.channels.Pipe
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.nio.channels.spi.AbstractSelector
import java.nio.channels.spi.SelectorProvider
import kotlin.concurrent.thread
import kotlin.random.Random

private const val SOL_SOCKET = 1
private const val SO_MAX_PACING_RATE = 47
private const val IPPROTO_TCP = 6
private const val TCP_MAXSEG = 2

/** The segments of a usual network; pacing of the larger ones of the loopback interface is coarse. */
private const val SEGMENT_BYTES = 1_448
private const val BYTES_PER_KBIT = 125

/** A service without targets, so that a probe reaches none. */
private const val NO_TARGETS = "no-targets"

/** How many versions keep their probed route, so that a later configuration does not remove it before its probe. */
private const val KEPT_PROBES = 16
private const val PROBE_TIMEOUT_MS = 1_000
private const val NOT_FOUND = 404

/** How long after its acknowledgement a configuration has to be in effect. */
internal const val CONFIG_APPLY_MS: Long = 2_500

/** Returns the routes of configuration [version] beyond those that clients use, each followed by a comma. */
internal fun moreRoutes(version: Int, count: Int): String {
    val probes = (maxOf(1, version - KEPT_PROBES)..version).map { "v-$it" }
    // Names that do not repeat, as those of the platform; most are in the former configuration as well.
    val fillers = (version until version + count).map { number ->
        val random = Random(number)
        "x-" + String(CharArray(12) { 'a' + random.nextInt(26) })
    }
    return (probes + fillers).joinToString("") {
        """{"name":"r-$it","host":"site.example","path_prefix":"/$it/","type":"safe","timeout_ms":1500,""" +
            """"slo_ms":600,"priority":1,"service":"$NO_TARGETS","max_attempts":1,"public":true,""" +
            """"sticky":false,"resumable":false},"""
    }
}

/** The service of [moreRoutes]. */
internal val serviceWithoutTargets: String =
    """{"name":"$NO_TARGETS","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,""" +
        """"cold_start_s":0.0,"cold_per_s":0.0}"""

/** Requests the route of [version] at each entry VM when the configuration has to be in effect. */
internal fun SoakDeployment.startProbes(version: Int): Unit = (0 until entryCount).forEach { entry ->
    thread(isDaemon = true) {
        Thread.sleep(CONFIG_APPLY_MS)
        val sentNs = System.nanoTime()
        val status = try {
            SoakConnection(callerAddress(entry), PROBE_TIMEOUT_MS).use { connection ->
                val head = "GET /v-$version/ HTTP/1.1\r\nHost: site.example\r\n" +
                    "Fulmarshunt-Request-Id: probe-$version-$entry"
                connection.call(head, "", PROBE_TIMEOUT_MS)?.status ?: 0
            }
        } catch (_: IOException) {
            0
        }
        record.add(SoakKind.PROBE, "version" to version, "node" to "entry-$entry", "sent" to sentNs, "status" to status)
    }
}

/** Returns the configurations that were not in effect in time at entry VMs in touch with a stable core. */
internal fun CheckedRecords.lateConfigurations(): List<SoakViolation> =
    events.filter { it.kind == SoakKind.PROBE && it["status"] == "$NOT_FOUND" }.mapNotNull { probe ->
        val sentNs = probe["sent"].toLong()
        val fromNs = sentNs - CONFIG_APPLY_MS * NS_PER_MS
        val isExcused = wasDisturbed(probe["node"], fromNs, probe.atNs) || wasCoreDisturbed(fromNs) ||
            wasCoreDisturbed(sentNs)
        val evidence = "entry=${probe["node"]} version=${probe["version"]} sent=${sentNs.inS()} status=$NOT_FOUND"
        if (isExcused) null else SoakViolation(SoakRule.CONFIG, "probe-${probe["version"]}", evidence)
    }

/** Returns JVM flags for a control VM that sends at most [kbps] kbit/s on each connection that it accepts. */
internal fun slowLinkFlags(kbps: Int): List<String> = if (kbps == 0) {
    emptyList()
} else {
    socketOptionFlags + listOf(
        "-Djava.nio.channels.spi.SelectorProvider=${SoakSlowProvider::class.java.name}",
        "-Dsoak.link_kbps=$kbps",
    )
}

/** The sockets of a control VM behind slow links; the connections that a listener accepts inherit its options. */
public class SoakSlowProvider : SelectorProvider() {
    private val system = Class.forName("sun.nio.ch.DefaultSelectorProvider").getMethod("get")(null) as SelectorProvider
    private val bytesPerS = Integer.getInteger("soak.link_kbps") * BYTES_PER_KBIT

    private fun ServerSocketChannel.slow() = apply {
        setIntOption(SOL_SOCKET, SO_MAX_PACING_RATE, bytesPerS)
        setIntOption(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)
    }

    override fun openSocketChannel(): SocketChannel = system.openSocketChannel()

    override fun openSocketChannel(family: ProtocolFamily): SocketChannel = system.openSocketChannel(family)

    override fun openServerSocketChannel(): ServerSocketChannel = system.openServerSocketChannel().slow()

    override fun openServerSocketChannel(family: ProtocolFamily): ServerSocketChannel =
        system.openServerSocketChannel(family).slow()

    override fun openDatagramChannel(): DatagramChannel = system.openDatagramChannel()

    override fun openDatagramChannel(family: ProtocolFamily): DatagramChannel = system.openDatagramChannel(family)

    override fun openPipe(): Pipe = system.openPipe()

    override fun openSelector(): AbstractSelector = system.openSelector()
}
