/*
 * Requests that ran on a target when it crashed. One of them may have caused the crash. Suspects of the same crash are
 * placed at different targets, so that a second crash tells the cause from the others.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint

/** Beyond this number, the suspects of the oldest crashes are forgotten. */
private const val MAX_SUSPECTS = 4_096

/** A suspect that was present at no further crash for this long is cleared. */
private const val SUSPICION_MS = 600_000L

/** A quarantine takes effect at every entry VM within this time after the second crash. */
private const val HOLD_MS = 2_000L

private class Suspicion(val crashes: MutableSet<Int>, var lastCrashMs: Long)

/** The requests that one pool suspects of crashing targets. */
internal class PoisonSuspects {
    private val byFingerprint = object : LinkedHashMap<Fingerprint, Suspicion>() {
        override fun removeEldestEntry(eldest: Map.Entry<Fingerprint, Suspicion>): Boolean = size > MAX_SUSPECTS
    }
    private var crashCount = 0

    /** Requests that were present at several crashes, and until when they are not placed. */
    private val heldUntilMs = LinkedHashMap<Fingerprint, Long>()

    val size: Int get() = byFingerprint.size

    fun recordCrash(running: List<Fingerprint>, nowMs: Long) {
        crashCount++
        for (fingerprint in running) {
            val suspicion = byFingerprint.getOrPut(fingerprint) { Suspicion(mutableSetOf(), nowMs) }
            suspicion.crashes += crashCount
            suspicion.lastCrashMs = nowMs
            if (suspicion.crashes.size > 1) heldUntilMs[fingerprint] = nowMs + HOLD_MS
        }
    }

    /** Returns the time of the last crash at which the request was present, or null if it is no suspect. */
    fun lastCrashMsOrNull(fingerprint: Fingerprint): Long? = byFingerprint[fingerprint]?.lastCrashMs

    /** True while a decision to quarantine the request may not have reached this pool yet. */
    fun isHeld(fingerprint: Fingerprint): Boolean = heldUntilMs.isNotEmpty() && fingerprint in heldUntilMs

    /** Ends the holds that are due. */
    fun releaseHeld(nowMs: Long) {
        if (heldUntilMs.isNotEmpty()) heldUntilMs.values.removeIf { it <= nowMs }
    }

    /** Returns when the next hold ends, or null. */
    fun nextReleaseMsOrNull(): Long? = heldUntilMs.values.minOrNull()

    /** Clears a request that ran to completion without a crash. */
    fun clear(fingerprint: Fingerprint) {
        byFingerprint.remove(fingerprint)
        heldUntilMs.remove(fingerprint)
    }

    fun isSuspect(fingerprint: Fingerprint): Boolean = byFingerprint.isNotEmpty() && fingerprint in byFingerprint

    /** True if both were present at the same crash. */
    fun shareCrash(one: Fingerprint, other: Fingerprint): Boolean {
        val first = byFingerprint[one] ?: return false
        val second = byFingerprint[other] ?: return false
        return first.crashes.any { it in second.crashes }
    }

    fun expire(nowMs: Long) {
        byFingerprint.values.removeIf { nowMs - it.lastCrashMs > SUSPICION_MS }
    }
}
