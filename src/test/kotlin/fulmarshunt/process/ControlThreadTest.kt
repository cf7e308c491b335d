/*
 * Periodic work on the control thread.
 */
package fulmarshunt.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

private const val PERIOD_MS = 10L
private const val TIMEOUT_MS = 5_000L

class ControlThreadTest {
    /** Guards against periodic work that ends without notice after one exception. */
    @Test
    fun `periodic work continues after an exception`(): Unit = runBlocking {
        startControlThread().use { control ->
            val continued = CompletableDeferred<Boolean>()
            var calls = 0
            control.every(PERIOD_MS) {
                calls += 1
                if (calls == 1) throw NoSuchElementException("odd")
                continued.complete(true)
            }
            expectThat(withTimeout(TIMEOUT_MS) { continued.await() }).isTrue()
        }
    }
}
