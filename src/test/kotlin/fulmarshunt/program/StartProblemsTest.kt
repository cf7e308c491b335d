/*
 * The error lines of real processes when an address or a directory in their settings cannot be used.
 */
package fulmarshunt.program

import fulmarshunt.faults.awaitThat
import fulmarshunt.standin.Processes
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.single
import strikt.assertions.startsWith
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

private const val START_LIMIT_S = 20L
private const val USAGE = 2

@Timeout(120)
class StartProblemsTest {
    @TempDir
    lateinit var directory: File

    /** Guards against a port in use that looks like a broken invariant, or whose settings key is not named. */
    @Test
    fun `entry names the key of an address in use`() {
        for (key in listOf("link", "callers", "targets", "platform")) {
            expectUsageProblem("entry", "$key.listen: cannot listen at 127.0.0.1:$TAKEN: ") { entrySettings(key, it) }
        }
    }

    /** Guards against a port in use that looks like a broken invariant, or whose settings key is not named. */
    @Test
    fun `control names the key of an address in use`() {
        for (key in listOf("link", "platform")) {
            expectUsageProblem("control", "$key.listen: cannot listen at 127.0.0.1:$TAKEN: ") {
                controlSettings(key, it, File(directory, "data-$key"))
            }
        }
    }

    /** Guards against a settings mistake that ends with the exit code of a broken invariant. */
    @Test
    fun `control refuses a directory that it cannot write`() {
        // Unlike a directory without permissions, this one refuses the superuser too.
        val path = "/proc/self"
        expectUsageProblem("control", "data directory $path cannot be opened (") {
            controlSettings(null, it, File(path))
        }
    }

    /** Guards against two processes that use one directory, and against reporting this settings mistake as damage. */
    @Test
    fun `control refuses a directory in use`() {
        val data = File(directory, "data")
        Processes(directory).use { processes ->
            val settings = processes.settings("first.toml", controlSettings(null, 0, data))
            processes.start("first", CONTROL, "--settings", settings)
            awaitThat("the lock of the first process") { File(data, "wal").exists() }
            expectUsageProblem("control", "data directory $data: another process uses it") {
                controlSettings(null, it, data)
            }
        }
    }

    private fun expectUsageProblem(program: String, problem: String, settings: (Int) -> String) {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
            val name = "$program-${System.nanoTime()}"
            Processes(directory).use { processes ->
                val file = processes.settings("$name.toml", settings(taken.localPort))
                val process = processes.start(name, if (program == "entry") ENTRY else CONTROL, "--settings", file)
                expectThat(process.waitFor(START_LIMIT_S, TimeUnit.SECONDS)).describedAs(problem).isEqualTo(true)
                expectThat(process.exitValue()).describedAs(problem).isEqualTo(USAGE)
            }
            val lines = File(directory, "$name.out").readLines().filter { it.startsWith("$program: ") }
            val expected = problem.replace("$TAKEN", taken.localPort.toString())
            expectThat(lines).single().startsWith("$program: $expected")
        }
    }

    private fun address(key: String, taken: String?, port: Int) = "127.0.0.1:${if (key == taken) port else 0}"

    private fun entrySettings(taken: String, port: Int): String = """
        [vm]
        id = "entry-1"
        failure_domain = "suva"
        [control]
        addresses = ["127.0.0.1:9"]
        [link]
        secret = "a-secret-of-this-test"
        listen = "${address("link", taken, port)}"
        [callers]
        listen = "${address("callers", taken, port)}"
        [targets]
        listen = "${address("targets", taken, port)}"
        [platform]
        listen = "${address("platform", taken, port)}"
    """.trimIndent()

    private fun controlSettings(taken: String?, port: Int, data: File): String = """
        [vm]
        id = "control-1"
        [link]
        secret = "a-secret-of-this-test"
        listen = "${address("link", taken, port)}"
        [data]
        directory = "$data"
        [platform]
        listen = "${address("platform", taken, port)}"
    """.trimIndent()

    private companion object {
        const val ENTRY = "fulmarshunt.program.EntryKt"
        const val CONTROL = "fulmarshunt.program.ControlKt"

        /** Stands for the port that is in use, which is known only when the settings are written. */
        const val TAKEN = "TAKEN"
    }
}
