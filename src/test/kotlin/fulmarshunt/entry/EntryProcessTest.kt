/*
 * The data path through separate processes: a voter, two entry VMs, stand-in engines and a stand-in service.
 */
package fulmarshunt.entry

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.SiteTarget
import fulmarshunt.faults.eventually
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.NonRepeatableRule
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EntryProcessTest {
    private lateinit var site: Site
    private lateinit var engine: SiteTarget
    private val caller = CallerClient("test-key")
    private val callerPorts get() = site.entries.map { it.callersPort }

    @BeforeAll
    fun start(@TempDir directory: File) {
        site = Site(directory, voterCount = 1, entryCount = 2, domains = listOf("suva", "nausori")).start()
        site.configure(
            PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
            PutFailureDomain(FailureDomain(FailureDomainId("nausori"))),
            PutService(Service(ServiceId("letters"), ServiceKind.MODEL)),
            PutService(Service(ServiceId("fragile"), ServiceKind.MODEL)),
            PutService(
                Service(
                    ServiceId("bookings"),
                    ServiceKind.PLAIN,
                    nonRepeatable = listOf(NonRepeatableRule("POST", "/beds")),
                ),
            ),
            PutClientAccount(ClientAccount(ClientAccountId("labs"), sha256Hex("test-key"))),
        )
        site.awaitReady()
        engine = site.engine("e1", "suva", "start_limit=4")
        for (port in callerPorts) {
            eventually("a first response") { true.takeIf { caller.stream(port, "length=2").isComplete } }
        }
    }

    @AfterAll
    fun stop(): Unit = site.close()

    /** Guards against lost, repeated or reordered tokens on the complete path, also through another VM's pool. */
    @Test
    fun `each token arrives once and in order`() {
        callerPorts.forEach { port ->
            val received = caller.stream(port, "letter length=40")
            expectThat(received.isComplete).isTrue()
            expectThat(received.offsets).isEqualTo((0 until 40).toList())
            expectThat(received.generations).hasSize(1)
        }
    }

    /** Guards against the loss of a generation because one connection to its engine stalls. */
    @Test
    fun `a silent connection is resumed at the next token`() {
        engine.act("stall")
        val received = caller.stream(callerPorts[0], "letter length=30")
        expectThat(received.isComplete).isTrue()
        expectThat(received.offsets).isEqualTo((0 until 30).toList())
        expectThat(received.generations).hasSize(1)
    }

    /** Guards against generations that keep running without their caller, also while nothing is written. */
    @Test
    fun `the generation of a caller that disconnects is cancelled at the engine`() {
        listOf(true, false).forEach { isStreamed ->
            val before = engine.stat("cancelled")
            val open = CompletableFuture.supplyAsync {
                CallerSocket(callerPorts[0]).use { it.requestGeneration("letter length=4000", isStreamed) }
            }
            open.get(10, TimeUnit.SECONDS)
            val startNanos = System.nanoTime()
            eventually("the cancellation", 10_000) { true.takeIf { engine.stat("cancelled") == before + 1 } }
            expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(3_000)
        }
    }

    /** Guards against a stream that appears complete or continues with another generation after a crash. */
    @Test
    fun `an engine crash ends the stream with an error and a buffered call runs again`() {
        val first = site.engine("f1", "suva", "services=fragile", "start_limit=4")
        eventually("a response of f1") {
            true.takeIf { caller.stream(callerPorts[0], "length=2", "fragile").isComplete }
        }
        val buffered = CompletableFuture.supplyAsync {
            caller.open(callerPorts[1], "letter length=300", "fragile", isStreamed = false).let {
                it.statusCode() to it.body().readBytes().decodeToString()
            }
        }
        eventually("the buffered generation") { true.takeIf { first.stat("running") == 1L } }
        site.engine("f2", "nausori", "services=fragile", "start_limit=4")
        val received = caller.stream(callerPorts[0], "letter length=300", "fragile") { tokens ->
            if (tokens == 20) CompletableFuture.runAsync { first.process.kill() }
        }
        expectThat(received.isComplete).isFalse()
        expectThat(received.generations).hasSize(1)
        expectThat(received.rest).contains("\"ran\":\"unknown\"")
        val (status, body) = buffered.get(30, TimeUnit.SECONDS)
        expectThat(status).isEqualTo(200)
        expectThat(body).contains(":299 ")
    }

    /** Guards against a call that runs twice after its response was lost, and against responses that are not stored. */
    @Test
    fun `a non-repeatable call runs once`() {
        val first = site.plainService("s1", "bookings", "suva")
        val path = "/v1/services/bookings/beds"
        val port = callerPorts[0]
        awaitTagResponse()
        expectThat(caller.post(port, path, "no key").body()).contains("Idempotency-Key")
        val response = caller.post(port, path, "bed 1", "key-1").body()
        expectThat(caller.post(callerPorts[1], path, "bed 1", "key-1").body()).isEqualTo(response)
        expectThat(caller.post(port, path, "bed 2", "key-1").body()).contains("idempotency-key-reused")
        expectThat(first.ran().filter { it.endsWith("bed 1") }).hasSize(1)

        val second = site.plainService("s2", "bookings", "nausori")
        val lost = caller.post(port, "$path?crash", "bed 3", "key-3")
        expectThat(lost.body()).contains("\"ran\":\"unknown\"")
        awaitTagResponse()
        expectThat(caller.post(port, "$path?crash", "bed 3", "key-3").body()).contains("\"ran\":\"unknown\"")
        expectThat(second.ran().filter { it.endsWith("bed 3") }).hasSize(0)
    }

    private fun awaitTagResponse() = eventually("a response of the service") {
        true.takeIf { caller.post(callerPorts[0], "/v1/services/bookings/tags", "t").statusCode() == 200 }
    }

    /** Guards against announcements that are accepted with invalid values or refused without naming the field. */
    @Test
    fun `an invalid announcement is refused with the name of the field`() {
        val response = CallerSocket(site.entries[0].targetsPort).use { it.announce("start_limit", "0") }
        expectThat(response).contains("400").contains("start_limit")
    }
}
