/*
 * Measures what the path through one entry VM adds to a direct call of the stand-in engines: the time to the first
 * token, the time between tokens, processor time and memory, by the number of open streams. Arguments are
 * `name=value`: streams (comma-separated), rate (streams started per second), step (milliseconds between tokens),
 * tokens and engines.
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
import fulmarshunt.sha256Hex
import fulmarshunt.standin.runTool
import org.HdrHistogram.Histogram
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val KEY = "overhead-key"
private const val NANOS_PER_SECOND = 1e9
private const val MICROS_PER_MS = 1_000.0
private const val NANOS_PER_MICRO = 1_000
private const val MAX_TRACKED_MICROS = 60_000_000L
private const val KIB = 1_024
private const val RUN_LIMIT_S = 150L

/** The JVM flags of `bin/entry`. */
private val entryFlags =
    "-Xms16m -Xmx256m -Xss256k -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m -XX:+ExitOnOutOfMemoryError"
        .split(' ')

private class Load(val streams: Int, val ratePerSecond: Int, val tokens: Int)

/** The times of the request and of each token; [problem] says why the stream did not finish. */
private class TimedStream(val startNanos: Long, val tokenNanos: List<Long>, val problem: String?)

/** Runs the measurement and prints three lines, direct, through the entry VM and the difference, for each size. */
fun main(arguments: Array<String>): Unit =
    runTool("overhead", arguments, setOf("streams", "rate", "step", "tokens", "engines")) { values ->
        val counts = (values["streams"] ?: "100,1000").split(',').map { it.toInt() }
        val tokens = values["tokens"]?.toInt() ?: 600
        val engineCount = values["engines"]?.toInt() ?: 4
        val rate = values["rate"]?.toInt() ?: 100
        val directory = Files.createTempDirectory("fulmarshunt-overhead").toFile()
        Site(directory, voterCount = 1, entryCount = 1, isProxied = false, entryJvmFlags = entryFlags).use { site ->
            site.start()
            site.configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutClientAccount(ClientAccount(ClientAccountId("a"), sha256Hex(KEY), 1.0, 1e6, 100_000)),
                PutService(Service(ServiceId("letters"), ServiceKind.MODEL)),
            )
            site.awaitReady()
            val limit = counts.max() * 2
            val engines =
                (1..engineCount).map {
                    val limits = arrayOf("start_limit=$limit", "full_limit=$limit")
                    site.engine("engine-$it", "suva", "memory=100000000", "step=${values["step"] ?: 25}", *limits)
                }
            awaitThat("a served request") {
                CallerClient(KEY).stream(site.entries[0].callersPort, "warm length=1").isComplete
            }
            for (count in counts) {
                val load = Load(count, rate, tokens)
                val direct = run("direct", site, load) { direct(engines, it, tokens) }
                val entry = run("entry", site, load) { throughEntry(site, it, tokens) }
                println("added streams=$count ${entry.minus(direct)}")
            }
        }
        directory.deleteRecursively()
    }

private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

private fun direct(engines: List<SiteTarget>, number: Int, tokens: Int): TimedStream {
    val body =
        """{"generation_id":"d$number-${System.nanoTime()}","service":"letters","max_tokens":$tokens,"priority":0,""" +
            """"fencing_number":0,"entry_vm":"none","messages":[{"role":"user","content":"length=$tokens"}]}"""
    val uri = URI("http://127.0.0.1:${engines[number % engines.size].port}/v1/generations")
    return read(HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build(), "\"token\":")
}

private fun throughEntry(site: Site, number: Int, tokens: Int): TimedStream {
    val body =
        """{"model":"letters","stream":true,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"s$number length=$tokens"}]}"""
    val request =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:${site.entries[0].callersPort}/v1/chat/completions"))
            .header("Authorization", "Bearer $KEY")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
    return read(request, "\"content\":")
}

/** Sends [request] and records when each line with [tokenMark] arrives. */
private fun read(request: HttpRequest, tokenMark: String): TimedStream {
    val times = mutableListOf<Long>()
    val start = System.nanoTime()
    val problem =
        runCatching {
            val response = http.send(request, BodyHandlers.ofInputStream())
            val lines = response.body().bufferedReader()
            if (response.statusCode() != 200) {
                "status ${response.statusCode()}: ${lines.readText()}"
            } else {
                lines.forEachLine { line -> if (tokenMark in line) times += System.nanoTime() }
                null
            }
        }.getOrElse { it.toString() }
    return TimedStream(start, times, problem)
}

