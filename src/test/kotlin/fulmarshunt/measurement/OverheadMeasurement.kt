/*
 * What the path through one entry VM adds to a direct call of the stand-in engine: the time between tokens, processor
 * time and memory, by the number of open streams. Arguments are `name=value`: streams (comma-separated), step
 * (milliseconds between tokens) and tokens.
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
import org.HdrHistogram.ConcurrentHistogram
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.system.exitProcess

private const val KEY = "overhead-key"

/** Runs the measurement and prints two lines, direct and through the entry VM, for each number of streams. */
fun main(arguments: Array<String>) {
    val values = arguments.associate { it.substringBefore('=') to it.substringAfter('=') }
    val counts = (values["streams"] ?: "50,200,800").split(',').map { it.toInt() }
    val stepMs = values["step"]?.toInt() ?: 25
    val tokens = values["tokens"]?.toInt() ?: 400
    val directory = Files.createTempDirectory("fulmarshunt-overhead").toFile()
    Site(directory, voterCount = 1, entryCount = 1, isProxied = false).use { site ->
        site.start()
        site.configure(
            PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
            PutClientAccount(ClientAccount(ClientAccountId("a"), sha256Hex(KEY), 1.0, 1e6, 100_000)),
            PutService(Service(ServiceId("letters"), ServiceKind.MODEL)),
        )
        site.awaitReady()
        val limit = counts.max() * 2
        val engine =
            site.engine(
                "engine-1",
                "suva",
                "memory=100000000",
                "step=$stepMs",
                "start_limit=$limit",
                "full_limit=$limit",
            )
        awaitThat("a served request") {
            CallerClient(KEY).stream(site.entries[0].callersPort, "warm length=1").isComplete
        }
        for (count in counts) {
            run("direct", site, count, tokens) { number -> direct(engine, number, tokens) }
            run("entry", site, count, tokens) { number ->
                CallerClient(KEY).stream(site.entries[0].callersPort, "s$number length=$tokens").tokens.map {
                    it.atNanos
                }
            }
        }
    }
    exitProcess(0)
}

private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Reads a generation from the engine itself and returns the times of its tokens. */
private fun direct(engine: SiteTarget, number: Int, tokens: Int): List<Long> {
    val body =
        """{"generation_id":"d$number-${System.nanoTime()}","service":"letters","max_tokens":$tokens,"priority":0,""" +
            """"fencing_number":0,"entry_vm":"none","messages":[{"role":"user","content":"length=$tokens"}]}"""
    val request =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:${engine.port}/v1/generations"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
    val times = mutableListOf<Long>()
    http.send(request, BodyHandlers.ofInputStream()).body().bufferedReader().forEachLine { line ->
        if ("\"token\"" in line) times += System.nanoTime()
    }
    return times
}

private fun run(label: String, site: Site, count: Int, tokens: Int, stream: (Int) -> List<Long>) {
    val pool = Executors.newFixedThreadPool(count)
    val gaps = ConcurrentHistogram(60_000_000, 3)
    val pid = site.entries[0].process.pid
    val before = usageOf(pid)
    var resident = 0L
    val began = System.nanoTime()
    val streams =
        (0 until count).map { number ->
            CompletableFuture.supplyAsync({ stream(number) }, pool).thenApply { times ->
                times.zipWithNext { a, b -> gaps.recordValue((b - a) / 1_000) }
                times.size
            }
        }
    while (!streams.all { it.isDone }) {
        resident = maxOf(resident, usageOf(pid).residentBytes)
        Thread.sleep(200)
    }
    val received = streams.sumOf { it.get() }
    val seconds = (System.nanoTime() - began) / 1e9
    pool.shutdownNow()
    println(
        "path=%s streams=%d expected=%d received=%d tokens_per_s=%.0f between_p50_ms=%.2f between_p99_ms=%.2f ".format(
            label,
            count,
            count * tokens,
            received,
            received / seconds,
            gaps.getValueAtPercentile(50.0) / 1_000.0,
            gaps.getValueAtPercentile(99.0) / 1_000.0,
        ) +
            "entry_core_percent=%.1f entry_resident_mib=%d".format(
                corePercent(before, usageOf(pid)),
                resident / 1_048_576,
            ),
    )
}
