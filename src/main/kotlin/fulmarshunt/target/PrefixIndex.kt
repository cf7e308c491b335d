/*
 * An approximate index of the prompt prefixes that one target has cached. Events arrive late and may be lost, so an
 * entry is not certain: after a gap, all earlier entries count with less confidence.
 */
package fulmarshunt.target

/** The least recently stored or matched prefixes are forgotten beyond this number. */
private const val MAX_PREFIXES = 16_384

/** The remaining confidence in entries that were stored before a gap. */
private const val CONFIDENCE_AFTER_GAP = 0.5

/** The prefixes that one target is believed to have cached. */
internal class PrefixIndex {
    /** For each prefix, the number of gaps before it was stored. */
    private val gapsAtStore = object : LinkedHashMap<Long, Int>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Int>): Boolean = size > MAX_PREFIXES
    }
    private var gaps = 0
    private var nextSequence = -1L

    val size: Int get() = gapsAtStore.size

    /** Applies [events]; repeated ones are skipped. */
    fun apply(events: List<CacheEvent>) {
        for (event in events) {
            if (event.sequence < nextSequence) continue
            if (nextSequence >= 0 && event.sequence > nextSequence) gaps++
            nextSequence = event.sequence + 1
            when (event.operation) {
                CacheOperation.STORED -> gapsAtStore[event.prefixHash] = gaps
                CacheOperation.REMOVED -> gapsAtStore.remove(event.prefixHash)
            }
        }
    }

    /** Records prefixes that the target is about to store because of a request sent to it. */
    fun recordExpected(prefixHashes: List<Long>) {
        for (hash in prefixHashes) gapsAtStore[hash] = gaps
    }

    /**
     * Returns the share of [prefixHashes], shortest first, that the target is expected to have cached.
     *
     * The hashes are assumed to divide the prompt evenly.
     */
    fun affinity(prefixHashes: List<Long>): Double {
        if (gapsAtStore.isEmpty()) return 0.0
        var matched = 0.0
        for (hash in prefixHashes) {
            val stored = gapsAtStore[hash] ?: break
            matched += confidence(gaps - stored)
        }
        return if (matched == 0.0) 0.0 else matched / prefixHashes.size
    }

    private fun confidence(gapsSince: Int): Double {
        var confidence = 1.0
        repeat(minOf(gapsSince, 8)) { confidence *= CONFIDENCE_AFTER_GAP }
        return confidence
    }
}
