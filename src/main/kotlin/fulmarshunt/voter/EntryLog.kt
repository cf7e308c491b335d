/*
 * The log entries that a voter holds in memory, as an immutable value. Versions share one growing buffer: each version
 * reads only its own prefix, so that appending copies nothing. A second append to the same version copies the prefix.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term

/** An immutable log of the entries after [base]. */
internal class EntryLog private constructor(
    /** The position before the first entry that is held. */
    val base: LogPosition,
    private val buffer: ArrayList<LogEntry>,
    private val size: Int,
) {
    constructor(base: LogPosition, entries: List<LogEntry> = emptyList()) : this(base, ArrayList(entries), entries.size)

    /** The position of the last entry. */
    val last: LogPosition
        get() = if (size == 0) base else buffer[size - 1].let { LogPosition(it.index, it.term) }

    /** Returns the term of the entry at [index], or null if it is before the base or after the end. */
    fun termAtOrNull(index: LogIndex): Term? = when {
        index == base.index -> base.term
        index < base.index || index > last.index -> null
        else -> buffer[offset(index)].term
    }

    /** Returns a copy of the entries from index [from] to index [to], both included. */
    fun slice(from: LogIndex, to: LogIndex = last.index): List<LogEntry> {
        if (from > to) return emptyList()
        check(from > base.index && to <= last.index) { "entries $from..$to are not in ${base.index}..${last.index}" }
        return ArrayList(buffer.subList(offset(from), offset(to) + 1))
    }

    /** Returns a copy of the entries from index [from] on, up to a total of [limitBytes] but at least one entry. */
    fun batch(from: LogIndex, limitBytes: Int): List<LogEntry> {
        var to = from
        var bytes = buffer[offset(from)].sizeBytes
        while (to < last.index) {
            bytes += buffer[offset(to + 1)].sizeBytes
            if (bytes > limitBytes) break
            to += 1
        }
        return slice(from, to)
    }

    /** Returns the total size of the entries after [from] up to [to]; those before the base are not counted. */
    fun sizeBytesBetween(from: LogIndex, to: LogIndex): Long {
        val first = maxOf(from, base.index) + 1
        return if (first > to) 0 else (offset(first)..offset(to)).sumOf { buffer[it].sizeBytes.toLong() }
    }

    /** Returns the index before the last [count] entries up to [to], or fewer if they are larger than [limitBytes]. */
    fun indexBeforeLast(to: LogIndex, count: Int, limitBytes: Long): LogIndex {
        var index = to
        var bytes = 0L
        while (index > base.index && to.value - index.value < count) {
            bytes += buffer[offset(index)].sizeBytes
            if (bytes > limitBytes) break
            index -= 1
        }
        return index
    }

    /** Returns the log with [entries] after its last entry. */
    fun append(entries: List<LogEntry>): EntryLog {
        if (entries.isEmpty()) return this
        check(entries.first().index == last.index + 1) {
            "entry ${entries.first().index} does not follow ${last.index}"
        }
        val target = if (buffer.size == size) buffer else ArrayList(buffer.subList(0, size))
        target.addAll(entries)
        return EntryLog(base, target, size + entries.size)
    }

    /** Returns the log without the entries after [index]. */
    fun truncatedAfter(index: LogIndex): EntryLog = if (index >=
        last.index
    ) {
        this
    } else {
        EntryLog(base, slice(base.index + 1, index))
    }

    /** Returns the log without the entries up to [index]. */
    fun compactedTo(index: LogIndex): EntryLog {
        if (index <= base.index) return this
        val term = checkNotNull(termAtOrNull(index)) { "entry $index is not in the log" }
        return EntryLog(LogPosition(index, term), slice(index + 1))
    }

    private fun offset(index: LogIndex): Int = (index.value - base.index.value - 1).toInt()
}
