/*
 * The latest changes of the shared state, with which entry VMs that are slightly behind catch up.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.entry.Configured
import fulmarshunt.entry.IndexedChanges

/** The number of log entries whose changes are kept. */
internal const val MAX_RECENT_ENTRIES: Int = 4_096

/** The maximum number of single changes in one message, so that it fits into a link frame. */
internal const val MAX_CHANGES_PER_MESSAGE: Int = 4_096

/** Holds the changes of the last [MAX_RECENT_ENTRIES] entries with changes; confined to the control thread. */
internal class RecentChanges {
    private val entries = ArrayDeque<IndexedChanges>()
    private var coveredAfter = LogIndex(0)

    fun add(changes: IndexedChanges) {
        entries.addLast(changes)
        if (entries.size > MAX_RECENT_ENTRIES) coveredAfter = entries.removeFirst().index
    }

    /** Removes all changes, because the state at [index] was restored from a snapshot. */
    fun reset(index: LogIndex) {
        entries.clear()
        coveredAfter = index
    }

    /** Returns the changes after [index], or null if they are no longer held or too many for one message. */
    fun afterOrNull(index: LogIndex): List<IndexedChanges>? {
        if (index < coveredAfter) return null
        val first = entries.binarySearchBy(index.value + 1) { it.index.value }.let { if (it < 0) -it - 1 else it }
        val missing = entries.subList(first, entries.size).toList()
        return missing.takeIf { list -> list.sumOf { weight(it) } <= MAX_CHANGES_PER_MESSAGE }
    }

    private fun weight(indexed: IndexedChanges): Int =
        indexed.changes.sumOf { if (it is Configured) it.changes.size else 1 }
}
