/*
 * The relay with targets whose responses belong to another request, to an earlier attempt of the same one, or to none.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

class FaultyTargetTest {
    private fun RelayFixture.callStatus(path: String): String? =
        call(path)?.startLine?.substringAfter(' ')?.substringBefore(' ')

    /** Writes [status] with [headers], without the id of a request. */
    private fun ScriptedTarget.RequestScope.respondWithoutId(status: String, vararg headers: String) =
        write("HTTP/1.1 $status\r\n" + headers.joinToString("") { "$it\r\n" } + "content-length: 0\r\n\r\n")

    /** Guards against a caller that is told "not run" because a target wrote an earlier refusal once more. */
    @Test
    fun `a refusal without an id on a kept connection belongs to no request`() {
        val refusals = listOf("503 Service Unavailable", "429 Too Many Requests", "400 Bad Request")
        for (refusal in refusals) {
            val target = ScriptedTarget("a") {
                if (number == 2) respondWithoutId(refusal, "not-run: 1")
                respond("200 OK", "ran")
            }
            target.use {
                RelayFixture(target).use { relay ->
                    expectThat(relay.callStatus("/once/x")).isEqualTo("200")
                    expectThat(relay.callStatus("/once/x")).describedAs(refusal).isEqualTo("502")
                    expectThat(target.requests).hasSize(2)
                }
            }
        }
    }

    /** Guards against a request that runs at a second target because a status without an id was trusted. */
    @Test
    fun `a misdirection without an id is not trusted`() {
        val serve: ScriptedTarget.RequestScope.() -> Unit = { respondWithoutId("421 Misdirected Request") }
        ScriptedTarget("a", serve).use { a ->
            ScriptedTarget("b", serve).use { b ->
                RelayFixture(a, b).use { relay ->
                    expectThat(relay.callStatus("/once/x")).isEqualTo("502")
                    expectThat(a.requests + b.requests).hasSize(1)
                }
            }
        }
    }

    /** Guards against a failure that is forwarded although it belongs to no request. */
    @Test
    fun `a failure without an id is not forwarded`() {
        val target = ScriptedTarget("a") {
            respondWithoutId("500 Internal Server Error", "stamp: 1")
            respond("200 OK", "ran")
        }
        target.use {
            RelayFixture(target).use { relay ->
                val response = checkNotNull(relay.call("/once/x"))
                expectThat(response.startLine).contains(" 502 ")
                expectThat(response.header("stamp")).isEqualTo(null)
            }
        }
    }

    /** Guards against a refusal that is taken for the response to a later request on the same connection. */
    @Test
    fun `a connection on which a refusal was read is not used again`() {
        val sockets = ConcurrentHashMap.newKeySet<Socket>()
        val target = ScriptedTarget("a") {
            sockets += socket
            respond("503 Service Unavailable", "full", "not-run: 1")
            respond("503 Service Unavailable", "full", "not-run: 1")
        }
        target.use {
            RelayFixture(target).use { relay ->
                repeat(3) { expectThat(relay.callStatus("/once/x")).isEqualTo("503") }
                expectThat(sockets).hasSize(target.requests.size)
            }
        }
    }
}
