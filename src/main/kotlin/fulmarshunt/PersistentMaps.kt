/*
 * Modified copies of read-only maps that share structure with the original, so that a change of a map with thousands of
 * entries allocates a few nodes instead of a complete copy. A map that was decoded from a message is converted once, at
 * its first change.
 */
package fulmarshunt

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentMap

/** Returns this map with [value] at [key], in no particular order; iteration is as fast as over a hash map. */
internal fun <K, V> Map<K, V>.putting(key: K, value: V): PersistentMap<K, V> = toPersistentHashMap().put(key, value)

/** Returns this map without [key], in no particular order. */
internal fun <K, V> Map<K, V>.removing(key: K): PersistentMap<K, V> = toPersistentHashMap().remove(key)

/** Returns this map with [value] at [key], where a new key is placed last; iteration looks up each key. */
internal fun <K, V> Map<K, V>.appending(key: K, value: V): PersistentMap<K, V> = toPersistentMap().put(key, value)

/** Returns this map without [key]; the order of the other keys is preserved. */
internal fun <K, V> Map<K, V>.dropping(key: K): PersistentMap<K, V> = toPersistentMap().remove(key)
