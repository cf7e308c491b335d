/*
 * Tests the shares of limits that apply to all entry VMs together, and the counting of crashes.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class SharesTest {
    private val target = TargetId("t")

    /** Guards against an overload of a cold target because every entry VM uses its full limit. */
    @Test
    fun `all entry VMs together stay within the limit of a cold target`() {
        for (entryVms in listOf(1, 3, 9, 20)) {
            val sent = (1..entryVms).sumOf {
                val limiter = ColdStartLimiter()
                (0L until 1_000L).count { nowMs ->
                    limiter.hasRoom(target, 51.5, entryVms, nowMs).also { if (it) limiter.record(target, nowMs) }
                }
            }
            expectThat(sent).isLessThanOrEqualTo(51)
        }
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
            val budget = RepeatBudget(limits)
            for (nowMs in 0L until 30_000L step 100) {
                budget.recordRequest(service, nowMs)
                if (nowMs < 10_000) requests += 1
                if (budget.tryTake(service, entryVms, nowMs)) repeatsAtMs += nowMs
            }
        }
        val maximum = (0L until 20_000L step 100).maxOf { from -> repeatsAtMs.count { it in from until from + 10_000 } }
        expectThat(maximum.toDouble()).isLessThanOrEqualTo(0.2 * requests + 58)
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
