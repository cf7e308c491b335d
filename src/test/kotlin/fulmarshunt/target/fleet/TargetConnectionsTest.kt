/*
 * Connections to addresses that cannot be used.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Address
import fulmarshunt.http.Traffic
import fulmarshunt.monotonicClock
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

class TargetConnectionsTest {
    /** Guards against an exception in place of a failed attempt, and against a lookup that blocks the event loop. */
    @Test
    fun `an address that is no number and port is a failed attempt`(): Unit = runBlocking {
        Traffic().use { traffic ->
            val connections = TargetConnections(traffic, monotonicClock())
            val addresses = listOf(
                Address("127.0.0.1", 65_536),
                Address("127.0.0.1", -1),
                Address("127.0.0.1", 0),
                Address("localhost", 80),
                Address("", 80),
            )
            for (address in addresses) {
                val result = withContext(traffic.scope.coroutineContext) { connections.open(address, false) }
                expectThat(result.isLeft()).describedAs("$address failed").isTrue()
            }
        }
    }
}
