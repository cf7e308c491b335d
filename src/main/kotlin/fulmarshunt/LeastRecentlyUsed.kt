/*
 * A map with a bounded number of entries, for what is learned about names that come and go.
 */
package fulmarshunt

private const val LOAD_FACTOR = 0.75f

/** Returns a map that keeps the [maxEntries] entries that were read or written last. */
internal fun <K, V> leastRecentlyUsedMap(maxEntries: Int): MutableMap<K, V> =
    object : LinkedHashMap<K, V>(0, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > maxEntries
    }
