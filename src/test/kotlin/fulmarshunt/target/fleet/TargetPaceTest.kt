/*
 * Tests the limit of a target that has just started or recovered: `t0` of five targets, whose usual load is 16 requests
 * of 32, under the load of 1 to 330 entry VMs.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

private const val SLOW_FOR_MS = 10_000L

/** Three quarters of the usual load; without a limit, the target gets more than the others, because it is idle. */
private const val MOST_AT_ONCE = 12

class TargetPaceTest {
    /** Five times as slow as the others until [SLOW_FOR_MS] after its start. */
    private val recoversSlowly: Answer = { _, sinceMs -> if (sinceMs < SLOW_FOR_MS) 5_000 else 1_000 }
    private val neverAnswers: Answer = { _, _ -> null }

    private fun warmRun(entryVms: Int) = PaceRun(entryVms).also { it.runFor(20_000) }

    private fun onEachSize(check: (Int) -> Unit) = listOf(1, 3, 73, 330).forEach(check)

    /** Guards against a sound target that is left idle. */
    @Test
    fun `a new target that is sound has the load of its peers within 10 s`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        run.restartTarget("t0", sound)
        expectThat(run.timeToReachMs(30_000)).describedAs("$entryVms entry VMs").isLessThan(10_000)
    }

    /** Guards against a flood of a target that is slow after its start, and against a limit that outlasts that time. */
    @Test
    fun `a new target that is slow gets at most 12 requests at once until it is warm`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        run.restartTarget("t0", recoversSlowly)
        expectThat(run.runFor(SLOW_FOR_MS)).describedAs("$entryVms entry VMs").isLessThanOrEqualTo(MOST_AT_ONCE)
        expectThat(run.timeToReachMs(30_000)).describedAs("$entryVms entry VMs").isLessThan(15_000)
    }

    /** Guards against requests that are lost at a target that never recovers. */
    @Test
    fun `a target that never recovers gets at most one request in two seconds`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        run.restartTarget("t0", neverAnswers)
        run.runFor(5_000)
        val fromMs = run.nowMs
        run.runFor(30_000)
        expectThat(run.sentAtMs.count { it >= fromMs }).describedAs("$entryVms entry VMs").isLessThanOrEqualTo(15)
    }

    /** Guards against all requests that come back at once when a pause ends. */
    @Test
    @Tag("known-red")
    fun `a target that is slow after a pause is not flooded`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        run.answers[TargetId("t0")] = { _, sinceMs -> if (sinceMs < 30_000) 5_000 else 1_000 }
        run.pauseTarget("t0", 3_000)
        run.runFor(3_000)
        expectThat(run.runFor(12_000)).describedAs("$entryVms entry VMs").isLessThanOrEqualTo(MOST_AT_ONCE)
        expectThat(run.timeToReachMs(30_000)).describedAs("$entryVms entry VMs").isLessThan(15_000)
    }

    /** Guards against a target that starts again and again, and gets the load of a warm one each time. */
    @Test
    fun `a target that flaps is limited at each start`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        val most = (1..6).maxOf {
            run.restartTarget("t0", recoversSlowly)
            run.runFor(4_000)
        }
        expectThat(most).describedAs("$entryVms entry VMs").isLessThanOrEqualTo(MOST_AT_ONCE)
    }

    /** Guards against a limit that is forgotten with the entry VMs that knew of it. */
    @Test
    fun `the limit holds while entry VMs restart`() {
        val run = warmRun(73)
        run.restartTarget("t0", recoversSlowly)
        val most = (0 until 18).maxOf {
            run.restartVm(it)
            run.runFor(500)
        }
        expectThat(most).isLessThanOrEqualTo(MOST_AT_ONCE)
    }

    /** Guards against entry VMs that each use the whole limit when no control VM tells them of the others. */
    @Test
    fun `the limit holds without contact to control VMs`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        run.restartTarget("t0", recoversSlowly)
        run.runFor(1_000)
        run.isInContact = false
        expectThat(run.runFor(SLOW_FOR_MS - 1_000)).describedAs("$entryVms entry VMs")
            .isLessThanOrEqualTo(MOST_AT_ONCE)
    }

    /** Guards against a deployment that is throttled because all of its targets, or its only one, are new. */
    @Test
    fun `where most targets of a service are new none is limited`() = onEachSize { entryVms ->
        val run = warmRun(entryVms)
        (0..4).forEach { run.restartTarget("t$it", sound) }
        run.runFor(1_000)
        expectThat(run.limitingVms()).describedAs("$entryVms entry VMs").isEqualTo(0)
        val alone = PaceRun(entryVms, targets = 1, requestsPerS = 16.0)
        alone.runFor(15_000)
        alone.restartTarget("t0", sound)
        alone.runFor(1_000)
        expectThat(alone.limitingVms()).describedAs("$entryVms entry VMs").isEqualTo(0)
    }

    /** Guards against more requests for a cold target in a second than it bears (FAILBACK). */
    @Test
    fun `a cold target gets no more than its start limit in any second`() = onEachSize { entryVms ->
        val run = PaceRun(entryVms, coldLimitPerS = 9.5).also { it.runFor(15_000) }
        run.restartTarget("t0", recoversSlowly, coldForMs = SLOW_FOR_MS)
        val fromMs = run.nowMs
        run.runFor(SLOW_FOR_MS)
        val sentAtMs = run.sentAtMs.filter { it >= fromMs }
        val most = sentAtMs.maxOfOrNull { first -> sentAtMs.count { it in first until first + 1_000 } } ?: 0
        expectThat(most.toDouble()).describedAs("$entryVms entry VMs").isLessThanOrEqualTo(9.5)
    }

    /** Guards against a limit that does not fall at the first sign, or falls again by the same signs. */
    @Test
    fun `the limit doubles with quick answers and is halved once by bad signs`() {
        val limit = PaceLimit(PaceCause.NEW, 4.0, 0)
        limit.decide(PaceSigns(1, 10, 0), 4, 1_000)
        expectThat(limit.limit).isEqualTo(8.0)
        limit.decide(PaceSigns(1, 10, 1), 8, 2_000)
        expectThat(limit.limit).describedAs("one failure among many answers").isEqualTo(8.0)
        repeat(2) { limit.decide(PaceSigns(1, 2, 1), 8, 2_100L + it) }
        expectThat(limit.limit).isEqualTo(4.0)
    }
}
