/*
 * Estimates how many tokens a generation will have. Callers' own estimates are right at the median and often far off,
 * so that they are weighed against what the generations of the same route had before. Confined to the traffic thread.
 */
package fulmarshunt.caller.relay

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt

/** The weight of the caller's estimate; its error is about 1.5 times as wide as the lengths of one route vary. */
private const val HINT_WEIGHT = 0.35

/** The part of its greatest length that a generation is expected to have before any of its route has ended. */
private const val FIRST_PART = 0.4

/** The weight of this expectation, in generations. */
private const val FIRST_WEIGHT = 5.0

/** The weight of the newest generation is never less than one in this many, so that changes show. */
private const val MAX_WEIGHT = 100.0

/** The mean of lengths whose logarithms spread by 0.7 around the median, as a multiple of the median. */
private const val MEAN_OF_MEDIAN = 1.25

/** The generations of each route, by name. */
internal class OutputEstimates {
    private class History(var meanLogPart: Double, var weight: Double)

    private val histories = mutableMapOf<String, History>()

    /** Returns the tokens that a generation on [route] is expected to have. */
    fun expectedTokens(route: String, facts: GenerationHints): Int {
        if (facts.maxOutputTokens <= 0) return 0
        val typicalLog = ln(facts.maxOutputTokens.toDouble()) + (histories[route]?.meanLogPart ?: ln(FIRST_PART))
        val hint = facts.expectedOutputTokens?.takeIf { it > 0 }
        val hintLog = hint?.let { ln(it.toDouble()) } ?: typicalLog
        val medianLog = HINT_WEIGHT * hintLog + (1 - HINT_WEIGHT) * typicalLog
        return (MEAN_OF_MEDIAN * exp(medianLog)).roundToInt().coerceIn(1, facts.maxOutputTokens)
    }

    /** Notes that a generation on [route] ended with [tokens]. */
    fun note(route: String, facts: GenerationHints, tokens: Long) {
        if (facts.maxOutputTokens <= 0 || tokens <= 0) return
        val history = histories.getOrPut(route) { History(ln(FIRST_PART), FIRST_WEIGHT) }
        history.weight = minOf(history.weight + 1, MAX_WEIGHT)
        history.meanLogPart += (ln(tokens.toDouble() / facts.maxOutputTokens) - history.meanLogPart) / history.weight
    }
}
