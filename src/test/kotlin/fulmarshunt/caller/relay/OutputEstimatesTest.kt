/*
 * Estimates of output lengths, simulated with lengths and hints that vary as widely as those of real callers.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.util.Random
import kotlin.math.exp

private const val MAX_TOKENS = 2_200

class OutputEstimatesTest {
    private val random = Random(7)

    private fun tokens() = (700 * exp(0.84 * random.nextGaussian())).toInt().coerceIn(4, MAX_TOKENS)

    private fun hinted(tokens: Int) =
        GenerationHints(3_000, MAX_TOKENS, (tokens * exp(1.2 * random.nextGaussian())).toInt().coerceAtLeast(1))

    /** Guards against memory that is reserved for hints that are several times too high. */
    @Test
    fun `reserved memory is close to what generations use`() {
        val estimates = OutputEstimates()
        var expected = 0L
        var used = 0L
        repeat(2_000) {
            val tokens = tokens()
            val hints = hinted(tokens)
            expected += estimates.expectedTokens("r", hints)
            used += tokens
            estimates.record("r", hints, tokens.toLong())
        }
        expectThat(expected.toDouble() / used).isIn(0.85..1.15)
    }

    /** Guards against estimates that ignore the hints of callers, who know which of their generations are long. */
    @Test
    fun `a higher hint raises the estimate`() {
        val estimates = OutputEstimates()
        val low = estimates.expectedTokens("r", GenerationHints(100, MAX_TOKENS, 50))
        val high = estimates.expectedTokens("r", GenerationHints(100, MAX_TOKENS, 2_000))
        expectThat(high).isGreaterThan(low)
    }

    /** Guards against a route of short generations for which as much memory is reserved as its limit allows. */
    @Test
    fun `the estimate adapts to short generations`() {
        val estimates = OutputEstimates()
        val hints = GenerationHints(100, MAX_TOKENS, null)
        val before = estimates.expectedTokens("r", hints)
        repeat(30) { estimates.record("r", hints, 20) }
        expectThat(estimates.expectedTokens("r", hints)).isLessThan(before / 5)
        expectThat(estimates.expectedTokens("other", hints)).isGreaterThan(before / 2)
    }
}
