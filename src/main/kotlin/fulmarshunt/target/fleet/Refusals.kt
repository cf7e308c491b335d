/*
 * What an entry VM refuses, decided from what control VMs tell it to refuse and what it knows itself. Confined to the
 * control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint

/**
 * How long a cause that this VM knows to be sound is not refused. In this time, the control VMs learn that it is sound;
 * what they refuse after it, they refuse in spite of that.
 */
private const val OBJECTION_MS = 1_000L

/** Decides which causes are refused. */
public class Refusals(
    /** Returns which of the causes this VM knows to be sound. */
    private val soundAmong: (Set<Fingerprint>) -> Set<Fingerprint>,
) {
    private val toldSinceMs = mutableMapOf<Fingerprint, Long>()

    /** Returns which of the causes that control VMs refuse, [told], are refused now. */
    public fun decide(told: Set<Fingerprint>, nowMs: Long): Set<Fingerprint> {
        toldSinceMs.keys.retainAll(told)
        told.forEach { toldSinceMs.putIfAbsent(it, nowMs) }
        val objections = soundAmong(told).filter { nowMs - toldSinceMs.getValue(it) < OBJECTION_MS }
        return told - objections.toSet()
    }
}
