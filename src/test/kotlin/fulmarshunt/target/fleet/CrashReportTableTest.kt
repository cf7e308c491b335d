/*
 * Which causes of crashes are refused, for single decisions.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

private const val PERIOD_MS = 2_000L

class CrashReportTableTest {
    private val table = CrashReportTable()
    private val shared = Fingerprint("shared")
    private val crashing = Fingerprint("crashing")

    private fun crash(number: Int, causes: Set<Fingerprint>) =
        causes.map { CrashReport(it, TargetId("t$number"), number.toLong()) }

    /** Guards against a refusal of all prompts that begin with the same part as those that crash targets. */
    @Test
    fun `a part that runs without a crash in between is not refused`() {
        for (number in 1..20) {
            val nowMs = number * PERIOD_MS
            table.receive(crash(number, setOf(shared, crashing)), nowMs)
            table.clear(mapOf(shared to 0L), nowMs + 1)
        }
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(table.suspected()).isEqualTo(setOf(crashing))
    }

    /** Guards against a request that is refused for long because its targets did not respond for a moment. */
    @Test
    fun `reports of targets that may have crashed count for 10 s`() {
        fun suspicions(isConfirmed: Boolean) = (1..3).associate {
            CrashReport(crashing, TargetId("t$it"), 1, isConfirmed = isConfirmed) to 0L
        }
        table.receive(suspicions(isConfirmed = false), 0)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(table.expire(UNCONFIRMED_RETENTION_MS)).isEqualTo(false)
        expectThat(table.expire(UNCONFIRMED_RETENTION_MS + 1)).isEqualTo(true)
        expectThat(table.refused()).isEmpty()
        table.receive(suspicions(isConfirmed = false), 20_000)
        table.receive(suspicions(isConfirmed = true), 24_000)
        table.expire(20_000 + CRASH_RETENTION_MS)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
    }

    /** Guards against a part that all prompts share and that is refused because a failure domain was lost. */
    @Test
    fun `a sound part is not refused for many crashes at one moment`() {
        val sound = SoundCauses()
        sound.record(setOf(shared), 0)
        val refusals = Refusals { sound.agesMs(it, PERIOD_MS).keys }
        (1..40).forEach { table.receive(crash(it, setOf(shared)), PERIOD_MS) }
        expectThat(refusals.decide(table.refused(), PERIOD_MS)).isEmpty()
        table.clear(sound.agesMs(table.suspected(), PERIOD_MS), PERIOD_MS)
        expectThat(table.refused()).isEmpty()
        // The crashes were after the run that showed the part to be sound, so that they still count, but only once.
        expectThat(table.suspected()).isEqualTo(setOf(shared))
    }

    /** Guards against crashes that count as one because a VM that noticed one late reported it first. */
    @Test
    fun `a crash happened when it was first noticed`() {
        val reports = (1..3).map { CrashReport(crashing, TargetId("t$it"), it.toLong(), depth = 1) }
        table.receive(reports.associateWith { 0L }, PERIOD_MS)
        expectThat(table.refused()).isEmpty()
        table.receive(reports.withIndex().associate { (index, report) -> report to index * 300L }, PERIOD_MS)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
    }

    /** Guards against a part that was sound, crashes targets since, and is never stopped. */
    @Test
    fun `a part that was sound is refused after six crashes`() {
        val sound = SoundCauses()
        sound.record(setOf(crashing), 0)
        var nowMs = 0L
        val refusals = Refusals { sound.agesMs(it, nowMs).keys }
        for (number in 1..6) {
            nowMs += PERIOD_MS
            expectThat(table.refused()).isEmpty()
            table.receive(crash(number, setOf(crashing)), nowMs)
            table.clear(sound.agesMs(table.suspected(), nowMs), nowMs)
        }
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(refusals.decide(table.refused(), nowMs)).isEmpty()
        expectThat(refusals.decide(table.refused(), nowMs + PERIOD_MS)).isEqualTo(setOf(crashing))
    }

    /** Guards against a cause that is cleared and counted again because entry VMs repeat their reports. */
    @Test
    fun `a repeated report does not count again`() {
        val reports = (1..3).flatMap { crash(it, setOf(shared)) }
        table.receive(reports, 0)
        expectThat(table.refused()).isEqualTo(setOf(shared))
        expectThat(table.clear(mapOf(shared to 0L), 100)).isEqualTo(mapOf(shared to 0L))
        repeat(10) { table.receive(reports, 200L + it) }
        expectThat(table.suspected()).isEmpty()
        // The second time, nothing changes that other control VMs would have to learn.
        expectThat(table.clear(mapOf(shared to 0L), 300)).isEmpty()
    }

    /** Guards against growing messages: a request that was present at one crash stays unlisted. */
    @Test
    fun `causes at single crashes are neither suspected nor repeated for long`() {
        (1..500).forEach { table.receive(crash(it, setOf(Fingerprint("other$it"), crashing)), it.toLong()) }
        expectThat(table.suspected()).isEqualTo(setOf(crashing))
        expectThat(table.reportsToRepeat(60_000).keys.map { it.request }.toSet()).isEqualTo(setOf(crashing))
        table.receive(emptyMap(), CRASH_RETENTION_MS + PERIOD_MS)
        expectThat(table.refused()).isEmpty()
    }

    /** Guards against a memory of sound causes that grows with every request, or that forgets the popular parts. */
    @Test
    fun `the causes that are used again are remembered`() {
        val sound = SoundCauses()
        repeat(10_000) { sound.record(setOf(shared, Fingerprint("request$it")), it.toLong()) }
        val first = (0..99).map { Fingerprint("request$it") }.toSet()
        expectThat(sound.agesMs(first + shared, 10_000)).isEqualTo(mapOf(shared to 1L))
        expectThat(sound.agesMs(setOf(shared), 10_000 + CRASH_RETENTION_MS)).isEmpty()
    }

    /** Guards against a refusal of sound prompts that share a part with those that crash targets. */
    @Test
    fun `of parts that were present at the same crashes only the deepest is refused`() {
        for (number in 1..3) {
            val causes = listOf(shared, crashing)
            val reports = causes.mapIndexed { index, cause -> crashAtDepth(cause, number, index + 1) }
            table.receive(reports, number * PERIOD_MS)
        }
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(table.suspected()).isEqualTo(setOf(shared, crashing))
    }

    /** Guards against a part that goes on crashing targets because another part was taken for the cause. */
    @Test
    fun `a part is refused once it was present at a crash without the deeper one`() {
        for (number in 1..3) {
            table.receive(
                listOf(crashAtDepth(crashing, number, 1), crashAtDepth(shared, number, 2)),
                number * PERIOD_MS,
            )
        }
        expectThat(table.refused()).isEqualTo(setOf(shared))
        table.receive(listOf(crashAtDepth(crashing, 4, 1)), 4 * PERIOD_MS)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
    }

    /** Guards against a refusal of a new part for the loss of several targets at one moment. */
    @Test
    fun `crashes at one moment count once for a part that no run has passed`() {
        (1..5).forEach { table.receive(listOf(crashAtDepth(shared, it, 1)), PERIOD_MS + it) }
        expectThat(table.refused()).isEmpty()
        table.receive(listOf(crashAtDepth(shared, 6, 1)), 2 * PERIOD_MS)
        expectThat(table.refused()).isEmpty()
        table.receive(listOf(crashAtDepth(shared, 7, 1)), 3 * PERIOD_MS)
        expectThat(table.refused()).isEqualTo(setOf(shared))
    }

    /** Guards against a part that is no longer refused once a restarted control VM gets all reports at one time. */
    @Test
    fun `crashes count at the moments at which they were noticed`() {
        val agesMs = (1..3).associate { crashAtDepth(crashing, it, 1) to it * PERIOD_MS }
        table.receive(agesMs, 10 * PERIOD_MS)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(table.reportsToRepeat(10 * PERIOD_MS)).isEqualTo(agesMs)
    }

    /** Guards against reports that never expire because control VMs pass them on to each other. */
    @Test
    fun `a report expires at the age at which its crash does`() {
        val agesMs = (1..3).associate { crashAtDepth(crashing, it, 1) to CRASH_RETENTION_MS - it * PERIOD_MS }
        expectThat(table.receive(agesMs, 0)).isEqualTo(agesMs)
        expectThat(table.refused()).isEqualTo(setOf(crashing))
        expectThat(table.receive(agesMs.mapValues { it.value + 4 * PERIOD_MS }, 4 * PERIOD_MS)).isEmpty()
        expectThat(table.refused()).isEmpty()
    }

    /** Guards against long requests that are sent before it is known whether they are the ones that crash targets. */
    @Test
    fun `the beginning of a long request is refused with the request, and never for itself`() {
        val beginning = Fingerprint("beginning")
        fun report(cause: String, number: Int) =
            CrashReport(Fingerprint(cause), TargetId("t$number"), number.toLong(), beginning = beginning)
        // Different requests that begin in the same way have crashed one target each.
        table.receive((1..6).associate { report("cause-$it", it) to 0L }, 0)
        expectThat(table.refused()).isEmpty()
        table.receive((11..13).associate { report("crashing", it) to 0L }, 0)
        expectThat(table.refused()).isEqualTo(setOf(crashing, beginning))
        table.clear(mapOf(crashing to 0L), 1)
        expectThat(table.refused()).isEmpty()
    }

    private fun crashAtDepth(cause: Fingerprint, number: Int, depth: Int) =
        CrashReport(cause, TargetId("t$number"), number.toLong(), depth)
}
