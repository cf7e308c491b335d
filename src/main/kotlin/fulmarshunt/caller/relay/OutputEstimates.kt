/*
 * Estimates how many tokens a generation will have. The median of callers' own estimates is right, but single estimates
 * are often far off, so that they are weighted against the lengths of earlier generations of the same route. Confined
 * to the traffic thread.
 */
package fulmarshunt.caller.relay

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt

/** The weight of the caller's estimate; its error is about 1.5 times as wide as the lengths of one route vary. */
private const val HINT_WEIGHT = 0.35

/** The fraction of its maximum length that a generation is expected to have before any of its route has ended. */
private const val INITIAL_FRACTION = 0.4

/** The weight of this expectation as a number of generations. */
private const val INITIAL_WEIGHT = 5.0

/** The newest generation never weighs less than one in this many, so that the estimate follows changes. */
private const val MAX_WEIGHT = 100.0

/** The ratio of mean to median of lengths whose logarithms have a standard deviation of 0.7. */
private const val MEAN_PER_MEDIAN = 1.25

/** The length history of each route, by name. */
internal class OutputEstimates {
    private class History(var meanLogRatio: Double, var weight: Double)

    private val histories = mutableMapOf<String, History>()

    /** Returns the number of tokens that a generation on [route] is expected to have. */
    fun expectedTokens(route: String, hints: GenerationHints): Int {
        if (hints.maxOutputTokens <= 0) return 0
        val typicalLog = ln(hints.maxOutputTokens.toDouble()) + (histories[route]?.meanLogRatio ?: ln(INITIAL_FRACTION))
        val hint = hints.expectedOutputTokens?.takeIf { it > 0 }
        val hintLog = hint?.let { ln(it.toDouble()) } ?: typicalLog
        val medianLog = HINT_WEIGHT * hintLog + (1 - HINT_WEIGHT) * typicalLog
        return (MEAN_PER_MEDIAN * exp(medianLog)).roundToInt().coerceIn(1, hints.maxOutputTokens)
    }

    /** Records that a generation on [route] ended with [tokens]. */
    fun record(route: String, hints: GenerationHints, tokens: Long) {
        if (hints.maxOutputTokens <= 0 || tokens <= 0) return
        val history = histories.getOrPut(route) { History(ln(INITIAL_FRACTION), INITIAL_WEIGHT) }
        history.weight = minOf(history.weight + 1, MAX_WEIGHT)
        history.meanLogRatio += (ln(tokens.toDouble() / hints.maxOutputTokens) - history.meanLogRatio) / history.weight
    }
}
