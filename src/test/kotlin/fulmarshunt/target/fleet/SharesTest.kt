/*
 * Tests the shares of limits that apply to all entry VMs together, and the counting of crashes.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** The time between two requests of an entry VM in the simulation of a named limit. */
private const val STEP_MS = 100L

class SharesTest {
    private val target = TargetId("t")

    /** Guards against an overload of a cold target because every entry VM uses its full limit. */
    @Test
    fun `all entry VMs together stay within the limit of a cold target`() {
        for (entryVms in listOf(1, 3, 9, 20)) {
            val sent = (1..entryVms).sumOf {
                val limiter = ColdStartLimiter { 0.0 }
                (0L until 1_000L).count { nowMs ->
                    limiter.hasRoom(target, 51.5, entryVms, nowMs, 1_000).also { if (it) limiter.record(target, nowMs) }
                }
            }
            expectThat(sent).isLessThanOrEqualTo(51)
        }
    }

    /**
     * Guards against an overload of a cold target because each of many entry VMs sends it at least one request, at the
     * moment at which it becomes cold or later. The load is the worst: every entry VM has a request at any time.
     */
    @Test
    fun `many entry VMs with a share of less than one request stay within the limit`() {
        for (entryVms in listOf(52, 91, 330)) {
            val random = Random(entryVms)
            // 19 requests a second for one and a half times of it and five more, as on the largest deployment.
            val limitPerS = 33.5
            val limiters = List(entryVms) { ColdStartLimiter(random::nextDouble) }
            val sentAtMs = mutableListOf<Long>()
            // The target is cold, then warm for a while, and cold again.
            for (nowMs in (0L until 20_000L step 10) + (60_000L until 80_000L step 10)) {
                for (limiter in limiters) {
                    val coldUntilMs = if (nowMs < 20_000) 20_000L else 80_000L
                    if (!limiter.hasRoom(target, limitPerS, entryVms, nowMs, coldUntilMs)) continue
                    limiter.record(target, nowMs)
                    sentAtMs += nowMs
                }
            }
            val most = sentAtMs.maxOf { from -> sentAtMs.count { it in from until from + 1_000 } }
            expectThat(most.toDouble()).isLessThanOrEqualTo(limitPerS)
            // The target still gets enough to become warm.
            expectThat(sentAtMs.count { it < 20_000 } / 20.0).isGreaterThan(limitPerS / 3)
        }
    }

    /**
     * Guards against a target in need that gets too much because entry VMs hear of its limit together or are stopped
     * for a while. The load is the worst: every entry VM has a request at any time.
     */
    @Test
    fun `all entry VMs together stay within the limit that a target names`() {
        for (entryVms in listOf(1, 8, 73, 330)) {
            for (limitPerS in listOf(0.5, 2.0, 4.5, 40.0)) {
                val random = Random(entryVms)
                val fleets = List(entryVms) { TimedFleet(nextRandom = random::nextDouble) }
                val sentAtMs = mutableListOf<Long>()
                val named = known(record("t", service = plain))
                fleets.forEachIndexed { index, timed ->
                    timed.fleet.update(viewOf(named).copy(entryVms = entryVms))
                    // Every fourth entry VM runs at first, is stopped, and goes on.
                    val stopped = if (index % 4 == 0) 6_000L until 12_000L else LongRange.EMPTY
                    for (nowMs in 0L until 30_000L step STEP_MS) {
                        timed.nowMs += STEP_MS
                        if (nowMs in stopped) continue
                        val statement = LimitStatement(named.instance, limitPerS, 0)
                        timed.fleet.recordLimits(listOf(statement), isDirect = true)
                        val result = runBlocking { timed.fleet.place(request("r", plain), 0) }
                        if (result !is PlacementResult.Placed) continue
                        timed.fleet.end(result.placement, UseOutcome.SUCCEEDED)
                        sentAtMs += nowMs
                    }
                }
                val most = sentAtMs.maxOfOrNull { from -> sentAtMs.count { it in from until from + 4_000 } } ?: 0
                expectThat(most.toDouble()).describedAs("$entryVms entry VMs, $limitPerS a second")
                    .isLessThanOrEqualTo(1.5 * 4 * limitPerS + 5)
                expectThat(sentAtMs.size / 30.0).describedAs("$entryVms entry VMs, $limitPerS a second")
                    .isGreaterThan(minOf(limitPerS, entryVms * 1_000.0 / STEP_MS) / 3)
            }
        }
    }

