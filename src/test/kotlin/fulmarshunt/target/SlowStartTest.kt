/*
 * Tests which evidence raises the limit of a target that has just started or turned cold.
 */
package fulmarshunt.target

import fulmarshunt.TicketId
import fulmarshunt.entry.TicketOutcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

private const val START_LIMIT = 2
private const val FULL_LIMIT = 16

class SlowStartTest {
    private val pool = pool()
    private val current = HashMap<String, String>()
    private var next = 0

    private fun limit(target: String) = pool.target(target).limit

    /** Keeps one request running at each target with the given time between tokens, and replaces it each second. */
    private fun second(nowMs: Long, latenciesMs: Map<String, Double>) {
        for (target in latenciesMs.keys) pool.announce(announcement(target, 1, START_LIMIT, FULL_LIMIT), nowMs)
        for ((target, latencyMs) in latenciesMs) {
            current[target]?.let {
                pool.progress(TicketId(it), 20, 100, latencyMs, nowMs)
                pool.end(TicketId(it), 20, TicketOutcome.FINISHED, nowMs)
            }
            val others = latenciesMs.keys - target
            val ticket = "r${next++}"
            val granted = pool.admit(request(ticket, excluded = others.toList()), nowMs).granted()
            expectThat(granted[ticket]).isEqualTo(target)
            current[target] = ticket
        }
    }

    private fun seconds(range: LongRange, latenciesMs: (Long) -> Map<String, Double>) =
        range.forEach { second(it * 1_000, latenciesMs(it)) }

    /** Guards against a limit that grows with finished requests or time alone while warm targets are much faster. */
    @Test
    fun `a cold target beside a warm one keeps its start limit until it is as fast`() {
        seconds(0L..30L) { mapOf("warm" to 10.0) }
        expectThat(limit("warm")).isGreaterThan(START_LIMIT)
        seconds(31L..80L) {
            mapOf("warm" to 10.0, "fresh" to 80.0)
        }
        expectThat(limit("fresh")).isEqualTo(START_LIMIT)
        seconds(81L..90L) { mapOf("warm" to 10.0, "fresh" to 12.0) }
        expectThat(limit("fresh")).isGreaterThan(START_LIMIT)
    }

    /** Guards against a cold target that counts as warm because its faster peer is not known to be warm. */
    @Test
    fun `a target that is slower than its peers is not warm because its latency is constant`() {
        seconds(0L..20L) { mapOf("one" to 10.0, "two" to 80.0) }
        expectThat(limit("one")).isGreaterThan(START_LIMIT)
        expectThat(limit("two")).isEqualTo(START_LIMIT)
    }

    /** Guards against a single target whose limit never grows, or grows while the target still warms up. */
    @Test
    fun `the limit of a single target grows once its latency has stopped improving`() {
        seconds(0L..30L) { mapOf("only" to 400.0 - 10.0 * it) }
        expectThat(limit("only")).isEqualTo(START_LIMIT)
        seconds(31L..35L) { mapOf("only" to 100.0) }
        expectThat(limit("only")).isEqualTo(START_LIMIT)
        seconds(36L..60L) { mapOf("only" to 100.0) }
        expectThat(limit("only")).isGreaterThan(2 * START_LIMIT)
    }

    /** Guards against a slower machine that never leaves its start limit because its peers are faster. */
    @Test
    fun `a target that stays slower than warm ones for a minute counts as a slower machine`() {
        seconds(0L..30L) { mapOf("fast" to 10.0) }
        seconds(31L..90L) { mapOf("fast" to 10.0, "slow" to 30.0) }
        expectThat(limit("slow")).isEqualTo(START_LIMIT)
        seconds(91L..105L) { mapOf("fast" to 10.0, "slow" to 30.0) }
        expectThat(limit("slow")).isGreaterThan(START_LIMIT)
    }

    /** Guards against a limit that grows with finished requests after its target turned cold. */
    @Test
    fun `a target that turned cold needs the same evidence as a new one`() {
        seconds(0L..30L) { mapOf("one" to 10.0, "two" to 10.0) }
        expectThat(limit("two")).isGreaterThan(START_LIMIT)
        seconds(31L..60L) { mapOf("one" to 10.0, "two" to 80.0) }
        expectThat(limit("two")).isEqualTo(START_LIMIT)
        seconds(61L..70L) { mapOf("one" to 10.0, "two" to 10.0) }
        expectThat(limit("two")).isGreaterThan(START_LIMIT)
    }

    /** Guards against targets that never leave the start limit because their requests have no progress reports. */
    @Test
    fun `the total duration of requests too short for reports counts as evidence`() {
        for (n in 0L..30L) {
            pool.announce(announcement("only", 1, START_LIMIT, FULL_LIMIT), n * 1_000)
            pool.admit(request("s$n"), n * 1_000)
            pool.end(TicketId("s$n"), 3, TicketOutcome.FINISHED, n * 1_000 + 40)
            if (n < 9) expectThat(limit("only")).isEqualTo(START_LIMIT)
        }
        expectThat(limit("only")).isGreaterThan(START_LIMIT)
    }
}
