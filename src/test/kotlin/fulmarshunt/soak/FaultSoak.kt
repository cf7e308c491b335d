/*
 * Runs the fault soak: the programs as processes, seeded faults, clients and an operator, and the checks of what they
 * saw. See CONTRIBUTING.md for its use.
 */
package fulmarshunt.soak

import fulmarshunt.standin.runTool
import java.io.File
import java.nio.file.Files

private const val FORMATION_LIMIT_MS = 60_000L
private const val FORMATION_MS_PER_ENTRY = 2_000L
private const val AFTERMATH_MS = 2_000L

/** Half of the memory of the machines on which soaks run. */
private const val MAX_MEMORY_MB = 16_384

/** What one process takes at most, with its heap. */
private const val VM_MB = 200
private const val TARGET_MB = 75
private const val ENTRIES_PER_ENGINE = 2

private val argumentNames = setOf(
    "seed", "seeds", "seconds", "site", "entries", "engines", "limits", "series", "crash", "forwarding", "memory_mb",
    "routes",
    "link_kbps",
)

/** What one seed showed. */
internal class SoakResult(
    val seed: Long,
    val faultCount: Int,
    events: List<SoakEvent>,
    val violations: List<SoakViolation>,
    val directory: File,
) {
    private val requestCount = events.count { it.kind == SoakKind.SEND }

    val servedCount: Int = events.count { it.kind == SoakKind.ANSWER && it["status"] == "200" }

    /** The acknowledged evacuations. */
    val evacuationCount: Int = events.count {
        it.kind == SoakKind.ACKNOWLEDGED && "evacuation" in it["path"] && it["path"].endsWith("/start")
    }

    /** The arrivals of requests that had arrived at a target before. */
    val repeatCount: Int =
        events.filter { it.kind == SoakKind.ARRIVE }.let { all -> all.size - all.distinctBy { it["request"] }.size }

    /** The runs that continued at another target. */
    val continuationCount: Int = events.count { it.kind == SoakKind.BEGIN && it["from"].isNotEmpty() }

    /** The entry VMs that were told to terminate. */
    val terminationCount: Int = events.count { it.kind == SoakKind.DISTURBED && it["action"] == "SIGTERM" }

    /** The cuts of entry VMs from all targets, each VM counted. */
    val cutVmCount: Int = events.count { it.kind == SoakKind.CUT }

    /** The streams that were sent without length or chunks. */
    val unframedCount: Int = events.count { it.kind == SoakKind.BEGIN && it["framed"] == "false" }

    /** The last moves that did not get the proper answer. */
    val failedMoveCount: Int = events.count { it.kind == SoakKind.MOVE && it["answer"] != "PROPER" }

    /** The events that their callers had already, and the continuations that began with one. */
    private val misplacedCount = events.count { it.kind == SoakKind.MISPLACED }

    /** The requests with a body in chunks. */
    private val chunkedCount =
        events.count { it.kind == SoakKind.SEND && it["framing"] == SoakFraming.CHUNKED.name }

    /** The requests for the routes of new configurations at entry VMs that answered. */
    private val probeCount = events.count { it.kind == SoakKind.PROBE && it["status"] != "0" }

    /** The targets that requests have crashed. */
    private val crashCount = events.count { it.kind == SoakKind.DISTURBED && it["action"] == "CRASH" }

    /** The responses that ended early without a fault of target or entry VM. */
    val cutCount: Int = CheckedRecords(events, SoakBounds()).cutResponses()

    override fun toString(): String = "seed=$seed faults=$faultCount requests=$requestCount served=$servedCount " +
        "evacuations=$evacuationCount repeats=$repeatCount continuations=$continuationCount " +
        "sigterms=$terminationCount chunked=$chunkedCount cut=$cutCount " +
        "vms_cut=$cutVmCount crashes=$crashCount unframed=$unframedCount failed_moves=$failedMoveCount " +
        "misplaced=$misplacedCount probes=$probeCount " +
        SoakRule.entries.joinToString(" ") { rule -> "$rule=${violations.count { it.rule == rule }}" } +
        if (violations.isEmpty() && cutCount == 0) "" else " folder=$directory"
}

