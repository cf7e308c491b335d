/*
 * Changes of read-only maps that share structure with the original, so that a change of a map with thousands of entries
 * costs a few nodes instead of a copy. A map that was decoded from a message is converted once, at its first change.
 */
package fulmarshunt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/** Returns this map with [value] at [key]; a new key comes last in the iteration order. */
internal fun <K, V> Map<K, V>.putting(key: K, value: V): PersistentMap<K, V> = toPersistentMap().put(key, value)

/** Returns this map without [key]. */
internal fun <K, V> Map<K, V>.removing(key: K): PersistentMap<K, V> = toPersistentMap().remove(key)
