/*
 * Generations under failures of engines, connections and entry VMs, with real processes behind fault-injecting proxies.
 */
package fulmarshunt.faults

import fulmarshunt.FailureDomainId
import fulmarshunt.operator.SetFailureDomainDrained
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors

@Timeout(TEST_LIMIT_S)
class GenerationFaultTest {
    @TempDir
    lateinit var directory: File

    private fun withSite(voterCount: Int = 1, entryCount: Int = 2, block: (Site) -> Unit): Unit =
        withGenerationSite(directory, voterCount, entryCount, block)

    /** Guards against lost, repeated or mixed tokens when a connection goes silent permanently while new ones work. */
    @Test
    fun `a stream on a silent connection is resumed without loss`() {
        withSite { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=300")
            engine.proxy.silenceOpenConnections()
            stream.get().expectComplete(300)
            expectThat(engine.stat("started")).isEqualTo(1L + site.entries.size)
        }
    }

    /** Guards against lost, repeated or mixed tokens when connections are reset repeatedly. */
    @Test
    fun `a stream whose connections are reset is resumed without loss`() {
        withSite { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=300")
            repeat(4) {
                engine.proxy.resetOpenConnections()
                Thread.sleep(300)
            }
            stream.get().expectComplete(300)
        }
    }

    /** Guards against a second generation being mixed into a stream whose engine crashed. */
    @Test
    fun `a stream whose engine crashes ends with an error and tokens of one generation`() {
        withSite { site ->
            val engines = listOf(site.engine("engine-1"), site.engine("engine-2"))
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=2000")
            engines.first { it.stat("running") > 0 }.process.kill()
            val received = stream.get()
            expectThat(received.isComplete).isFalse()
            expectThat(received.rest).contains("generation-lost")
            expectThat(received.generations).hasSize(1)
            expectThat(received.offsets).isEqualTo(received.offsets.indices.toList())
        }
    }

    /** Guards against a buffered generation being lost with its engine although nothing had reached the caller. */
    @Test
    fun `a buffered generation is finished elsewhere when its engine crashes`() {
        withSite { site ->
            val engines = listOf(site.engine("engine-1"), site.engine("engine-2"))
            site.awaitService()
            val answer =
                CompletableFuture.supplyAsync {
                    caller.open(site.entries[0].callersPort, "letter length=200", isStreamed = false)
                }
            val busy = eventually("a running generation") { engines.firstOrNull { it.stat("running") > 0 } }
            busy.process.kill()
            val response = answer.get()
            val text = response.body().readBytes().decodeToString()
            expectThat(response.statusCode()).describedAs(text).isEqualTo(200)
            expectThat(text).contains("\"completion_tokens\":200")
        }
    }

    /** Guards against capacity being spent on a generation whose caller has disconnected. */
    @Test
    fun `a generation whose caller disconnects is cancelled at the engine`() {
        withSite { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            val response = caller.open(site.entries[0].callersPort, "letter length=20000", maxTokens = 30_000)
            response.body().read()
            expectThat(engine.stat("running")).isEqualTo(1)
            response.body().close()
            awaitThat("the cancellation") { engine.stat("running") == 0L }
        }
    }

    /** Guards against capacity being spent on generations whose entry VM crashed. */
    @Test
    fun `generations of a crashed entry VM are cancelled`() {
        withSite(entryCount = 3) { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            for (entry in site.entries) {
                val started = CountDownLatch(1)
                CompletableFuture.supplyAsync {
                    caller.stream(entry.callersPort, "letter length=20000", maxTokens = 30_000) { started.countDown() }
                }
                started.awaitOrFail()
            }
            expectThat(engine.stat("running")).isEqualTo(3)
            site.entries[0].process.kill()
            awaitThat("the cancellation", 30_000) { engine.stat("running") == 2L }
            Thread.sleep(3_000)
            expectThat(engine.stat("running")).isEqualTo(2)
        }
    }

