/*
 * Requests that ran on a target when it crashed. One of them may have caused the crash. Suspects of the same crash are
 * placed at different targets, so that a second crash tells the cause from the others.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint

/** Beyond this number, the suspects of the oldest deaths are forgotten. */
private const val MAX_SUSPECTS = 4_096

/** A suspect that caused no second death for this long is cleared. */
private const val SUSPICION_MS = 600_000L

/** A quarantine takes effect everywhere within this time after the second death. */
private const val HOLD_MS = 2_000L

private class Suspicion(val deaths: MutableSet<Int>, var sinceMs: Long)

/** The suspects that one pool knows. */
internal class PoisonSuspects {
    private val byFingerprint = object : LinkedHashMap<Fingerprint, Suspicion>() {
        override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, Suspicion>): Boolean = size > MAX_SUSPECTS
    }
    private var deaths = 0

    /** Requests that were present at several deaths, and until when they are not placed. */
    private val held = LinkedHashMap<Fingerprint, Long>()

    val size: Int get() = byFingerprint.size

    fun recordCrash(running: List<Fingerprint>, nowMs: Long) {
        deaths++
        for (fingerprint in running) {
            val suspicion = byFingerprint.getOrPut(fingerprint) { Suspicion(mutableSetOf(), nowMs) }
            suspicion.deaths += deaths
            suspicion.sinceMs = nowMs
            if (suspicion.deaths.size > 1) held[fingerprint] = nowMs + HOLD_MS
        }
    }

    /** Returns when the request was present at a death last, or null if it is no suspect. */
    fun lastCrashMsOrNull(fingerprint: Fingerprint): Long? = byFingerprint[fingerprint]?.sinceMs

    /** True while a decision about the request's quarantine may still be on its way. */
    fun isHeld(fingerprint: Fingerprint): Boolean = held.isNotEmpty() && fingerprint in held

    /** Ends the holds that are due. */
    fun releaseHeld(nowMs: Long) {
        if (held.isNotEmpty()) held.values.removeIf { it <= nowMs }
    }

    /** Returns when the next hold ends, or null. */
    fun nextReleaseMsOrNull(): Long? = held.values.minOrNull()

    /** Clears a request that ran to its end. */
    fun clear(fingerprint: Fingerprint) {
        byFingerprint.remove(fingerprint)
        held.remove(fingerprint)
    }

    fun isSuspect(fingerprint: Fingerprint): Boolean = byFingerprint.isNotEmpty() && fingerprint in byFingerprint

    /** True if both were present at the same death. */
    fun shareCrash(one: Fingerprint, other: Fingerprint): Boolean {
        val first = byFingerprint[one] ?: return false
        val second = byFingerprint[other] ?: return false
        return first.deaths.any { it in second.deaths }
    }

    fun expire(nowMs: Long) {
        byFingerprint.values.removeIf { nowMs - it.sinceMs > SUSPICION_MS }
    }
}
