/*
 * Compares pool policies on the same seeded arrivals at 1.2 times the capacity of the modelled engines. Run with
 * -Dmeasure=true; it prints a table and has no assertions.
 */
package fulmarshunt.target

import fulmarshunt.TicketId
import fulmarshunt.entry.TicketOutcome
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.condition.EnabledIfSystemProperty
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

/** The offered load: 1.2 times the requests per second that the engines finish under least-in-flight. */
private val REQUESTS_PER_SECOND = System.getProperty("rate")?.toDouble() ?: 40.0
private const val TAG_SHARE = 0.3
private const val MAX_TOKENS = 2_048
private const val MAX_WAIT_MS = 30_000L

@Tag("measurement")
@EnabledIfSystemProperty(named = "measure", matches = "true")
class PoolPolicyMeasurement {
    @Test
    fun `compare policies`() {
        println("policy seed preemptions stall-s p99-ms p99.9-ms tag-p99-ms jain goodput finished rejected")
        for (seed in 1L..3L) {
            val arrivals = arrivals(seed)
            for ((name, policies) in policies()) {
                val demand = arrivals.filter { it.atMs > WARM_MS }.groupBy { it.request.account.value }
                    .mapValues { (_, sent) -> sent.sumOf { it.length + it.request.promptTokens.toDouble() } }
                report(name, seed, PolicySimulation(arrivals, policies, seed).run(), demand)
            }
        }
    }

    /** Prints the time of one admission, grant and end at a pool with a hundred targets. */
    @Test
    fun `time of one request`() {
        val pool = pool()
        for (t in 0 until 100) pool.announce(announcement("t$t", startLimit = 64), 0)
        val rounds = 20_000
        for (batch in 1..5) {
            val start = System.nanoTime()
            for (i in 0 until rounds) {
                val ticket = "b$batch-$i"
                pool.admit(request(ticket, account = "a${i % 100}", maxOutputTokens = 800), 1)
                pool.progress(TicketId(ticket), 16, 20, 20.0, 1)
                pool.end(TicketId(ticket), 40, TicketOutcome.FINISHED, 1)
            }
            println("admit+grant+progress+end: ${(System.nanoTime() - start) / rounds / 1_000.0} us")
        }
    }

    private fun policies(): List<Pair<String, PoolPolicies>> = listOf(
        "baseline" to poolPolicies("fifo", "least-in-flight", "full-limit", "on"),
        "fair+full-limit" to poolPolicies("fair", "expected-memory", "full-limit", "on"),
        "fifo+memory" to poolPolicies("fifo", "expected-memory", "expected-memory", "on"),
        "full" to poolPolicies(),
    ).map { it.first to it.second.getOrNull()!! }

    /** Four accounts, one of which sends half of everything; lengths are lognormal, prompts share prefixes. */
    private fun arrivals(seed: Long): List<Arrival> {
        val random = Random(seed)
        var atMs = 0.0
        var n = 0
        return generateSequence {
            atMs += -ln(1.0 - random.nextDouble()) * 1_000.0 / REQUESTS_PER_SECOND
            val account = if (random.nextInt(2) == 0) 0 else 1 + random.nextInt(3)
            val isTag = random.nextDouble() < TAG_SHARE
            val mean = if (isTag) 8.0 else 180.0 + 60.0 * account
            val max = if (isTag) TAG_TOKENS else MAX_TOKENS
            val prefix = (account * 8 + random.nextInt(8)).toLong()
            val length = (mean * exp(0.9 * random.nextGaussian())).toInt().coerceIn(1, max)
            val request = request(
                "q${n++}",
                account = "a$account",
                promptTokens = if (isTag) 60 else 150 + random.nextInt(300),
                maxOutputTokens = max,
                maxWaitMs = MAX_WAIT_MS,
                prefixHashes = listOf(prefix, prefix * 1_000 + n % 5),
            )
            Arrival(atMs, request, length).takeIf { atMs < DURATION_MS }
        }.toList()
    }

    private fun report(name: String, seed: Long, r: Results, demand: Map<String, Double>) {
        val fair = fairShares(demand, r.served.values.sum())
        val shares = r.served.map { (account, tokens) -> tokens / fair.getValue(account) }
        val jain = shares.sum() * shares.sum() / (shares.size * shares.sumOf { it * it })
        val seconds = (DURATION_MS - WARM_MS) / 1_000
        println(
            "%-16s %d %6d %9.1f %8d %8d %9.0f %6.3f %8.0f %6d %6d".format(
                name,
                seed,
                r.preemptions,
                r.stallMs / 1_000,
                r.gapsMs.getValueAtPercentile(99.0),
                r.gapsMs.getValueAtPercentile(99.9),
                percentile(r.tagWaitsMs),
                jain,
                r.finishedTokens / seconds,
                r.finished,
                r.rejected,
            ),
        )
    }

    /** Divides [total] evenly; what exceeds the demand of an account goes to the others. */
    private fun fairShares(demand: Map<String, Double>, total: Double): Map<String, Double> {
        val shares = HashMap<String, Double>()
        var remaining = total
        for ((n, entry) in demand.entries.sortedBy { it.value }.withIndex()) {
            val share = minOf(entry.value, remaining / (demand.size - n))
            shares[entry.key] = share
            remaining -= share
        }
        return shares
    }

    private fun percentile(values: List<Double>): Double =
        if (values.isEmpty()) 0.0 else values.sorted()[(values.size * 0.99).toInt().coerceAtMost(values.size - 1)]
}
