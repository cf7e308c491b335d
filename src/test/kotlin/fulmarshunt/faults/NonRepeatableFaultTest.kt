/*
 * Calls that must run at most once, with their response lost at each hop and resends through other entry VMs. The
 * stand-in service records every call that it ran.
 */
package fulmarshunt.faults

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.NonRepeatableRule
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

private const val KEY = "repasso-key"
private const val PATH = "/v1/services/bookings/bookings"

@Timeout(TEST_LIMIT_S)
class NonRepeatableFaultTest {
    @TempDir
    lateinit var directory: File

    private val caller = CallerClient(KEY)

    private fun withSite(voterCount: Int = 3, block: (Site, SiteTarget) -> Unit) {
        Site(directory, voterCount, entryCount = 2).use { site ->
            site.start()
            val rule = NonRepeatableRule("POST", "/bookings")
            site.configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutFailureDomain(FailureDomain(FailureDomainId("nausori"))),
                PutClientAccount(ClientAccount(ClientAccountId("repasso"), sha256Hex(KEY))),
                PutService(Service(ServiceId("bookings"), ServiceKind.PLAIN, listOf(rule))),
            )
            site.awaitReady()
            val service = site.plainService("app-1", "bookings")
            for (entry in site.entries) {
                eventually("a lookup through ${entry.name}") {
                    caller.post(entry.callersPort, "/v1/services/bookings/lookup", "warm").takeIf {
                        it.statusCode() ==
                            200
                    }
                }
            }
            block(site, service)
        }
    }

    private fun SiteTarget.bookings(body: String): List<String> = ran().filter { it.endsWith(" $body") }

    /** Guards against a second run when a caller sends a finished call again through another entry VM. */
    @Test
    fun `a resend through another entry VM gets the recorded response`() {
        withSite { site, service ->
            val first = caller.post(site.entries[0].callersPort, PATH, "bed-1", "key-1")
            val second = caller.post(site.entries[1].callersPort, PATH, "bed-1", "key-1")
            expectThat(first.statusCode()).isEqualTo(200)
            expectThat(second.statusCode()).isEqualTo(200)
            expectThat(second.body()).isEqualTo(first.body())
            expectThat(service.bookings("bed-1")).hasSize(1)
            expectThat(caller.post(site.entries[1].callersPort, PATH, "bed-2", "key-1").statusCode()).isEqualTo(422)
            expectThat(service.bookings("bed-2")).hasSize(0)
        }
    }

    /** Guards against two runs when a caller sends the same call through both entry VMs at once. */
    @Test
    fun `concurrent resends run once`() {
        withSite { site, service ->
            val pool = Executors.newFixedThreadPool(8)
            repeat(5) { round ->
                val tasks =
                    (0 until 8).map { n ->
                        Callable { caller.post(site.entries[n % 2].callersPort, PATH, "round-$round", "key-$round") }
                    }
                pool.invokeAll(tasks).forEach { it.get() }
                expectThat(service.bookings("round-$round")).hasSize(1)
            }
            pool.shutdownNow()
        }
    }

    /** Guards against a retry after the response of the service was lost. */
    @Test
    fun `a call whose response is lost is reported as unknown and not run again`() {
        withSite { site, service ->
            val call =
                CompletableFuture.supplyAsync {
                    caller.post(site.entries[0].callersPort, "$PATH?delay_ms=2000", "bed-lost", "key-lost")
                }
            awaitThat("the run") { service.bookings("bed-lost").isNotEmpty() }
            service.proxy.resetOpenConnections()
            expectThat(call.get().body()).contains("\"ran\":\"unknown\"")
            val resend = caller.post(site.entries[1].callersPort, "$PATH?delay_ms=2000", "bed-lost", "key-lost")
            expectThat(resend.body()).contains("\"ran\":\"unknown\"")
            expectThat(service.bookings("bed-lost")).hasSize(1)
        }
    }

    /** Guards against a second run when the entry VM crashes while the call runs and the caller resends elsewhere. */
    @Test
    fun `a call whose entry VM crashes is not run again`() {
        withSite { site, service ->
            val call =
                CompletableFuture.supplyAsync {
                    runCatching { caller.post(site.entries[0].callersPort, "$PATH?delay_ms=3000", "bed-vm", "key-vm") }
                }
            awaitThat("the run") { service.bookings("bed-vm").isNotEmpty() }
            site.entries[0].process.kill()
            call.get()
            val resend = caller.post(site.entries[1].callersPort, "$PATH?delay_ms=3000", "bed-vm", "key-vm")
            expectThat(resend.body()).contains("\"ran\":\"unknown\"")
            expectThat(service.bookings("bed-vm")).hasSize(1)
        }
    }

    /** Guards against a claim that is lost when the leader crashes between two sends of a call. */
    @Test
    fun `claims survive the crash of the leader`() {
        withSite { site, service ->
            caller.post(site.entries[0].callersPort, PATH, "bed-leader", "key-leader")
            val leader = site.leader()
            leader.process.kill()
            val resend =
                eventually("a response") {
                    caller.post(site.entries[1].callersPort, PATH, "bed-leader", "key-leader").takeIf {
                        it.statusCode() ==
                            200
                    }
                }
            expectThat(resend.statusCode()).isEqualTo(200)
            expectThat(service.bookings("bed-leader")).hasSize(1)
        }
    }

    /** Guards against "not run" being said of a call that ran when its service crashes. */
    @Test
    fun `a call whose service crashes is unknown and not run again`() {
        withSite { site, service ->
            val response = caller.post(site.entries[0].callersPort, "$PATH?crash", "bed-crash", "key-crash")
            expectThat(response.body()).contains("\"ran\":\"unknown\"")
            service.process.start()
            awaitThat("a lookup after the restart") {
                caller.post(site.entries[1].callersPort, "/v1/services/bookings/lookup", "again").statusCode() == 200
            }
            val resend = caller.post(site.entries[1].callersPort, "$PATH?crash", "bed-crash", "key-crash")
            expectThat(resend.body()).contains("\"ran\":\"unknown\"")
            expectThat(service.bookings("bed-crash")).describedAs("runs after the restart").hasSize(0)
        }
    }
}
