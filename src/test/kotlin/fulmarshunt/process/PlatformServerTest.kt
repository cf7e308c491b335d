/*
 * The platform server over loopback HTTP.
 */
package fulmarshunt.process

import fulmarshunt.Address
import fulmarshunt.process.http.startPlatformServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

class PlatformServerTest {
    private val loopback = Address("127.0.0.1", 0)

    /** Guards against a load balancer that keeps sending traffic to a process that is not ready. */
    @Test
    fun `readyz returns the result of the function and metrics are in the Prometheus format`(): Unit = runBlocking {
        var reason: String? = "no lease"
        startPlatformServer(loopback, processMetrics()) { reason }.getOrNull()!!.use { server ->
            val client = HttpClient.newHttpClient()
            val get = { path: String ->
                val request = HttpRequest.newBuilder(URI("http://${server.address}$path")).build()
                client.send(request, HttpResponse.BodyHandlers.ofString())
            }
            expectThat(get("/livez").statusCode()).isEqualTo(200)
            expectThat(get("/readyz")) {
                get { statusCode() }.isEqualTo(503)
                get { body() }.contains("no lease")
            }
            reason = null
            expectThat(get("/readyz").statusCode()).isEqualTo(200)
            expectThat(get("/metrics")) {
                get { headers().firstValue("content-type").get() }.startsWith("text/plain; version=0.0.4")
                get { body() }.contains("jvm_memory_used_bytes{").contains("jvm_threads_live_threads")
            }
        }
    }

    /** Guards against a second process on the same port that fails with an exception. */
    @Test
    fun `an address in use is an error value`(): Unit = runBlocking {
        startPlatformServer(loopback, processMetrics()) { null }.getOrNull()!!.use { first ->
            val second = startPlatformServer(first.address, processMetrics()) { null }
            expectThat(second.leftOrNull()!!).startsWith("cannot listen at ${first.address}: Address already in use")
        }
    }
}