    /** Guards against a newly started target crashing when all entry VMs send to it at once. */
    @Test
    fun `a newly started engine never gets more than its start limit`() {
        withSite(entryCount = 3) { site ->
            site.engine("engine-1", "suva", "full_limit=4", "memory=100000")
            site.awaitService()
            val newEngine = site.engine(
                "engine-2",
                "suva",
                "warm_up=8000",
                "start_limit=2",
                "fragile=true",
                "memory=100000",
            )
            val pool = Executors.newFixedThreadPool(24)
            val streams =
                (0 until 48).map { n ->
                    CompletableFuture.supplyAsync(
                        { caller.stream(site.entries[n % 3].callersPort, "burst $n length=60") },
                        pool,
                    )
                }
            val received = streams.map { it.get() }
            pool.shutdownNow()
            expectThat(newEngine.process.isAlive()).isTrue()
            expectThat(received.map { it.status }).all { isContainedIn(listOf(200, 503)) }
            received.filter { it.status == 200 }.forEach { it.expectComplete(60) }
            expectThat(received.count { it.isComplete }).isGreaterThan(20)
        }
    }

    /** Guards against a request that crashes every target it runs on, sent again and again under new request ids. */
    @Test
    fun `a request that crashes engines is quarantined everywhere`() {
        withSite(entryCount = 2) { site ->
            val engines = (1..4).map { site.engine("engine-$it") }
            site.awaitService()
            val answers =
                (0 until 8).map { n ->
                    val answer = caller.stream(site.entries[n % 2].callersPort, "CRASH-THE-ENGINE now")
                    Thread.sleep(1_000)
                    answer
                }
            expectThat(engines.count { !it.process.isAlive() }).isLessThanOrEqualTo(2)
            expectThat(answers.last().rest).contains("quarantined")
            site.awaitService()
        }
    }

    /** Guards against new work in a drained failure domain, and against streams that a drain cuts off. */
    @Test
    fun `a drained failure domain gets no new work and comes back`() {
        withSite { site ->
            val inSuva = site.engine("engine-1", "suva")
            val elsewhere = site.engine("engine-2", "nausori")
            site.awaitService()
            awaitThat("work in suva") {
                caller.stream(site.entries[0].callersPort, "x length=2")
                inSuva.stat("started") > 0
            }
            val stream = beginStream(site.entries[0], "letter length=600")
            site.configure(SetFailureDomainDrained(FailureDomainId("suva"), true))
            val before = inSuva.stat("started")
            repeat(10) { n -> caller.stream(site.entries[n % 2].callersPort, "y$n length=3").expectComplete(3) }
            expectThat(inSuva.stat("started")).isEqualTo(before)
            expectThat(elsewhere.stat("started")).isGreaterThan(0)
            stream.get().expectComplete(600)
            site.configure(SetFailureDomainDrained(FailureDomainId("suva"), false))
            awaitThat("work in suva again") {
                caller.stream(site.entries[0].callersPort, "z length=2")
                inSuva.stat("started") > before
            }
        }
    }

    /** Guards against a planned stop that cuts off a running stream, or that takes new work. */
    @Test
    fun `a graceful shutdown finishes running streams`() {
        withSite { site ->
            site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=500")
            site.entries[0].process.terminate()
            eventually("the end of readiness") {
                true.takeIf { runCatching { !site.isReady(site.entries[0]) }.getOrDefault(true) }
            }
            stream.get().expectComplete(500)
            expectThat(site.entries[0].process.exitCode(15_000)).isEqualTo(0)
            site.awaitService(site.entries.drop(1))
        }
    }

    /** Guards against new work without a lease, and against streams that end because no control VM is reachable. */
    @Test
    fun `without control VMs new work stops and running streams finish`() {
        withSite { site ->
            site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=800")
            site.voters.forEach { it.process.kill() }
            awaitThat("the end of readiness") { !site.isReady(site.entries[0]) }
            val refused = caller.stream(site.entries[0].callersPort, "x length=2")
            expectThat(refused.status).isEqualTo(503)
            expectThat(refused.rest).contains("\"ran\":\"not_run\"")
            stream.get().expectComplete(800)
            site.voters.forEach { it.process.start() }
            site.awaitReady()
            site.awaitService()
        }
    }

    /** Guards against new work by an entry VM that was frozen for longer than its lease. */
    @Test
    fun `a frozen entry VM that resumes serves again only with a new lease`() {
        withSite { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            site.entries[0].process.freeze()
            Thread.sleep(5_000)
            site.awaitService(site.entries.drop(1))
            val before = engine.stat("max_concurrent")
            site.entries[0].process.thaw()
            site.awaitReady()
            site.awaitService()
            expectThat(engine.stat("max_concurrent")).isLessThanOrEqualTo(maxOf(before, 2))
        }
    }
}
