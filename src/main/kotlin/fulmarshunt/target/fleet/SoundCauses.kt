/*
 * The possible causes of crashes that this entry VM has seen in runs without a crash. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint

/** Beyond this number, the causes that were not seen for longest are forgotten. */
private const val MAX_CAUSES = 4_096

/** Remembers when a run last showed that a cause is sound. */
public class SoundCauses {
    private val soundAtMs = object : LinkedHashMap<Fingerprint, Long>(16, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, Long>): Boolean = size > MAX_CAUSES
    }

    /** Records that a run has shown all [causes] to be sound. */
    public fun record(causes: Set<Fingerprint>, nowMs: Long) {
        causes.forEach { soundAtMs[it] = nowMs }
    }

    /** Returns which of [causes] are sound, with the time since a run last showed it. */
    public fun agesMs(causes: Set<Fingerprint>, nowMs: Long): Map<Fingerprint, Long> = buildMap {
        for (cause in causes) {
            val ageMs = nowMs - (soundAtMs[cause] ?: continue)
            if (ageMs <= CRASH_RETENTION_MS) put(cause, ageMs)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
