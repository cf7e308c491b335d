/*
 * A bounded histogram of output lengths. Buckets grow with the length, four for each power of two, and old samples
 * lose weight with each new one, so that a change in a client account's requests shows after a few hundred of them.
 */
package fulmarshunt.target

/** The lower bounds of the buckets: exact below 8 tokens, then four for each power of two. */
private val LOWER_BOUNDS: IntArray = buildList {
    addAll(0 until 8)
    var octave = 8
    while (octave < MAX_LENGTH_TOKENS) {
        for (quarter in 0 until 4) add(octave + quarter * octave / 4)
        octave *= 2
    }
    add(MAX_LENGTH_TOKENS)
}.toIntArray()

/** Longer outputs count as this long. */
private const val MAX_LENGTH_TOKENS = 131_072

/** Returns the bucket of a length. */
private fun bucketOf(tokens: Int): Int {
    val found = LOWER_BOUNDS.binarySearch(tokens)
    return if (found >= 0) found else -found - 2
}

/**
 * Output lengths whose weights decay.
 *
 * @param decay the factor that every new sample applies to the weight of the earlier ones.
 */
internal class LengthHistogram(private val decay: Double) {
    private val weights = DoubleArray(LOWER_BOUNDS.size)

    /** `cumulative[i]` is the weight in the buckets from `i` on. */
    private val cumulative = DoubleArray(LOWER_BOUNDS.size + 1)

    /** The weight of all samples. */
    val weight: Double get() = cumulative[0]

    /** Adds a sample. */
    fun record(tokens: Int) {
        val bucket = bucketOf(tokens.coerceIn(0, MAX_LENGTH_TOKENS))
        for (i in weights.indices.reversed()) {
            weights[i] = weights[i] * decay + if (i == bucket) 1.0 else 0.0
            cumulative[i] = cumulative[i + 1] + weights[i]
        }
    }

    /** Returns the weight of the samples of at least [tokens], interpolated within a bucket. */
    fun weightFrom(tokens: Int): Double {
        if (tokens >= MAX_LENGTH_TOKENS) return 0.0
        val bucket = bucketOf(tokens)
        val lower = LOWER_BOUNDS[bucket]
        val width = LOWER_BOUNDS[bucket + 1] - lower
        return cumulative[bucket + 1] + weights[bucket] * (lower + width - tokens) / width
    }
}
