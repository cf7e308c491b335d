/*
 * What counts towards the budget of repeats: restarts, continued runs, and repeats that wait before they are sent.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

private const val WINDOW_MS = 10_000L
private const val ALLOWANCE = 40.0

/** The longest time from sending a repeat to its arrival that the budget allows for. */
private const val ARRIVAL_DELAY_MS = 1_000L

/** How long after a start the other entry VMs may not count the new one. */
private const val UNCOUNTED_MS = 4_000L

class RepeatBudgetTest {
    private val limits = RepeatLimits(0.2, ALLOWANCE, WINDOW_MS)
    private val service = engines.id

    /** Returns the fleet of one of [entryVms], which has run for [runningMs] and has [requests] in the window. */
    private fun fleetOf(entryVms: Int, runningMs: Long, requests: Int = 0) = TimedFleet(limits = limits).also { timed ->
        timed.nowMs += runningMs
        timed.fleet.update(viewOf(target).copy(entryVms = entryVms))
        repeat(requests) { timed.fleet.repeats.recordRequest(service) }
    }

    private val target = known(record("a"))

    private fun TimedFleet.reserveAll(): Int =
        generateSequence { fleet.repeats.tryTake(service) }.takeWhile { it.isTaken }.count()

    private fun TimedFleet.takeAll(): Int = reserveAll().also { taken ->
        repeat(taken) { fleet.repeats.recordSent(service) }
    }

    /** Guards against an allowance that a process uses once more after each of several restarts within one window. */
    @Test
    fun `restarts within a window give no further allowance`() {
        val taken = fleetOf(1, 2 * WINDOW_MS).takeAll() + (1..4).sumOf { fleetOf(1, 1_000L).takeAll() }
        expectThat(taken).isGreaterThan(0).isLessThanOrEqualTo(ALLOWANCE.toInt())
    }

    /** Guards against a process that never uses its allowance. */
    @Test
    fun `the allowance is used one window after the other entry VMs count the process`() {
        expectThat(fleetOf(1, UNCOUNTED_MS + WINDOW_MS - 1).takeAll()).isEqualTo(0)
        expectThat(fleetOf(1, UNCOUNTED_MS + WINDOW_MS).takeAll()).isGreaterThan(0)
    }

    /** Guards against streams that all continue elsewhere when their targets leave, on top of other repeats. */
    @Test
    fun `continued runs and repeats of all entry VMs together keep the budget`() {
        val entryVms = 8
        val requests = 25
        val arrivals = List(entryVms) { fleetOf(entryVms, 2 * WINDOW_MS, requests) }.sumOf { timed ->
            (1..20).count { timed.fleet.tryContinue(target) } + timed.takeAll()
        }
        expectThat(arrivals.toDouble()).isLessThanOrEqualTo(limits.ratio * entryVms * requests + ALLOWANCE)
    }

    /** Guards against lost streams that end because repeats of requests have used the budget. */
    @Test
    fun `a first continuation is allowed when ordinary repeats are not, and a later one is not`() {
        val timed = fleetOf(1, 2 * WINDOW_MS)
        timed.takeAll()
        expectThat(timed.fleet.tryContinue(target, isFirst = false)).isFalse()
        expectThat(timed.fleet.tryContinue(target)).isTrue()
    }

    /** Guards against repeats that waited for a target, and reach it together with those of a later window. */
    @Test
    fun `a repeat counts in the window in which it is sent`() {
        val timed = fleetOf(1, 2 * WINDOW_MS)
        val waiting = timed.reserveAll()
        timed.nowMs += WINDOW_MS + 1
        repeat(waiting) { timed.fleet.repeats.recordSent(service) }
        expectThat(waiting + timed.takeAll()).isGreaterThan(0).isLessThanOrEqualTo(ALLOWANCE.toInt())
    }

    /** Guards against a budget that stays used by requests that ended before their repeat was sent. */
    @Test
    fun `a repeat that is not sent is returned`() {
        val timed = fleetOf(1, 2 * WINDOW_MS)
        val taken = timed.reserveAll()
        repeat(taken) { timed.fleet.repeats.release(service) }
        expectThat(timed.takeAll()).isEqualTo(taken)
    }

    /** Guards against repeats that are late on the way, and arrive together with those of the next window. */
    @Test
    fun `repeats that arrive late and those of the next window keep the budget`() {
        val timed = fleetOf(1, 2 * WINDOW_MS)
        val late = timed.takeAll()
        timed.nowMs += WINDOW_MS + ARRIVAL_DELAY_MS - 1
        expectThat(late + timed.takeAll()).isGreaterThan(0).isLessThanOrEqualTo(ALLOWANCE.toInt())
    }

    /** Guards against entry VMs that are added, and use their part while the others have just used larger ones. */
    @Test
    fun `added entry VMs and those that did not count them yet keep the budget`() {
        val former = 2
        val added = 8
        val taken = List(former) { fleetOf(former, 2 * WINDOW_MS).takeAll() }.sum()
        fun takenByAdded(runningMs: Long) = List(added) { fleetOf(former + added, runningMs).takeAll() }.sum()
        expectThat(taken + takenByAdded(UNCOUNTED_MS + WINDOW_MS - 1)).isLessThanOrEqualTo(ALLOWANCE.toInt())
        expectThat(takenByAdded(UNCOUNTED_MS + WINDOW_MS)).isGreaterThan(0)
    }
}
