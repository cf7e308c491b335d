/*
 * Estimates of output lengths, played with lengths and hints that vary as widely as those of real callers.
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

    /** Guards against memory that is set aside for hints which are several times too high. */
    @Test
    fun `reserved memory is near what generations use`() {
        val estimates = OutputEstimates()
        var expected = 0L
        var used = 0L
        repeat(2_000) {
            val tokens = tokens()
            val facts = hinted(tokens)
            expected += estimates.expectedTokens("r", facts)
            used += tokens
            estimates.note("r", facts, tokens.toLong())
        }
        expectThat(expected.toDouble() / used).isIn(0.85..1.15)
    }

    /** Guards against estimates that ignore the caller, who knows which of its generations are long. */
    @Test
    fun `a higher hint raises the estimate`() {
        val estimates = OutputEstimates()
        val low = estimates.expectedTokens("r", GenerationHints(100, MAX_TOKENS, 50))
        val high = estimates.expectedTokens("r", GenerationHints(100, MAX_TOKENS, 2_000))
        expectThat(high).isGreaterThan(low)
    }

    /** Guards against a route of short generations that reserves as much as its limit allows. */
    @Test
    fun `short generations are learned`() {
        val estimates = OutputEstimates()
        val facts = GenerationHints(100, MAX_TOKENS, null)
        val before = estimates.expectedTokens("r", facts)
        repeat(30) { estimates.note("r", facts, 20) }
        expectThat(estimates.expectedTokens("r", facts)).isLessThan(before / 5)
        expectThat(estimates.expectedTokens("other", facts)).isGreaterThan(before / 2)
    }
}
