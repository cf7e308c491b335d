/*
 * The turns of one entry VM at targets that take few requests from all entry VMs together: one request in each period.
 * The first turn comes after a random part of a period, so that entry VMs that learn of a limit at the same moment do
 * not use their turns together. Turns that pass unused are not saved up, for example while the VM is stopped. Confined
 * to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId

/** The turns of one entry VM. */
internal class RequestTurns(
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    /** A turn that comes [periods] after [sinceMs]; the length of a period may change meanwhile. */
    private class Turn(var sinceMs: Long, var periods: Double, var validUntilMs: Long)

    private val turns = mutableMapOf<TargetId, Turn>()

    /**
     * Returns the time until the next turn at [target], 0 if it has come.
     *
     * @param periodMs the time from one turn to the next.
     * @param validUntilMs until when turns hold; later ones begin after a random part of a period again.
     */
    fun waitMs(target: TargetId, periodMs: Long, nowMs: Long, validUntilMs: Long = Long.MAX_VALUE): Long {
        val turn = turns[target]?.takeIf { nowMs < it.validUntilMs }
            ?: Turn(nowMs, nextRandom(), validUntilMs).also { turns[target] = it }
        turn.validUntilMs = validUntilMs
        return (turn.sinceMs + (turn.periods * periodMs).toLong() - nowMs).coerceAtLeast(0)
    }

    /** Records that a request is sent to [target], which uses its turn. */
    fun take(target: TargetId, nowMs: Long) {
        turns[target]?.let {
            it.sinceMs = nowMs
            it.periods = 1.0
        }
    }

    /** Forgets the turns at [target]. */
    fun remove(target: TargetId) {
        turns -= target
    }

    /** Forgets the turns at all targets other than [present]. */
    fun retain(present: Set<TargetId>) {
        turns.keys.retainAll(present)
    }
}
