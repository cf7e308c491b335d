/*
 * Forecasts the memory that running requests will need. A request holds its prompt and the tokens produced so far until
 * it ends, so with independent lengths the expected use after t more tokens is the sum over the requests of
 * P(still running after t) * (prompt + produced + t), and its variance is the sum of the requests' variances. The
 * peak over t, plus a risk margin in standard deviations, must fit. Requests decode one token per engine step, which
 * is why the same t applies to all of them.
 */
package fulmarshunt.target

import kotlin.math.sqrt

/** The look-ahead distances in tokens; steps finer than the histogram's buckets would add no information. */
private val HORIZON_TOKENS: IntArray = buildList {
    addAll(listOf(0, 8, 16, 32, 48))
    var octave = 64
    while (octave <= 32_768) {
        add(octave)
        add(octave + octave / 2)
        octave *= 2
    }
}.toIntArray()

/** The expected memory of one request and its variance at each look-ahead distance. */
internal class RequestForecast(val mean: DoubleArray, val variance: DoubleArray)

/** Returns the forecast of a request that has [produced] tokens so far. */
internal fun requestForecast(lengths: OutputLengths, promptTokens: Int, produced: Int): RequestForecast {
    val mean = DoubleArray(HORIZON_TOKENS.size)
    val variance = DoubleArray(HORIZON_TOKENS.size)
    // A request past its output limit is about to end, but its memory still counts now.
    val reached = lengths.survival(produced).coerceAtLeast(MIN_SURVIVAL)
    for (i in HORIZON_TOKENS.indices) {
        val ahead = HORIZON_TOKENS[i]
        val running = if (ahead == 0) 1.0 else (lengths.survival(produced + ahead) / reached).coerceAtMost(1.0)
        if (running == 0.0) break
        val tokens = (promptTokens + produced + ahead).toDouble()
        mean[i] = running * tokens
        variance[i] = running * (1.0 - running) * tokens * tokens
    }
    return RequestForecast(mean, variance)
}

private const val MIN_SURVIVAL = 1e-6

/** The summed forecast of the requests at one target, updated request by request. */
internal class MemoryForecast {
    private val mean = DoubleArray(HORIZON_TOKENS.size)
    private val variance = DoubleArray(HORIZON_TOKENS.size)
    private var requests = 0

    fun add(request: RequestForecast) {
        requests++
        for (i in mean.indices) {
            mean[i] += request.mean[i]
            variance[i] += request.variance[i]
        }
    }

    fun remove(request: RequestForecast) {
        requests--
        for (i in mean.indices) {
            // Rounding errors of many additions must not leave a negative remainder.
            mean[i] = if (requests == 0) 0.0 else (mean[i] - request.mean[i]).coerceAtLeast(0.0)
            variance[i] = if (requests == 0) 0.0 else (variance[i] - request.variance[i]).coerceAtLeast(0.0)
        }
    }

    /** Returns the peak with [added] included and a margin of [riskBound] standard deviations. */
    fun peakTokens(added: RequestForecast?, riskBound: Double): Double {
        var peak = 0.0
        for (i in mean.indices) {
            val m = mean[i] + (added?.mean?.get(i) ?: 0.0)
            val v = variance[i] + (added?.variance?.get(i) ?: 0.0)
            peak = maxOf(peak, m + riskBound * sqrt(v))
        }
        return peak
    }
}
