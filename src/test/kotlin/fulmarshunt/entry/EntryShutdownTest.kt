/*
 * The shutdown of an entry VM's process whose callers go on sending.
 */
package fulmarshunt.entry

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.caller.http.SendingCaller
import fulmarshunt.caller.http.SentRequests
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.TEST_LIMIT_S
import fulmarshunt.faults.awaitThat
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.io.File
import java.net.Socket

private const val CALLERS = 4
private const val SOCKET_TIMEOUT_MS = 30_000
private const val SHUTDOWN_LIMIT_MS = 20_000L

@Timeout(TEST_LIMIT_S)
class EntryShutdownTest {
    /** Guards against requests that are lost because their callers are not told that the process ends. */
    @Test
    fun `callers that go on sending on open connections lose no request`(@TempDir directory: File) {
        Site(directory, voterCount = 1, entryCount = 2, domains = listOf("suva"), isProxied = false).use { site ->
            site.start().configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutService(Service(ServiceId("bookings"), ServiceKind.PLAIN)),
                PutClientAccount(
                    ClientAccount(ClientAccountId("labs"), sha256Hex("test-key"), maxRequestsPerSecond = 1e6),
                ),
            )
            site.awaitReady()
            site.plainService("s1", "bookings")
            val entry = site.entries.first()
            val client = CallerClient("test-key")
            awaitThat("a response of the service") {
                client.post(entry.callersPort, "/v1/services/bookings/x", "first").statusCode() == 200
            }
            val requests = SentRequests()
            val callers = List(CALLERS) { number ->
                val connect = { Socket("127.0.0.1", entry.callersPort).apply { soTimeout = SOCKET_TIMEOUT_MS } }
                SendingCaller("$number", requests, connect) { _, response ->
                    response.startLine.contains(" 200 ") && response.body.endsWith("}")
                }
            }
            callers.forEach { it.start() }
            awaitThat("responses before the shutdown") { requests.answered.size >= 10 * CALLERS }
            entry.process.terminate()
            callers.forEach { it.join(SHUTDOWN_LIMIT_MS) }
            expectThat(entry.process.exitCode(SHUTDOWN_LIMIT_MS)).isEqualTo(0)
            expectThat(requests.refused).isNotEmpty()
            expectThat(requests.lost.toList()).isEmpty()
        }
    }
}
