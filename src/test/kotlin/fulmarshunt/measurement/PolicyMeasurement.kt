/*
 * The measurement of the policies on real processes: voters, entry VMs, and the engines and services of one user.
 * Each policy serves the same seeded workload; the ratios within one run are the result, the absolute times only
 * describe the machine. Arguments are `name=value`: users and policies (comma-separated), seed, seconds (of load),
 * settle (seconds of observation after it), load (times capacity), entries (entry VMs), drain (false leaves out the
 * phase in which a failure domain is drained and restored) and output (a folder).
 */
package fulmarshunt.measurement

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.SiteTarget
import fulmarshunt.faults.awaitThat
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.operator.SetFailureDomainDrained
import fulmarshunt.sha256Hex
import fulmarshunt.standin.runTool
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import java.io.File
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val VOTER_COUNT = 3
private const val ENGINE_FULL_LIMIT = 36
private const val ENGINE_MEMORY_TOKENS = 3_000
private const val ENGINE_STEP_MS = 20
private const val NANOS_PER_MS = 1_000_000L

/** The settings of each compared policy set. */
private val policySettings: Map<String, String> =
    mapOf(
        "default" to "",
        "least-in-flight" to
            """
            [policies]
            queue = "fifo"
            routing = "least-in-flight"
            admission = "full-limit"
            slow_start = "off"
            """.trimIndent(),
        "round-robin" to
            """
            [policies]
            queue = "fifo"
            routing = "round-robin"
            admission = "full-limit"
            slow_start = "off"
            """.trimIndent(),
    )

private const val BASELINE = "least-in-flight"

private val knownArguments =
    setOf("users", "seed", "seconds", "settle", "load", "entries", "policies", "drain", "output")

private class Options(values: Map<String, String>) {
    val shapes =
        (values["users"] ?: "vatuvara,repasso").split(',').map { name ->
            requireNotNull(listOf(vatuvara, repasso).find { it.name == name }) { "there is no user $name" }
        }
    val seed = values["seed"]?.toLong() ?: 1L
    val durationMs = (values["seconds"]?.toLong() ?: 30L) * 1_000
    val settleMs = (values["settle"]?.toLong() ?: 15L) * 1_000
    val load = values["load"]?.toDouble() ?: 1.2
    val entryCount = values["entries"]?.toInt() ?: 9
    val policies = (values["policies"] ?: "$BASELINE,default").split(',')
    val phases = if (values["drain"] == "false") listOf(STEADY) else listOf(STEADY, DRAIN)
    val output = File(values["output"] ?: "target/measurements")
}

private const val STEADY = "steady"

/** The phase in which the first failure domain is drained after 3/10 of the load and restored after 6/10. */
private const val DRAIN = "drain"

/** Runs the measurement and prints one line for each user, policy and phase, and the ratios to the baseline. */
fun main(arguments: Array<String>): Unit = runTool("policies", arguments, knownArguments) { values ->
    val options = Options(values)
    val results = options.shapes.flatMap { shape -> options.policies.flatMap { measure(options, shape, it) } }
    results.groupBy { it.case.user to it.case.phase }.values.forEach(::printRatios)
    options.output.mkdirs()
    val name = "policies-${options.seed}-${System.currentTimeMillis() / 1_000}"
    val json = Json { prettyPrint = true }
    val file = File(options.output, "$name.json")
    file.writeText(json.encodeToString(ListSerializer(RunResult.serializer()), results))
    println("results are in $file")
    results.groupBy { it.case.user to it.case.phase }.forEach { (key, group) ->
        plot(group, File(options.output, "$name-${key.first}-${key.second}"))
    }
}

/** Measures all phases of [policy] with one site. */
private fun measure(options: Options, shape: UserShape, policy: String): List<RunResult> {
    val directory = File("target/measurement-$policy-${System.nanoTime()}").apply { mkdirs() }
    val settings = requireNotNull(policySettings[policy]) { "there is no policy $policy" }
    val site = Site(directory, VOTER_COUNT, options.entryCount, shape.domains, settings, isProxied = false)
    return site.use {
        site.start()
        configure(site, shape)
        site.awaitReady()
        val engines = startTargets(site, shape)
        warmUp(site)
        options.phases.map { phase -> measurePhase(options, site, engines, shape, policy, phase) }
    }
}

private fun measurePhase(
    options: Options,
    site: Site,
    engines: List<SiteTarget>,
    shape: UserShape,
    policy: String,
    phase: String,
): RunResult {
    val capacity =
        shape.engineCount * engineTokensPerSecond(shape, options.seed, ENGINE_MEMORY_TOKENS, ENGINE_STEP_MS)
    val arrivals =
        workload(shape, options.seed, options.durationMs, capacity * options.load, options.entryCount)
    val before = engines.sumOf { it.stat("preemptions") }
    val startNanos = System.nanoTime()
    val endNanos = startNanos + (options.durationMs + options.settleMs) * NANOS_PER_MS
    val recorder = Recorder(startNanos, options.durationMs, endNanos)
    val drain = if (phase == DRAIN) drainAndRestore(site, shape, options.durationMs) else null
    offerLoad(site, arrivals, recorder, startNanos, endNanos)
    drain?.join()
    val preemptions = engines.sumOf { it.stat("preemptions") } - before
    val case = RunCase(shape.name, phase, policy, options.seed, options.load)
    val result = recorder.result(case, arrivals.size, preemptions)
    println(result.describe() + " machine_load=" + File("/proc/loadavg").readText().substringBefore(' '))
    awaitThat("idle engines") { engines.all { it.stat("running") == 0L } }
    return result
}

