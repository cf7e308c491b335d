/*
 * Commands to engines to load services, with real processes.
 */
package fulmarshunt.faults

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.operator.SetWeightStoreRate
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

private const val KEY = "vatuvara-key"

@Timeout(TEST_LIMIT_S)
class LoadCommandFaultTest {
    @TempDir
    lateinit var directory: File

    private val caller = CallerClient(KEY)

    private fun SiteEntry.serves(model: String): Boolean =
        caller.stream(callersPort, "$model length=3", model).isComplete

    /** Guards against a service that no engine loads, and against a load that costs the pool another service. */
    @Test
    fun `a service that no engine has loaded is loaded on demand beside the other one`() {
        Site(directory, voterCount = 1, entryCount = 2).use { site ->
            site.start()
            val weightBytes = 1_000_000L
            site.configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutClientAccount(ClientAccount(ClientAccountId("vatuvara"), sha256Hex(KEY))),
                PutService(Service(ServiceId("letters"), ServiceKind.MODEL, weightBytes = weightBytes)),
                PutService(Service(ServiceId("tags"), ServiceKind.MODEL, weightBytes = weightBytes)),
                SetWeightStoreRate(weightBytes),
            )
            site.awaitReady()
            val engines = (1..2).map {
                site.engine("engine-$it", "suva", "max_services=1", "load=1500", "checks_fencing=true")
            }
            site.entries.forEach { entry -> awaitThat("letters at ${entry.name}") { entry.serves("letters") } }
            expectThat(engines.sumOf { it.stat("loads") }).isEqualTo(0)
            val letters = mutableListOf<Boolean>()
            awaitThat("tags", 30_000) {
                letters += site.entries.last().serves("letters")
                site.entries.first().serves("tags")
            }
            repeat(10) { letters += site.entries[it % 2].serves("letters") && site.entries[it % 2].serves("tags") }
            expectThat(letters).all { isTrue() }
            expectThat(engines.map { it.stat("loads") }.sorted()).isEqualTo(listOf(0L, 1L))
            val logs = site.entries.map { File(directory, "${it.name}.out").readText() }
            expectThat(logs.sumOf { Regex("Ordering engine .* to load tags in place of letters").findAll(it).count() })
                .isEqualTo(1)
            expectThat(site.entries.sumOf { it.takenOrders() }).isGreaterThan(0)
            engines.forEach { expectThat(it.order("letters", "tags", fence = 0)).isEqualTo(409) }
        }
    }

    private fun SiteEntry.takenOrders(): Int {
        val metrics = URI("http://127.0.0.1:$platformPort/metrics").toURL().readText()
        return Regex("fulmarshunt_load_orders_total\\{answer=\"taken\"} (\\d+)").findAll(metrics).count()
    }

    /** Sends a load command to the engine, bypassing the owner of the pool, and returns the status. */
    private fun SiteTarget.order(service: String, replaces: String, fence: Long): Int {
        val body = """{"order":"load","service":"$service","replaces":"$replaces","fencing_number":$fence}"""
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/engine/orders"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
        return HttpClient.newHttpClient().send(request.build(), BodyHandlers.discarding()).statusCode()
    }
}
