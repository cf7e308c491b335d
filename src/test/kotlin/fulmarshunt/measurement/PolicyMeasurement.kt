/*
 * The measurement of the policies on real processes: voters, nine entry VMs, and the engines and services of one user.
 * Each policy serves the same seeded workload; the ratios within one run are the result, the absolute times only
 * describe the machine. Arguments are `name=value`: user, seed, seconds, load, policies (comma-separated), drain (true
 * or false) and output (a folder).
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
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChartBuilder
import java.io.File
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val ENTRY_COUNT = 9
private const val VOTER_COUNT = 3
private const val ENGINE_BATCH = 12
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

private class Options(arguments: Array<String>) {
    private val values = arguments.associate { it.substringBefore('=') to it.substringAfter('=') }
    val shape = if (values["user"] == "repasso") repasso else vatuvara
    val seed = values["seed"]?.toLong() ?: 1L
    val durationMs = (values["seconds"]?.toLong() ?: 30L) * 1_000
    val load = values["load"]?.toDouble() ?: 1.2
    val policies = (values["policies"] ?: "least-in-flight,default").split(',')
    val isDraining = values["drain"] == "true"
    val output = File(values["output"] ?: "target/measurements")
}

/** Runs the measurement and prints one line for each policy. */
fun main(arguments: Array<String>) {
    val options = Options(arguments)
    val results = options.policies.map { measure(options, it) }
    options.output.mkdirs()
    val name = "${options.shape.name}-${options.seed}-${System.currentTimeMillis() / 1_000}"
    val json = Json { prettyPrint = true }
    File(options.output, "$name.json").writeText(json.encodeToString(ListSerializer(RunResult.serializer()), results))
    plot(results, File(options.output, name))
    exitProcess(0)
}

private fun measure(options: Options, policy: String): RunResult {
    val directory = File("target/measurement-$policy-${System.nanoTime()}").apply { mkdirs() }
    val shape = options.shape
    Site(
        directory,
        VOTER_COUNT,
        ENTRY_COUNT,
        shape.domains,
        policySettings.getValue(policy),
        isProxied = false,
    ).use { site ->
        site.start()
        configure(site, shape)
        site.awaitReady()
        val engines = startTargets(site, shape)
        warmUp(site)
        // The batch is bounded by the engine's limit or by its memory, whichever is smaller for the mean request.
        val capacity = shape.engineCount * ENGINE_BATCH * 1_000.0 / ENGINE_STEP_MS
        val arrivals = workload(shape, options.seed, options.durationMs, capacity * options.load, ENTRY_COUNT)
        val before = engines.sumOf { it.stat("preemptions") }
        val recorder = Recorder()
        val startNanos = System.nanoTime()
        val drain = if (options.isDraining) drainAndRestore(site, shape, options.durationMs) else null
        offerLoad(site, arrivals, recorder, startNanos)
        drain?.join()
        val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
        val preemptions = engines.sumOf { it.stat("preemptions") } - before
        val result =
            recorder.result(shape.name, policy, options.seed, options.load, arrivals.size, preemptions, elapsedMs)
        println(result.describe())
        return result
    }
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
            "full_limit=${ENGINE_BATCH * 3}",
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

private fun offerLoad(site: Site, arrivals: List<Arrival>, recorder: Recorder, startNanos: Long) {
    val callers = accountWeights.keys.associateWith { CallerClient(it) }
    val pool = Executors.newCachedThreadPool()
    for (arrival in arrivals) {
        val scheduled = startNanos + arrival.atMs * NANOS_PER_MS
        val aheadMs = (scheduled - System.nanoTime()) / NANOS_PER_MS
        if (aheadMs > 0) Thread.sleep(aheadMs)
        recorder.offer(arrival)
        pool.execute {
            val prompt = "n${arrival.atMs} length=${arrival.outputTokens} " + "word ".repeat(arrival.promptTokens)
            val maxTokens = if (arrival.isTag) TAG_LIMIT_TOKENS else LETTER_LIMIT_TOKENS
            val port = site.entries[arrival.entry].callersPort
            val stream = callers.getValue(arrival.account).stream(port, prompt, maxTokens = maxTokens)
            recorder.record(arrival, scheduled, stream.tokens.map { it.atNanos }, stream.isComplete, stream.status)
        }
    }
    pool.shutdown()
    pool.awaitTermination(DRAIN_MINUTES, TimeUnit.MINUTES)
}

private const val TAG_LIMIT_TOKENS = 24
private const val LETTER_LIMIT_TOKENS = 4_096
private const val DRAIN_MINUTES = 2L

private fun RunResult.describe(): String =
    "user=$user policy=$policy seed=$seed load=$load requests=$requests completed=$completed rejected=$rejected " +
        "broken=$broken stall_ms=$stallMs preemptions=$preemptions " +
        "between_p50_ms=${betweenTokens.p50Ms} between_p99_ms=${betweenTokens.p99Ms} " +
        "between_p999_ms=${betweenTokens.p999Ms} first_p50_ms=${firstToken.p50Ms} first_p99_ms=${firstToken.p99Ms} " +
        "tag_p50_ms=${tagWait.p50Ms} tag_p99_ms=${tagWait.p99Ms} " +
        "jain=%.3f goodput_tokens_s=%.0f".format(jainIndex, goodputTokensPerSecond)

private fun plot(results: List<RunResult>, file: File) {
    val chart =
        CategoryChartBuilder()
            .width(900)
            .height(500)
            .title("${results.first().user}, load ${results.first().load}, seed ${results.first().seed}")
            .yAxisTitle("milliseconds")
            .build()
    val names = listOf("between tokens p99", "first token p99", "tag wait p99")
    for (result in results) {
        val values = listOf(result.betweenTokens.p99Ms, result.firstToken.p99Ms, result.tagWait.p99Ms)
        chart.addSeries(result.policy, names, values)
    }
    BitmapEncoder.saveBitmap(chart, file.path, BitmapEncoder.BitmapFormat.PNG)
}