    /** Guards against entry VMs that never repeat a request because their share of the budget is less than one. */
    @Test
    fun `many entry VMs with few requests use the budget of repeats and keep it`() {
        for (entryVms in listOf(10, 91, 330)) {
            val random = Random(entryVms)
            val limits = RepeatLimits(0.2, 0.3 * entryVms, 10_000)
            val service = ServiceId("s")
            val budgets = List(entryVms) { RepeatBudget(limits, -2 * limits.windowMs, random::nextDouble) }
            val repeatsAtMs = mutableListOf<Long>()
            for (nowMs in 0L until 40_000L step 500) {
                for (budget in budgets) {
                    if (nowMs % 5_000 == 0L) budget.recordRequest(service, nowMs)
                    if (budget.tryTake(service, entryVms, nowMs).isTaken) {
                        budget.recordSent(service, nowMs)
                        repeatsAtMs += nowMs
                    }
                }
            }
            val bound = 0.2 * 2 * entryVms + limits.allowance
            val most = (0L until 30_000L step 500).maxOf { from ->
                repeatsAtMs.count { it in from until from + 10_000 }
            }
            expectThat(most.toDouble()).isLessThanOrEqualTo(bound)
            expectThat(repeatsAtMs.size / 4.0).isGreaterThan(bound / 3)
        }
    }

    /** Guards against shares that are rounded up twice in one window, once before and once after a failure begins. */
    @Test
    fun `many entry VMs keep the budget of repeats when a failure begins after a calm time`() {
        val entryVms = 330
        val random = Random(entryVms)
        val limits = RepeatLimits(0.2, 0.1 * entryVms, 10_000)
        val service = ServiceId("s")
        val budgets = List(entryVms) { RepeatBudget(limits, -2 * limits.windowMs, random::nextDouble) }
        val phasesMs = List(entryVms) { random.nextLong(50) * 100 }
        val repeatsAtMs = mutableListOf<Long>()
        for (nowMs in 0L until 150_000L step 100) {
            budgets.forEachIndexed { number, budget ->
                if (nowMs % 5_000 == phasesMs[number]) budget.recordRequest(service, nowMs)
                if (nowMs >= 60_000 && budget.tryTake(service, entryVms, nowMs).isTaken) {
                    budget.recordSent(service, nowMs)
                    repeatsAtMs += nowMs
                }
            }
        }
        val bound = 0.2 * 2 * entryVms + limits.allowance
        val most = (60_000L until 140_000L step 500).maxOf { from ->
            repeatsAtMs.count { it in from until from + 10_000 }
        }
        expectThat(most.toDouble()).isLessThanOrEqualTo(bound)
        expectThat(repeatsAtMs.size / 9.0).isGreaterThan(bound / 3)
    }

    /** Guards against repeats of all entry VMs that together exceed the budget in any window. */
    @Test
    fun `all entry VMs together stay within the budget of repeats`() {
        val limits = RepeatLimits(0.2, 58.0, 10_000)
        val entryVms = 9
        val service = ServiceId("s")
        val repeatsAtMs = mutableListOf<Long>()
        var requests = 0
        repeat(entryVms) {
            val budget = RepeatBudget(limits, -2 * limits.windowMs) { 0.99 }
            for (nowMs in 0L until 30_000L step 100) {
                budget.recordRequest(service, nowMs)
                if (nowMs < 10_000) requests += 1
                if (budget.tryTake(service, entryVms, nowMs).isTaken) {
                    budget.recordSent(service, nowMs)
                    repeatsAtMs += nowMs
                }
            }
        }
        val maximum = (0L until 20_000L step 100).maxOf { from -> repeatsAtMs.count { it in from until from + 10_000 } }
        expectThat(maximum.toDouble()).isLessThanOrEqualTo(0.2 * requests + 58)
    }

    /** Guards against an excess of repeats whose cause cannot be found because nothing names the share. */
    @Test
    fun `a decision on a repeat names the share that it was based on`() {
        val service = ServiceId("s")
        val budget = RepeatBudget(RepeatLimits(0.2, 10.0, 10_000), -20_000) { 0.0 }
        repeat(10) { budget.recordRequest(service, 0) }
        expectThat(budget.tryTake(service, 5, 0)).isEqualTo(RepeatDecision(true, 0, 2, 10, 5))
        budget.tryTake(service, 5, 0)
        expectThat(budget.tryTake(service, 5, 0)).isEqualTo(RepeatDecision(false, 2, 2, 10, 5))
    }

    /** Guards against a request that crashes more targets under new ids, and against refusing unrelated requests. */
    @Test
    fun `a request is refused after three crashes`() {
        val table = CrashReportTable()
        val cause = Fingerprint("cause")
        val other = Fingerprint("other")
        fun crash(request: Fingerprint, number: Int) = CrashReport(request, TargetId("t$number"), number.toLong())
        table.receive(listOf(crash(cause, 1), crash(other, 1)), 0)
        table.receive(listOf(crash(cause, 2)), 1)
        // The same crash reported by another entry VM.
        expectThat(table.receive(listOf(crash(cause, 2)), 2)).hasSize(0)
        expectThat(table.refused()).isEqualTo(emptySet())
        table.receive(listOf(crash(cause, 3)), 3)
        expectThat(table.refused()).isEqualTo(setOf(cause))
    }
}
