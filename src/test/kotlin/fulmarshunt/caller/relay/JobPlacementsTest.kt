/*
 * When the continuations of runs count towards the budget of repeats.
 */
package fulmarshunt.caller.relay

import fulmarshunt.ServiceId
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.TimedFleet
import fulmarshunt.target.fleet.engines
import fulmarshunt.target.fleet.known
import fulmarshunt.target.fleet.record
import fulmarshunt.target.fleet.request
import fulmarshunt.target.fleet.viewOf
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

private const val WINDOW_MS = 10_000L
private const val ALLOWANCE = 40

/** How long after it was granted a continuation is sent: the run is stopped at its former target first. */
private const val STOP_MS = 1_500L

class JobPlacementsTest {
    private val control = startControlThread()
    private val meters = RelayMeters(SimpleMeterRegistry())
    private val service: ServiceId = engines.id
    private val placement = Placement(request("r"), known(record("a")), TargetUse.NONE)
    private val timed = TimedFleet(limits = RepeatLimits(0.2, ALLOWANCE.toDouble(), WINDOW_MS)).also {
        it.fleet.update(viewOf(placement.target))
        it.nowMs += 3 * WINDOW_MS
    }

    /** Returns the jobs whose runs may continue now. */
    private suspend fun takeContinuations(): List<JobPlacements> =
        List(2 * ALLOWANCE) { JobPlacements(timed.fleet, control, meters) }.filter { it.tryContinue(placement) }

    private suspend fun takeRepeats(): Int = control.run {
        generateSequence { timed.fleet.repeats.tryTake(service) }.takeWhile { it.isTaken }.count()
    }

    @AfterEach
    fun close() {
        control.close()
    }

    /** Guards against continuations that reach a target later than they were counted, with those of a later window. */
    @Test
    fun `a continuation counts in the window in which it is sent`(): Unit = runBlocking {
        val jobs = takeContinuations()
        timed.nowMs += STOP_MS
        jobs.forEach { it.recordContinuation() }
        timed.nowMs += WINDOW_MS - STOP_MS + 1_000
        expectThat(jobs.size + takeRepeats()).isGreaterThan(0).isLessThanOrEqualTo(ALLOWANCE)
    }

    /** Guards against a budget that stays used by requests that ended before their continuation was sent. */
    @Test
    fun `a continuation that is not sent is returned when its request ends`(): Unit = runBlocking {
        val jobs = takeContinuations()
        jobs.forEach { it.endAll() }
        timed.nowMs += WINDOW_MS + 1_000
        expectThat(takeRepeats()).isGreaterThan(ALLOWANCE / 2)
    }
}
