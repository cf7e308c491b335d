/*
 * Processor time and memory of a process, from the proc file system.
 */
package fulmarshunt.measurement

import java.io.File

private const val TICKS_PER_SECOND = 100.0
private const val UTIME_FIELD = 11

/** The processor time and memory of a process at one time. */
class ProcessUsage(val cpuSeconds: Double, val residentBytes: Long, val atNanos: Long)

/** Reads the usage of the process [pid]. */
fun usageOf(pid: Long): ProcessUsage {
    val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
    val ticks = fields[UTIME_FIELD].toLong() + fields[UTIME_FIELD + 1].toLong()
    val resident = File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }
    val kib = resident.filter { it.isDigit() }.toLong()
    return ProcessUsage(ticks / TICKS_PER_SECOND, kib * 1_024, System.nanoTime())
}

/** Returns the share of one core that was used between two readings, in percent. */
fun corePercent(before: ProcessUsage, after: ProcessUsage): Double =
    (after.cpuSeconds - before.cpuSeconds) * 100 / ((after.atNanos - before.atNanos) / 1e9)