/** Runs one seed with faults for [seconds]. The folder of a run without violations or cut responses is removed. */
internal fun runSoak(
    seed: Long,
    seconds: Long,
    deployment: SoakSite = SoakSite(),
    series: Set<SoakSeries> = usualSeries,
): SoakResult {
    val directory = Files.createTempDirectory("fulmarshunt-soak-$seed-").toFile()
    var faultCount = 0
    SoakRecord(File(directory, "driver.record")).use { record ->
        SoakDeployment(directory, deployment, record).use { site ->
            site.start()
            val operator = SoakOperator(site, seed)
            val formationLimitMs = FORMATION_LIMIT_MS + FORMATION_MS_PER_ENTRY * deployment.entries
            check(operator.configure(formationLimitMs)) { "no configuration was accepted, see $directory" }
            val limitNs = System.nanoTime() + formationLimitMs * 1_000_000
            while (!(0 until deployment.entries).all(site::isReady)) {
                check(System.nanoTime() < limitNs) { "an entry VM was not ready, see $directory" }
                Thread.sleep(200)
            }
            SoakClients(site, seed).use {
                Thread.sleep(AFTERMATH_MS)
                faultCount = SoakFaults(site, operator, seed, seconds * 1_000, series).run()
                Thread.sleep(AFTERMATH_MS)
            }
        }
    }
    val events = readSoakRecords(directory)
    val violations = checkSoak(events, SoakBounds(repeatAllowance = deployment.repeatAllowance))
    val result = SoakResult(seed, faultCount, events, violations, directory)
    File(directory, "violations.txt").writeText(violations.joinToString("\n", postfix = "\n"))
    if (violations.isEmpty() && result.cutCount == 0) directory.deleteRecursively()
    return result
}

/** Returns how many entry VMs, with half as many engines, fill [memoryMb] beside the control VMs. */
internal fun entriesThatFill(memoryMb: Int): Int {
    require(memoryMb <= MAX_MEMORY_MB) { "a soak may take $MAX_MEMORY_MB MB at most" }
    val entries = (memoryMb - CONTROL_VMS * VM_MB) / (VM_MB + TARGET_MB / ENTRIES_PER_ENGINE)
    return entries.coerceIn(ENTRIES_PER_ENGINE, MAX_ENTRIES)
}

/** Runs the seeds from `seed=` on, `seeds=` of them, and prints one line for each and one for each violation. */
public fun main(arguments: Array<String>): Unit = runTool("soak", arguments, argumentNames) { values ->
    val filling = values["memory_mb"]?.let { entriesThatFill(it.toInt()) }
    val site = soakSite(values["site"] ?: "small")
    val named = values["series"]?.split(',')?.mapTo(mutableSetOf()) { SoakSeries.valueOf(it) }
    val series = (named ?: usualSeries) + if (values["limits"] == "true") setOf(SoakSeries.LIMITS) else emptySet()
    val first = values["seed"]?.toLong() ?: 1L
    var isSound = true
    for (seed in first until first + (values["seeds"]?.toLong() ?: 1L)) {
        val result = runSoak(
            seed,
            values["seconds"]?.toLong() ?: 60L,
            site.copy(
                entries = values["entries"]?.toInt() ?: filling ?: site.entries,
                engines = values["engines"]?.toInt() ?: filling?.div(ENTRIES_PER_ENGINE) ?: site.engines,
                crashStyle = values["crash"]?.let(SoakCrashStyle::valueOf),
                hasForwarding = values["forwarding"] != "false",
                moreRoutes = values["routes"]?.toInt() ?: 0,
                linkKbps = values["link_kbps"]?.toInt() ?: 0,
            ),
            series,
        )
        println(result)
        result.violations.forEach { println("  seed=$seed $it") }
        isSound = isSound && result.violations.isEmpty()
    }
    check(isSound) { "rules were broken" }
}
