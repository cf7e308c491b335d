/*
 * Records what callers receive and computes the measures: stall time, time between tokens, first token, tag wait,
 * fairness and goodput. Times count from the scheduled arrival of a request. Fairness and goodput count the tokens that
 * arrive while load is offered, because the queues are empty afterwards; what is open at the end of the observation
 * counts with its wait until then, because leaving it out would favour a policy that never serves it.
 */
package fulmarshunt.measurement

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A gap between tokens above this counts as a stall, with its complete length. */
private const val STALL_THRESHOLD_MS = 250L

private const val MAX_TRACKED_MS = 600_000L
private const val NANOS_PER_MS = 1_000_000L

/** Percentiles in milliseconds. */
@Serializable
class Percentiles(val p50Ms: Double, val p99Ms: Double, val p999Ms: Double, val count: Long)

/** The workload, phase and policy of one run. */
@Serializable
data class RunCase(val user: String, val phase: String, val policy: String, val seed: Long, val load: Double)

/** The measures of one run. */
@Serializable
data class RunResult(
    val case: RunCase,
    val requests: Int,
    val completed: Long,
    val rejected: Long,
    val broken: Long,
    /** Requests that were still open at the end of the observation. */
    val unfinished: Long,
    val stallMs: Long,
    val preemptions: Long,
    val betweenTokens: Percentiles,
    val firstToken: Percentiles,
    val tagWait: Percentiles,
    /** Jain's index of the weighted service of the client accounts that asked for more than their max-min share. */
    val jainIndex: Double,
    /** The least service of a client account relative to its max-min share. */
    val leastShare: Double,
    val goodputTokensPerSecond: Double,
)

/** How a request ended. */
class Outcome(val tokenNanos: List<Long>, val isComplete: Boolean, val status: Int)

/** Collects the observations of one run with load from [startNanos] for [durationMs], observed until [endNanos]. */
class Recorder(private val startNanos: Long, private val durationMs: Long, private val endNanos: Long) {
    private val loadEndNanos = startNanos + durationMs * NANOS_PER_MS
    private val betweenTokens = histogram()
    private val firstToken = histogram()
    private val tagWait = histogram()
    private val stallNanos = AtomicLong()
    private val completed = AtomicLong()
    private val rejected = AtomicLong()
    private val broken = AtomicLong()
    private val unfinished = AtomicLong()
    private val goodTokens = AtomicLong()
    private val served = ConcurrentHashMap<String, AtomicLong>()
    private val demanded = ConcurrentHashMap<String, AtomicLong>()

    /** Records that [arrival] is offered, whether or not it is served. */
    fun offer(arrival: Arrival) {
        val tokens = arrival.promptTokens + arrival.outputTokens
        demanded.computeIfAbsent(arrival.account) { AtomicLong() }.addAndGet(tokens.toLong())
    }

    /** Records how [arrival], which was scheduled at [scheduledNanos], ended at [nowNanos]. */
    fun record(arrival: Arrival, scheduledNanos: Long, outcome: Outcome, nowNanos: Long) {
        val isOpen = !outcome.isComplete && nowNanos >= endNanos
        val tokens = outcome.tokenNanos
        val tokensUnderLoad = tokens.count { it < loadEndNanos }
        if (tokensUnderLoad > 0) {
            val service = arrival.promptTokens.toLong() + tokensUnderLoad
            served.computeIfAbsent(arrival.account) { AtomicLong() }.addAndGet(service)
        }
        val first = tokens.firstOrNull() ?: endNanos.takeIf { isOpen }
        if (first != null) recordWait(arrival, first - scheduledNanos)
        val seen = if (isOpen && tokens.isNotEmpty()) tokens + maxOf(endNanos, tokens.last()) else tokens
        seen.zipWithNext { a, b -> recordGap(b - a) }
        when {
            outcome.isComplete -> {
                completed.incrementAndGet()
                goodTokens.addAndGet(tokensUnderLoad.toLong())
            }
            isOpen -> unfinished.incrementAndGet()
            outcome.status == 200 -> broken.incrementAndGet()
            else -> rejected.incrementAndGet()
        }
    }

    private fun recordWait(arrival: Arrival, waitNanos: Long) {
        val waitMicros = waitNanos.coerceAtLeast(0) / 1_000
        firstToken.recordValue(waitMicros)
        if (arrival.isTag) tagWait.recordValue(waitMicros)
    }

    private fun recordGap(nanos: Long) {
        betweenTokens.recordValue(nanos / 1_000)
        if (nanos > STALL_THRESHOLD_MS * NANOS_PER_MS) stallNanos.addAndGet(nanos)
    }

    /** Returns the measures. */
    fun result(case: RunCase, requests: Int, preemptions: Long): RunResult {
        val shares = shares()
        return RunResult(
            case = case,
            requests = requests,
            completed = completed.get(),
            rejected = rejected.get(),
            broken = broken.get(),
            unfinished = unfinished.get(),
            stallMs = stallNanos.get() / NANOS_PER_MS,
            preemptions = preemptions,
            betweenTokens = betweenTokens.percentiles(),
            firstToken = firstToken.percentiles(),
            tagWait = tagWait.percentiles(),
            jainIndex = jainIndex(shares),
            leastShare = shares.minOf { (account, share) -> served(account) / share },
            goodputTokensPerSecond = goodTokens.get() * 1_000.0 / durationMs,
        )
    }

    private fun served(account: String): Double = served[account]?.get()?.toDouble() ?: 0.0

    private fun shares(): Map<String, Double> =
        maxMinShares(demanded.mapValues { it.value.get().toDouble() }, served.values.sumOf { it.get() }.toDouble())

    private fun jainIndex(shares: Map<String, Double>): Double {
        val backlogged = shares.filter { (account, share) -> demanded.getValue(account).get() > share * 1.01 }.keys
        val values = backlogged.map { served(it) / accountWeights.getValue(it) }
        if (values.size < 2) return 1.0
        return values.sum() * values.sum() / (values.size * values.sumOf { it * it })
    }

    private fun maxMinShares(demands: Map<String, Double>, total: Double): Map<String, Double> {
        val shares = mutableMapOf<String, Double>()
        var remaining = total
        var open = demands.keys.toSet()
        while (open.isNotEmpty()) {
            val unit = remaining / open.sumOf { accountWeights.getValue(it) }
            val satisfied = open.filter { demands.getValue(it) <= unit * accountWeights.getValue(it) }
            if (satisfied.isEmpty()) {
                open.forEach { shares[it] = unit * accountWeights.getValue(it) }
                return shares
            }
            satisfied.forEach { shares[it] = demands.getValue(it) }
            remaining -= satisfied.sumOf { demands.getValue(it) }
            open = open - satisfied.toSet()
        }
        return shares
    }

    private fun histogram() = ConcurrentHistogram(MAX_TRACKED_MS * 1_000, 3).apply { isAutoResize = true }

    private fun Histogram.percentiles() = Percentiles(
        getValueAtPercentile(50.0) / 1_000.0,
        getValueAtPercentile(99.0) / 1_000.0,
        getValueAtPercentile(99.9) / 1_000.0,
        totalCount,
    )
}
