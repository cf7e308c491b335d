/*
 * Cuts an entry VM from all targets, while everything else still reaches it. Sockets of targets drop packets with a low
 * TTL and send with a TTL of their own, and the sockets of a cut VM send with that low TTL and drop packets of targets.
 * So connections hang as behind a partition, in both directions, and each side sends again what was dropped.
 */
package fulmarshunt.soak

import java.io.File
import java.io.FileDescriptor
import java.net.InetSocketAddress
import java.net.ProtocolFamily
import java.nio.channels.Channel
import java.nio.channels.DatagramChannel
import java.nio.channels.Pipe
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.nio.channels.spi.AbstractSelector
import java.nio.channels.spi.SelectorProvider
import java.security.Permission
import java.util.Collections
import java.util.WeakHashMap
import kotlin.concurrent.thread

private const val IPPROTO_IP = 0
private const val IP_TTL = 2
private const val IP_MINTTL = 21
private const val USUAL_TTL = 64
private const val TARGET_TTL = 48
private const val CUT_TTL = 32
private const val POLL_MS = 20L

/** How the paths of an entry VM to all targets fail. */
internal enum class SoakCut {
    /** They work. */
    NONE,

    /** All connections hang, new ones as well. */
    HANG,

    /** Open connections are reset, and new ones hang. */
    RESET,

    /** Open connections live on, and new ones are refused. */
    REFUSE,
}

/** JVM flags that allow the use of socket options beyond the Java API. */
internal val socketOptionFlags: List<String> =
    listOf("--add-opens=java.base/sun.nio.ch=ALL-UNNAMED", "-Djava.net.preferIPv4Stack=true")

/** Returns JVM flags for a VM at [ip] that is cut from targets at [targetPort] as [file] says. */
internal fun cutFlags(ip: String, file: File, targetPort: Int): List<String> = socketOptionFlags + listOf(
    "-Djava.security.manager=allow",
    "-Djava.nio.channels.spi.SelectorProvider=${SoakSelectorProvider::class.java.name}",
    "-Dsoak.ip=$ip",
    "-Dsoak.cut=$file",
    "-Dsoak.target_port=$targetPort",
)

/** Lets the connections of a target drop the packets of cut VMs. */
internal fun ServerSocketChannel.dropPacketsOfCutVms() {
    setIpOption(IP_MINTTL, CUT_TTL + 1)
    setIpOption(IP_TTL, TARGET_TTL)
}

private fun Channel.setIpOption(option: Int, value: Int) = setIntOption(IPPROTO_IP, option, value)

/** Sets an option that the Java API does not have. */
internal fun Channel.setIntOption(level: Int, option: Int, value: Int) {
    val descriptor = javaClass.getMethod("getFD").apply { isAccessible = true }(this) as FileDescriptor
    val boolean = Boolean::class.java
    val int = Int::class.java
    Class.forName("sun.nio.ch.Net")
        .getDeclaredMethod("setIntOption0", FileDescriptor::class.java, boolean, int, int, int, boolean)
        .apply { isAccessible = true }(null, descriptor, false, level, option, value, false)
}

/** The sockets of an entry VM: bound to its address, so that targets know it, and cut as the file of the VM says. */
public class SoakSelectorProvider : SelectorProvider() {
    private val system = Class.forName("sun.nio.ch.DefaultSelectorProvider").getMethod("get")(null) as SelectorProvider
    private val address = InetSocketAddress(System.getProperty("soak.ip"), 0)
    private val file = File(System.getProperty("soak.cut"))
    private val channels = Collections.newSetFromMap(WeakHashMap<SocketChannel, Boolean>())
    private var current = SoakCut.NONE

    init {
        follow()
        thread(isDaemon = true) {
            while (true) {
                Thread.sleep(POLL_MS)
                follow()
            }
        }
    }

    @Synchronized
    private fun follow() {
        val text = if (file.exists()) file.readText() else ""
        val next = SoakCut.entries.find { it.name == text } ?: return
        if (next == current) return
        current = next
        channels.forEach(::apply)
        setRefuser(next == SoakCut.REFUSE)
    }

    private fun apply(channel: SocketChannel) {
        val isCut = current == SoakCut.HANG || current == SoakCut.RESET
        try {
            channel.setIpOption(IP_TTL, if (isCut) CUT_TTL else USUAL_TTL)
            channel.setIpOption(IP_MINTTL, if (isCut) TARGET_TTL + 1 else 0)
        } catch (e: ReflectiveOperationException) {
            if (channel.isOpen) throw e
        }
    }

    @Synchronized
    private fun prepared(channel: SocketChannel): SocketChannel {
        channel.bind(address)
        channels += channel
        apply(channel)
        return channel
    }

    override fun openSocketChannel(): SocketChannel = prepared(system.openSocketChannel())

    override fun openSocketChannel(family: ProtocolFamily): SocketChannel = prepared(system.openSocketChannel(family))

    override fun openServerSocketChannel(): ServerSocketChannel = system.openServerSocketChannel()

    override fun openServerSocketChannel(family: ProtocolFamily): ServerSocketChannel =
        system.openServerSocketChannel(family)

    override fun openDatagramChannel(): DatagramChannel = system.openDatagramChannel()

    override fun openDatagramChannel(family: ProtocolFamily): DatagramChannel = system.openDatagramChannel(family)

    override fun openPipe(): Pipe = system.openPipe()

    override fun openSelector(): AbstractSelector = system.openSelector()
}

@Suppress("DEPRECATION")
private fun setRefuser(isActive: Boolean) = System.setSecurityManager(if (isActive) refuser() else null)

/** Creates a manager that only refuses connections to targets. */
@Suppress("DEPRECATION")
private fun refuser(): SecurityManager {
    val targetPort = System.getProperty("soak.target_port").toInt()
    return object : SecurityManager() {
        override fun checkPermission(permission: Permission) = Unit

        override fun checkConnect(host: String, port: Int) {
            if (port == targetPort) throw SecurityException("refused: $host:$port")
        }
    }
}