private class PathResult(val firstToken: Histogram, val betweenTokens: Histogram) {
    fun minus(other: PathResult): String =
        "first_p50_ms=%.2f first_p99_ms=%.2f between_p50_ms=%.2f between_p99_ms=%.2f".format(
            firstToken.ms(50.0) - other.firstToken.ms(50.0),
            firstToken.ms(99.0) - other.firstToken.ms(99.0),
            betweenTokens.ms(50.0) - other.betweenTokens.ms(50.0),
            betweenTokens.ms(99.0) - other.betweenTokens.ms(99.0),
        )
}

private fun Histogram.ms(percentile: Double): Double = getValueAtPercentile(percentile) / MICROS_PER_MS

/** Starts the streams at a steady rate, waits for all of them, and prints one line. */
private fun run(label: String, site: Site, load: Load, stream: (Int) -> TimedStream): PathResult {
    val pool = Executors.newFixedThreadPool(load.streams)
    val pid = site.entries[0].process.pid
    val before = usageOf(pid)
    val startNanos = System.nanoTime()
    val pending =
        (0 until load.streams).map { number ->
            val due = startNanos + (number * NANOS_PER_SECOND / load.ratePerSecond).toLong()
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime())
            CompletableFuture.supplyAsync({ stream(number) }, pool)
        }
    val allOpen = usageOf(pid)
    var residentBytes = allOpen.residentBytes
    val limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(RUN_LIMIT_S)
    while (!pending.all { it.isDone } && System.nanoTime() < limit) {
        residentBytes = maxOf(residentBytes, usageOf(pid).residentBytes)
        Thread.sleep(200)
    }
    pool.shutdownNow()
    val streams = pending.map { it.get(1, TimeUnit.SECONDS) }
    val result = report(label, load, streams)
    val perStreamKib = (residentBytes - before.residentBytes) / KIB / load.streams
    println(
        "  entry_core_percent=%.1f resident_mib=%d..%d resident_per_stream_kib=%d machine_load=%s".format(
            corePercent(before, usageOf(pid)),
            before.residentBytes / KIB / KIB,
            residentBytes / KIB / KIB,
            perStreamKib,
            File("/proc/loadavg").readText().substringBefore(' '),
        ),
    )
    return result
}

/** Prints the figures; those of tokens cover the time in which all streams were open. */
private fun report(label: String, load: Load, streams: List<TimedStream>): PathResult {
    val served = streams.filter { it.tokenNanos.isNotEmpty() }
    check(served.isNotEmpty()) { "no stream was served: ${streams.first().problem}" }
    val from = served.maxOf { it.tokenNanos.first() }
    val until = served.minOf { it.tokenNanos.last() }
    val firstToken = Histogram(MAX_TRACKED_MICROS, 3)
    val betweenTokens = Histogram(MAX_TRACKED_MICROS, 3)
    var inWindow = 0
    for (stream in served) {
        firstToken.recordValue((stream.tokenNanos.first() - stream.startNanos) / NANOS_PER_MICRO)
        val times = stream.tokenNanos.filter { it in from..until }
        inWindow += times.size
        times.zipWithNext { a, b -> betweenTokens.recordValue((b - a) / NANOS_PER_MICRO) }
    }
    println(
        "path=%s streams=%d complete=%d all_open_s=%.1f tokens_per_s=%.0f ".format(
            label,
            load.streams,
            streams.count { it.problem == null && it.tokenNanos.size == load.tokens },
            (until - from) / NANOS_PER_SECOND,
            inWindow * NANOS_PER_SECOND / (until - from),
        ) +
            "first_p50_ms=%.2f first_p99_ms=%.2f between_p50_ms=%.2f between_p99_ms=%.2f".format(
                firstToken.ms(50.0),
                firstToken.ms(99.0),
                betweenTokens.ms(50.0),
                betweenTokens.ms(99.0),
            ),
    )
    val problems = streams.mapNotNull { it.problem }.groupingBy { it }.eachCount()
    problems.forEach { (problem, count) -> println("  problem: $problem x$count") }
    return PathResult(firstToken, betweenTokens)
}