private fun configure(site: Site, shape: UserShape) {
    val domains = shape.domains.map { PutFailureDomain(FailureDomain(FailureDomainId(it))) }
    val accounts =
        accountWeights.map { (name, weight) ->
            PutClientAccount(ClientAccount(ClientAccountId(name), sha256Hex(name), weight, 10_000.0, 10_000))
        }
    val service = PutService(Service(ServiceId("letters"), ServiceKind.MODEL))
    site.configure(*(domains + accounts + service).toTypedArray())
}

private fun startTargets(site: Site, shape: UserShape): List<SiteTarget> {
    repeat(shape.plainServiceCount) { n ->
        site.plainService("app-$n", "bookings", shape.domains[n % shape.domains.size])
    }
    return (0 until shape.engineCount).map { n ->
        site.engine(
            "engine-$n",
            shape.domains[n % shape.domains.size],
            "memory=$ENGINE_MEMORY_TOKENS",
            "step=$ENGINE_STEP_MS",
            "start_limit=4",
            "full_limit=$ENGINE_FULL_LIMIT",
        )
    }
}

private fun warmUp(site: Site) {
    val caller = CallerClient("account-3")
    site.entries.forEach { entry ->
        awaitThat("service at ${entry.name}") { caller.stream(entry.callersPort, "warm length=2").isComplete }
    }
}

private fun drainAndRestore(site: Site, shape: UserShape, durationMs: Long): Thread = thread {
    val domain = FailureDomainId(shape.domains.first())
    Thread.sleep(durationMs * 3 / 10)
    site.configure(SetFailureDomainDrained(domain, true))
    Thread.sleep(durationMs * 3 / 10)
    site.configure(SetFailureDomainDrained(domain, false))
}

private fun offerLoad(site: Site, arrivals: List<Arrival>, recorder: Recorder, startNanos: Long, endNanos: Long) {
    val callers = accountWeights.keys.associateWith { CallerClient(it) }
    val pool = Executors.newCachedThreadPool()
    for (arrival in arrivals) {
        val scheduled = startNanos + arrival.atMs * NANOS_PER_MS
        TimeUnit.NANOSECONDS.sleep(scheduled - System.nanoTime())
        recorder.offer(arrival)
        pool.execute {
            val prompt = "n${arrival.atMs} length=${arrival.outputTokens} " + "word ".repeat(arrival.promptTokens)
            val maxTokens = if (arrival.isTag) TAG_LIMIT_TOKENS else LETTER_LIMIT_TOKENS
            val port = site.entries[arrival.entry].callersPort
            val outcome =
                runCatching { callers.getValue(arrival.account).stream(port, prompt, maxTokens = maxTokens) }
                    .fold({ Outcome(it.tokens.map { t -> t.atNanos }, it.isComplete, it.status) }) {
                        Outcome(emptyList(), isComplete = false, NO_STATUS)
                    }
            recorder.record(arrival, scheduled, outcome, System.nanoTime())
        }
    }
    pool.shutdown()
    if (!pool.awaitTermination(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
        // Open streams are recorded as unfinished; the interrupt ends requests that have no response yet.
        pool.shutdownNow()
        awaitThat("the end of the open streams") {
            callers.values.forEach { it.closeStreams() }
            pool.isTerminated
        }
    }
}

private const val TAG_LIMIT_TOKENS = 24
private const val LETTER_LIMIT_TOKENS = 4_096

/** The status of a request that got no response. */
private const val NO_STATUS = 0

private fun Percentiles.describe(name: String): String =
    "${name}_p50_ms=%.1f ${name}_p99_ms=%.1f ${name}_p999_ms=%.1f".format(p50Ms, p99Ms, p999Ms)

private fun RunResult.describe(): String =
    "user=${case.user} phase=${case.phase} policy=${case.policy} seed=${case.seed} load=${case.load} " +
        "requests=$requests completed=$completed rejected=$rejected broken=$broken unfinished=$unfinished " +
        "stall_ms=$stallMs preemptions=$preemptions ${betweenTokens.describe("between")} " +
        "${firstToken.describe("first")} ${tagWait.describe("tag")} " +
        "jain=%.3f least_share=%.2f goodput_tokens_s=%.0f".format(jainIndex, leastShare, goodputTokensPerSecond)

/** Prints each measure relative to the baseline of the same run; the goals are in docs/design.md. */
private fun printRatios(results: List<RunResult>) {
    val baseline = results.find { it.case.policy == BASELINE } ?: return
    for (result in results - baseline) {
        println(
            "ratio user=${result.case.user} phase=${result.case.phase} policy=${result.case.policy} " +
                "preemptions=%.3f stall=%.3f between_p99=%.3f first_p99=%.3f tag_p99=%.3f goodput=%.3f".format(
                    result.preemptions.toDouble() / baseline.preemptions,
                    result.stallMs.toDouble() / baseline.stallMs,
                    result.betweenTokens.p99Ms / baseline.betweenTokens.p99Ms,
                    result.firstToken.p99Ms / baseline.firstToken.p99Ms,
                    result.tagWait.p99Ms / baseline.tagWait.p99Ms,
                    result.goodputTokensPerSecond / baseline.goodputTokensPerSecond,
                ),
        )
    }
}

private fun plot(results: List<RunResult>, file: File) {
    val case = results.first().case
    val chart =
        CategoryChartBuilder()
            .width(900)
            .height(500)
            .title("${case.user}, ${case.phase}, load ${case.load}, seed ${case.seed}")
            .yAxisTitle("milliseconds")
            .build()
    val names = listOf("between tokens p99", "first token p99", "tag wait p99")
    for (result in results) {
        val values = listOf(result.betweenTokens.p99Ms, result.firstToken.p99Ms, result.tagWait.p99Ms)
        chart.addSeries(result.case.policy, names, values)
    }
    BitmapEncoder.saveBitmap(chart, file.path, BitmapEncoder.BitmapFormat.PNG)
}
