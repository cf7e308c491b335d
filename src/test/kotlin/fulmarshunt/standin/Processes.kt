/*
 * Starts programs and stand-ins as real processes with the class path of the test and ends them after it.
 */
package fulmarshunt.standin

import java.io.File
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val SHOWN_LINES = 20

/** The processes of one test. */
class Processes(private val directory: File) : AutoCloseable {
    private val started = CopyOnWriteArrayList<Process>()

    /** Ends the processes if this process is terminated; nothing else would end them. */
    private val termination = Thread { started.forEach { it.destroyForcibly() } }

    init {
        Runtime.getRuntime().addShutdownHook(termination)
    }

    /**
     * Starts [mainClass] in a separate JVM with [jvmFlags]; its output goes to a file named for [name].
     *
     * @param maxDescriptors the limit of open descriptors of the process, or null for that of this one.
     */
    fun start(
        name: String,
        mainClass: String,
        vararg arguments: String,
        jvmFlags: List<String> = listOf("-Xmx96m"),
        maxDescriptors: Int? = null,
    ): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val limited =
            if (maxDescriptors == null) emptyList() else listOf("prlimit", "--nofile=$maxDescriptors")
        val command =
            limited + listOf(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
                jvmFlags +
                listOf("-cp", System.getProperty("java.class.path"), mainClass) +
                arguments
        val process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(File(directory, "$name.out")))
                .start()
        started += process
        return process
    }

    /** Writes a settings file and returns its path. */
    fun settings(name: String, text: String): String = File(directory, name).apply { writeText(text) }.path

    /** Returns everything that the process [name] wrote. */
    fun output(name: String): String = File(directory, "$name.out").takeIf { it.exists() }?.readText().orEmpty()

    /** Returns the last lines that the process [name] wrote. */
    fun lastLines(name: String): String = output(name).lines().takeLast(SHOWN_LINES).joinToString("\n")

    override fun close() {
        started.forEach { it.destroyForcibly() }
        started.forEach { it.waitFor(5, TimeUnit.SECONDS) }
        // A hook cannot be removed, and is not needed, while this process shuts down.
        runCatching { Runtime.getRuntime().removeShutdownHook(termination) }
    }
}

/**
 * Returns a port on which nothing listened when it was checked.
 *
 * It lies below the range of ephemeral ports, so that no outgoing connection occupies it before the intended process
 * listens. Each JVM starts the search at a different port.
 */
fun freePort(): Int {
    repeat(PORT_COUNT) {
        val port = FIRST_PORT + nextPort.getAndIncrement().mod(PORT_COUNT)
        if (runCatching { ServerSocket(port).close() }.isSuccess) return port
    }
    error("no port from $FIRST_PORT on is free")
}

private const val FIRST_PORT = 12_000
private const val PORT_COUNT = 20_000
private const val PORTS_PER_JVM = 997

private val nextPort = AtomicInteger((ProcessHandle.current().pid() * PORTS_PER_JVM).mod(PORT_COUNT))

/** Waits until a process accepts connections at [port]. */
fun awaitPort(port: Int, timeoutMs: Long = 15_000) {
    val deadline = System.nanoTime() + timeoutMs * 1_000_000
    while (System.nanoTime() < deadline) {
        if (runCatching { Socket("127.0.0.1", port).close() }.isSuccess) return
        Thread.sleep(50)
    }
    error("nothing listens at port $port after $timeoutMs ms")
}
