/*
 * The processor time of the fleet programs at their start and at rest, by role: real processes on loopback addresses,
 * with the command lines of deploy/system.toml. Arguments are `name=value`: entries (the number of entry VMs) and
 * seconds (how long the fleet rests). The class archives of deploy/archive-classes.sh are used if they exist.
 */
package fulmarshunt.measurement

import java.io.File
import java.nio.file.Files
import java.util.Locale
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

private const val CONTROL_VMS = 3

/** The time in which all programs are ready and control VMs have elected a leader. */
private const val START_MS = 8_000L
private const val MS_PER_S = 1_000L
private const val LINK_PORT = 27_200
private const val MIB = 1_048_576

/** Runs the measurement and prints one line for each role. */
fun main(arguments: Array<String>) {
    val values = arguments.associate { it.substringBefore('=') to it.substringAfter('=') }
    val entries = values["entries"]?.toInt() ?: 20
    val seconds = values["seconds"]?.toLong() ?: 20L
    val directory = Files.createTempDirectory("fulmarshunt-fleet").toFile()
    val processes = mutableListOf<Pair<String, Process>>()
    val end = Thread { processes.forEach { (_, process) -> process.destroyForcibly() } }
    Runtime.getRuntime().addShutdownHook(end)
    (1..CONTROL_VMS).forEach { processes += "control" to startFleetProgram(directory, "control", it) }
    (1..entries).forEach { processes += "entry" to startFleetProgram(directory, "entry", it) }
    Thread.sleep(START_MS)
    val started = processes.map { (_, process) -> usageOf(process.pid()) }
    Thread.sleep(seconds * MS_PER_S)
    val rested = processes.map { (_, process) -> usageOf(process.pid()) }
    for (role in listOf("control", "entry")) {
        val indices = processes.indices.filter { processes[it].first == role }
        println(
            String.format(
                Locale.ROOT,
                "%s n=%d start_cpu_s=%.2f rest_core_percent=%.2f resident_mib=%.0f",
                role,
                indices.size,
                indices.map { started[it].cpuSeconds }.average(),
                indices.map { corePercent(started[it], rested[it]) }.average(),
                indices.map { rested[it].residentBytes.toDouble() / MIB }.average(),
            ),
        )
    }
    end.start()
    end.join()
    processes.forEach { (_, process) -> process.waitFor(MS_PER_S, TimeUnit.MILLISECONDS) }
    directory.deleteRecursively()
    exitProcess(0)
}

private fun startFleetProgram(directory: File, role: String, number: Int): Process {
    val ip = if (role == "control") "127.0.5.$number" else "127.0.6.$number"
    val settings = File(directory, "$role-$number.toml").apply { writeText(settingsOf(role, number, ip, directory)) }
    val command = Regex("""\[roles\.$role]\s+run = "([^"]+)"""").find(File("deploy/system.toml").readText())
    val words = checkNotNull(command) { "deploy/system.toml has no role $role" }.groupValues[1].split(' ')
    // One core, as on the VMs of the deployments.
    return ProcessBuilder(listOf("taskset", "-c", "${number % Runtime.getRuntime().availableProcessors()}") + words)
        .apply { command()[command().lastIndex] = settings.path }
        .redirectErrorStream(true)
        .redirectOutput(File(directory, "$role-$number.out"))
        .start()
}

private fun settingsOf(role: String, number: Int, ip: String, directory: File): String {
    val common = """
        [vm]
        id = "$role-$number"
        failure_domain = "d${number % CONTROL_VMS}"
        ip = "$ip"
        [link]
        port = $LINK_PORT
        secret = "secret-of-the-measurement"
        [control]
        seeds = [${(1..CONTROL_VMS).joinToString { "\"127.0.5.$it:${LINK_PORT + 1}\"" }}]
    """.trimIndent()
    val own = if (role == "control") {
        """
        [data]
        directory = "$directory/data-$number"
        [listen]
        requests = "$ip:${LINK_PORT + 1}"
        metrics = "$ip:${LINK_PORT + 2}"
        [formation]
        bootstrap = true
        [targets]
        period_ms = 1200
        """.trimIndent()
    } else {
        """
        [listen]
        callers = "$ip:${LINK_PORT + 3}"
        readiness = "$ip:${LINK_PORT + 4}"
        metrics = "$ip:${LINK_PORT + 5}"
        [shutdown]
        grace_s = 4.0
        """.trimIndent()
    }
    return "$common\n$own\n"
}
