/*
 * The shares of bounds that hold for all entry VMs together, and the counting of suspected requests.
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

    /** Guards against a cold target that falls over because every entry VM sends it what it bears. */
    @Test
    fun `all entry VMs together keep to the limit of a cold target`() {
        for (entryVms in listOf(1, 3, 9, 20)) {
            val sent = (1..entryVms).sumOf {
                val shares = StartShares()
                (0L until 1_000L).count { nowMs ->
                    shares.hasRoom(target, 51.5, entryVms, nowMs).also { if (it) shares.note(target, nowMs) }
                }
            }
            expectThat(sent).isLessThanOrEqualTo(51)
        }
    }

    /** Guards against repeats of all entry VMs that together exceed the budget in any window. */
    @Test
    fun `all entry VMs together keep to the budget of repeats`() {
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
        val worst = (0L until 20_000L step 100).maxOf { from -> repeatsAtMs.count { it in from until from + 10_000 } }
        expectThat(worst.toDouble()).isLessThanOrEqualTo(0.2 * requests + 58)
    }

    /** Guards against a request that goes on crashing targets under new ids, and against refusing innocent ones. */
    @Test
    fun `a request is refused after three deaths`() {
        val table = CrashReportTable()
        val guilty = Fingerprint("guilty")
        val bystander = Fingerprint("bystander")
        fun death(request: Fingerprint, number: Int) = CrashReport(request, TargetId("t$number"), number.toLong())
        table.receive(listOf(death(guilty, 1), death(bystander, 1)), 0)
        table.receive(listOf(death(guilty, 2)), 1)
        // The same death reported by another entry VM.
        expectThat(table.receive(listOf(death(guilty, 2)), 2)).hasSize(0)
        expectThat(table.refused()).isEqualTo(emptySet())
        table.receive(listOf(death(guilty, 3)), 3)
        expectThat(table.refused()).isEqualTo(setOf(guilty))
    }
}
