/*
 * The pauses that targets ask for. A target that turns a request away may say for how long it wants no other from this
 * VM. After the pause it gets one request; the others follow when that one has been served, because all entry VMs that
 * were turned away come back at about the same time. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance

/**
 * The longest pause. A target that is overloaded for longer is restarted or replaced, and a wrong value must not take a
 * target out of service for good.
 */
private const val MAX_PAUSE_MS = 300_000L

/** Pauses end later by a random fraction of their length, up to a maximum, so that entry VMs return one by one. */
private const val SPREAD_FRACTION = 0.2
private const val MAX_SPREAD_MS = 1_000L

/** Running generations that may continue at a target during its pause; they would be lost otherwise. */
private const val MAX_CONTINUED_RUNS = 2

/** The pauses of the targets of one entry VM. */
internal class TargetPauses(
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    private class Pause(var untilMs: Long) {
        var continuedRuns = 0

        /** The first request after the pause, while it is being served. */
        var trial: Placement? = null
    }

    private val pauses = mutableMapOf<TargetInstance, Pause>()

    /** Records that [instance] wants no requests for [durationMs], and returns the length of its pause. */
    fun record(instance: TargetInstance, durationMs: Long, nowMs: Long): Long {
        val pauseMs = durationMs.coerceAtMost(MAX_PAUSE_MS)
        val spreadMs = (pauseMs * SPREAD_FRACTION).toLong().coerceAtMost(MAX_SPREAD_MS)
        val untilMs = nowMs + pauseMs + (spreadMs * nextRandom()).toLong()
        val pause = pauses.getOrPut(instance) { Pause(untilMs) }
        if (nowMs >= pause.untilMs) pause.continuedRuns = 0
        // A response to an earlier request may arrive later and ask for less.
        pause.untilMs = maxOf(pause.untilMs, untilMs)
        return pauseMs
    }

    /** Returns whether [instance] may get a request. */
    fun admits(instance: TargetInstance, nowMs: Long): Boolean {
        val pause = pauses[instance] ?: return true
        return nowMs >= pause.untilMs && pause.trial == null
    }

    /** Returns how long [instance] gets no requests because of its pause; 0 if it has none. */
    fun remainingMs(instance: TargetInstance, nowMs: Long): Long =
        ((pauses[instance]?.untilMs ?: 0) - nowMs).coerceAtLeast(0)

    /** Returns whether the first request after a pause of [instance] is being served. */
    fun hasTrial(instance: TargetInstance): Boolean = pauses[instance]?.trial != null

    /** Records that [placement] was made. */
    fun recordPlacement(placement: Placement) {
        pauses[placement.target.instance]?.trial = placement
    }

    /** Records that a target produces output, and returns whether that ends its trial. */
    fun recordOutput(placement: Placement, nowMs: Long): Boolean = endTrial(placement, isServed = true, nowMs)

    /** Records how [placement] ended; after a failed trial, there is another one. */
    fun recordEnd(placement: Placement, outcome: UseOutcome, nowMs: Long) {
        endTrial(placement, outcome == UseOutcome.SUCCEEDED, nowMs)
    }

    /** Ends the trial if it is [placement]; a pause that the target has asked for meanwhile goes on. */
    private fun endTrial(placement: Placement, isServed: Boolean, nowMs: Long): Boolean {
        val pause = pauses[placement.target.instance] ?: return false
        if (pause.trial !== placement) return false
        pause.trial = null
        if (isServed && nowMs >= pause.untilMs) pauses.remove(placement.target.instance)
        return true
    }

    /** Returns whether a running generation may continue at [instance]; only a few may do so during a pause. */
    fun tryContinue(instance: TargetInstance, nowMs: Long): Boolean {
        val pause = pauses[instance] ?: return true
        if (nowMs >= pause.untilMs) return true
        pause.continuedRuns += 1
        return pause.continuedRuns <= MAX_CONTINUED_RUNS
    }

    /** Removes pauses that ended long ago, those of targets that have left included. */
    fun expire(nowMs: Long) {
        pauses.values.removeIf { nowMs - it.untilMs > MAX_PAUSE_MS }
    }
}
