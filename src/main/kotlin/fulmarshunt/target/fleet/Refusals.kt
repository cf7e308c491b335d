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

/**
 * How long the refusals of a control VM that is no longer watched are kept once another one replies. After a restart of
 * all control VMs, it takes the reports of several entry VMs until they know again what to refuse.
 */
private const val KEPT_MS = 6_000L

/** Decides which causes are refused. */
public class Refusals(
    /** Returns which of the causes this VM knows to be sound. */
    private val soundAmong: (Set<Fingerprint>) -> Set<Fingerprint>,
) {
    private val toldSinceMs = mutableMapOf<Fingerprint, Long>()

    /** Refusals of control VMs that are no longer watched, and since when another one has replied, if any has. */
    private val keptSinceMs = mutableMapOf<Fingerprint, Long?>()

    /** Keeps [refused], which a control VM refused that is no longer watched, except what is known to be sound. */
    public fun keep(refused: Set<Fingerprint>) {
        (refused - soundAmong(refused)).forEach { keptSinceMs[it] = null }
    }

    /** Returns which of the causes that any watched control VM refuses, [told], or that are kept, are refused now. */
    public fun decide(told: Set<Fingerprint>, nowMs: Long): Set<Fingerprint> {
        toldSinceMs.keys.retainAll(told)
        told.forEach { toldSinceMs.putIfAbsent(it, nowMs) }
        val objections = soundAmong(told).filter { nowMs - toldSinceMs.getValue(it) < OBJECTION_MS }
        keptSinceMs.replaceAll { _, sinceMs -> sinceMs ?: nowMs }
        keptSinceMs.values.removeIf { sinceMs -> sinceMs != null && nowMs - sinceMs > KEPT_MS }
        return told - objections.toSet() + keptSinceMs.keys
    }
}
