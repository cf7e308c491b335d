/*
 * Records what callers see and computes the measures: stall time, time between tokens, first token, tag wait, fairness
 * and goodput. Times count from the scheduled arrival of a request.
 */
package fulmarshunt.measurement

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A gap between tokens above this counts as a stall, with its whole length. */
private const val STALL_THRESHOLD_MS = 250L

private const val MAX_TRACKED_MS = 600_000L
private const val NANOS_PER_MS = 1_000_000L

/** Percentiles in milliseconds. */
@Serializable
class Percentiles(val p50Ms: Double, val p99Ms: Double, val p999Ms: Double, val count: Long)

/** The measures of one run. */
@Serializable
data class RunResult(
    val user: String,
    val policy: String,
    val seed: Long,
    val load: Double,
    val requests: Int,
    val completed: Long,
    val rejected: Long,
    val broken: Long,
    val stallMs: Long,
    val preemptions: Long,
    val betweenTokens: Percentiles,
    val firstToken: Percentiles,
    val tagWait: Percentiles,
    val jainIndex: Double,
    val goodputTokensPerSecond: Double,
)

/** Collects the observations of one run. */
class Recorder {
    private val betweenTokens = histogram()
    private val firstToken = histogram()
    private val tagWait = histogram()
    private val stallNanos = AtomicLong()
    private val completed = AtomicLong()
    private val rejected = AtomicLong()
    private val broken = AtomicLong()
    private val goodTokens = AtomicLong()
    private val served = ConcurrentHashMap<String, AtomicLong>()
    private val demanded = ConcurrentHashMap<String, AtomicLong>()

    /** Records that [arrival] is offered, whether or not it is served. */
    fun offer(arrival: Arrival) {
        demanded.computeIfAbsent(arrival.account) { AtomicLong() }.addAndGet(arrival.outputTokens.toLong())
    }

    /** Records the tokens of [arrival], which was scheduled at [scheduledNanos]. */
    fun record(arrival: Arrival, scheduledNanos: Long, tokenNanos: List<Long>, isComplete: Boolean, status: Int) {
        served.computeIfAbsent(arrival.account) { AtomicLong() }.addAndGet(tokenNanos.size.toLong())
        if (tokenNanos.isNotEmpty()) {
            val waitMicros = (tokenNanos.first() - scheduledNanos) / 1_000
            firstToken.recordValue(waitMicros)
            if (arrival.isTag) tagWait.recordValue(waitMicros)
            tokenNanos.zipWithNext { a, b -> recordGap(b - a) }
        }
        when {
            isComplete -> {
                completed.incrementAndGet()
                goodTokens.addAndGet(tokenNanos.size.toLong())
            }
            status == 200 -> broken.incrementAndGet()
            else -> rejected.incrementAndGet()
        }
    }

    private fun recordGap(nanos: Long) {
        betweenTokens.recordValue(nanos / 1_000)
        if (nanos > STALL_THRESHOLD_MS * NANOS_PER_MS) stallNanos.addAndGet(nanos)
    }

    /** Returns the measures. */
    fun result(
        user: String,
        policy: String,
        seed: Long,
        load: Double,
        requests: Int,
        preemptions: Long,
        durationMs: Long,
    ): RunResult = RunResult(
        user = user,
        policy = policy,
        seed = seed,
        load = load,
        requests = requests,
        completed = completed.get(),
        rejected = rejected.get(),
        broken = broken.get(),
        stallMs = stallNanos.get() / NANOS_PER_MS,
        preemptions = preemptions,
        betweenTokens = betweenTokens.percentiles(),
        firstToken = firstToken.percentiles(),
        tagWait = tagWait.percentiles(),
        jainIndex = jainIndex(),
        goodputTokensPerSecond = goodTokens.get() * 1_000.0 / durationMs,
    )

    /** Jain's index of the weighted service of the client accounts that asked for more than their max-min share. */
    private fun jainIndex(): Double {
        val total = served.values.sumOf { it.get() }.toDouble()
        val shares = maxMinShares(demanded.mapValues { it.value.get().toDouble() }, total)
        val backlogged = shares.filter { (account, share) -> demanded.getValue(account).get() > share * 1.01 }.keys
        val values = backlogged.map { (served[it]?.get() ?: 0L) / accountWeights.getValue(it) }
        if (values.size < 2) return 1.0
        return values.sum() * values.sum() / (values.size * values.sumOf { it * it })
    }

    private fun maxMinShares(demands: Map<String, Double>, total: Double): Map<String, Double> {
        val shares = mutableMapOf<String, Double>()
        var left = total
        var open = demands.keys.toSet()
        while (open.isNotEmpty()) {
            val unit = left / open.sumOf { accountWeights.getValue(it) }
            val satisfied = open.filter { demands.getValue(it) <= unit * accountWeights.getValue(it) }
            if (satisfied.isEmpty()) {
                open.forEach { shares[it] = unit * accountWeights.getValue(it) }
                return shares
            }
            satisfied.forEach { shares[it] = demands.getValue(it) }
            left -= satisfied.sumOf { demands.getValue(it) }
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
