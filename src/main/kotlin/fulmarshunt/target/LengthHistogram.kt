/*
 * A bounded histogram of output lengths. Buckets grow with the length, four for each power of two, and old samples
 * lose weight with each new one, so that a change of a client account's habits shows after a few hundred requests.
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

/** Longer outputs are counted as this long. */
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

    /** `above[i]` is the weight in the buckets from `i` on. */
    private val above = DoubleArray(LOWER_BOUNDS.size + 1)

    /** The weight of all samples. */
    val weight: Double get() = above[0]

    fun record(tokens: Int) {
        val bucket = bucketOf(tokens.coerceIn(0, MAX_LENGTH_TOKENS))
        for (i in weights.indices.reversed()) {
            weights[i] = weights[i] * decay + if (i == bucket) 1.0 else 0.0
            above[i] = above[i + 1] + weights[i]
        }
    }

    /** Returns the weight of the samples of at least [tokens], interpolated within a bucket. */
    fun weightFrom(tokens: Int): Double {
        if (tokens >= MAX_LENGTH_TOKENS) return 0.0
        val bucket = bucketOf(tokens)
        val lower = LOWER_BOUNDS[bucket]
        val width = LOWER_BOUNDS[bucket + 1] - lower
        return above[bucket + 1] + weights[bucket] * (lower + width - tokens) / width
    }
}
