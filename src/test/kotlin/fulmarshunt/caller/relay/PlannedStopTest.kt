/*
 * The decision whether a request is accepted shortly before the process ends.
 */
package fulmarshunt.caller.relay

import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

class PlannedStopTest {
    private val route =
        Route("r", "h", "/r/", Repeatability.STREAM, 39_000, 1_800, 180, 0, emptyList(), 1, true, false)

    /** Guards against requests that are cut off, and against refusing those that end in time. */
    @Test
    fun `a request is accepted if it ends in time by its timeout or by the usual duration`() {
        expectThat(endsWithin(remainingMs = 2_000, timeoutMs = 1_500, usualMs = null)).isTrue()
        expectThat(endsWithin(remainingMs = 2_000, timeoutMs = 6_000, usualMs = 1_000)).isTrue()
        expectThat(endsWithin(remainingMs = 2_000, timeoutMs = 6_000, usualMs = 3_000)).isFalse()
        expectThat(endsWithin(remainingMs = 2_000, timeoutMs = 39_000, usualMs = null)).isFalse()
        expectThat(endsWithin(remainingMs = -1, timeoutMs = 0, usualMs = null)).isFalse()
    }

    /** Guards against an estimate that long requests exceed often, and against one that nothing ever fits. */
    @Test
    fun `few durations exceed the estimated bound`() {
        val estimates = DurationEstimates()
        expectThat(estimates.upperBoundMsOrNull(route)).isNull()
        val random = Random(1).asJavaRandom()
        var exceeded = 0
        repeat(REQUESTS) {
            val durationMs = (8_000 * exp(0.5 * random.nextGaussian())).toLong()
            if (durationMs > (estimates.upperBoundMsOrNull(route) ?: Long.MAX_VALUE)) exceeded += 1
            estimates.record(route, durationMs)
        }
        expectThat(exceeded).isLessThan(REQUESTS / 20)
        expectThat(estimates.upperBoundMsOrNull(route)).isNotNull().isGreaterThan(8_000).isLessThan(60_000)
    }

    private companion object {
        const val REQUESTS = 1_000
    }
}
