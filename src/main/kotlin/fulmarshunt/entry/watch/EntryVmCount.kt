/*
 * The number of entry VMs that share the limits which apply to all of them together. With too low a number each of them
 * would use too much, so the highest recent count is used. Confined to the control thread.
 */
package fulmarshunt.entry.watch

import fulmarshunt.target.fleet.PLANNED_ENTRY_VMS

/**
 * How long an entry VM is counted after its last watch, and a count is used after its last report. An entry VM that is
 * cut off serves on with its share, so this is longer than the cuts that a deployment is expected to have.
 */
internal const val ENTRY_VM_RETENTION_MS: Long = 600_000

/**
 * The time from the first complete count to its use. Until the longest watch of the other entry VMs and a refresh
 * between control VMs have passed, the others may not count this VM.
 */
private const val SETTLING_MS = 3_000L

/** The counts of entry VMs that control VMs have reported to one entry VM. */
internal class EntryVmCount {
    private val reportedAtMs = mutableMapOf<Int, Long>()
    private var usableFromMs: Long? = null

    /** Receives [count], which [isComplete] if the control VM has heard from all entry VMs that are in contact. */
    fun receive(count: Int, isComplete: Boolean, nowMs: Long) {
        if (isComplete && usableFromMs == null) usableFromMs = nowMs + SETTLING_MS
        reportedAtMs[count.coerceAtLeast(1)] = nowMs
        reportedAtMs.values.removeIf { nowMs - it > ENTRY_VM_RETENTION_MS }
    }

    /** Returns the number by which limits are divided at [nowMs]. */
    fun at(nowMs: Long): Int {
        val isKnown = usableFromMs?.let { nowMs >= it } ?: false
        return if (isKnown) reportedAtMs.keys.max() else PLANNED_ENTRY_VMS
    }
}
