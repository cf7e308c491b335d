/*
 * The pauses that targets ask for while requests that were sent earlier are still at them.
 */
package fulmarshunt.target.fleet

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isNotNull
import strikt.assertions.isNull

private const val FIRST_PAUSE_MS = 1_000L
private const val SECOND_PAUSE_MS = 5_000L

/** Longer than the spread of a pause. */
private const val SPREAD_MS = 1_000L

class TargetPausesTest {
    private val target = known(record("a"))
    private val timed = TimedFleet().also { it.fleet.update(viewOf(target)) }

    private fun placeOrNull(name: String): Placement? = runBlocking {
        (timed.fleet.place(request(name), 0) as? PlacementResult.Placed)?.placement
    }

    /** Pauses the target, lets its trial begin, and has it refuse a request that was placed before. */
    private fun pauseDuringTrial(): Placement {
        timed.fleet.recordPause(target, FIRST_PAUSE_MS)
        timed.nowMs += FIRST_PAUSE_MS + SPREAD_MS
        val trial = expectThat(placeOrNull("trial")).isNotNull().subject
        timed.fleet.recordPause(target, SECOND_PAUSE_MS)
        return trial
    }

    private fun expectPauseIsKept() {
        timed.nowMs += SECOND_PAUSE_MS - 1
        expectThat(placeOrNull("early")).isNull()
        timed.nowMs += 1 + SPREAD_MS
        expectThat(placeOrNull("late")).isNotNull().isA<Placement>()
    }

    /** Guards against requests to a target that has asked for another pause while its first request was served. */
    @Test
    fun `a pause that a target asks for during a trial outlasts the success of the trial`() {
        timed.fleet.end(pauseDuringTrial(), UseOutcome.SUCCEEDED)
        expectPauseIsKept()
    }

    /** Guards against the same when the first request is a generation, which goes on beyond the pause. */
    @Test
    fun `a pause that a target asks for during a trial outlasts the output of the trial`() {
        timed.fleet.started(pauseDuringTrial())
        expectPauseIsKept()
    }
}
