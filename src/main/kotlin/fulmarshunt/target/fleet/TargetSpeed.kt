/*
 * Decides how slow a target is compared with the others of its service: from how long its answers take, and from what
 * it says of the time that work takes there. Either is enough to take a target for slow.
 *
 * It handles targets that share their machines with others and are several times slower for a while. The times of all
 * targets rise together with the load, so that only the difference to the median of the service counts. A few slow
 * answers are enough; figures that change many times a second are averaged, and small differences are ignored, so that
 * requests do not swing between targets that are alike. Evidence fades, so that a slow target is tried again. Confined
 * to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import fulmarshunt.target.TargetInstance
import org.apache.logging.log4j.LogManager
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sign

/** The time in which evidence loses half of its weight; a target that was slow gets a request again after some 20 s. */
private const val HALF_LIFE_MS = 5_000.0

/** The largest weight of the evidence of one kind, so that the newest value counts for a quarter. */
private const val MAX_WEIGHT = 4.0

/** The weight of the assumption that all targets are alike; one value alone counts for four fifths. */
private const val PRIOR_WEIGHT = 0.25

/** Evidence of less weight says nothing of what is usual. */
private const val MIN_WEIGHT = 0.05

/** Targets that differ by less count as equally fast. */
private val IGNORED_DIFFERENCE = ln(1.25)

/** A greater difference counts as this one, so that a single wrong value does not take a target out of service. */
private val MAX_DIFFERENCE = ln(8.0)

/** How long a comparison of the targets of a service is used; many requests that wait are placed at once. */
private const val COMPARISON_VALID_MS = 20L

/** The slowness from which a target is logged as slow, and below which as not slow any more. */
private const val SLOW = 2.0
private const val NOT_SLOW = 1.3

/** What shows how fast a target is. */
internal enum class SpeedEvidence {
    /** The time that work takes, as the target says. */
    STATED,

    /** The time until a plain answer. */
    ANSWER,

    /** The time until the first event of a stream, for the prompts to be read. */
    FIRST_EVENT,

    /** The pause between events of a stream. */
    EVENTS,
}

/** The mean of logarithms of recent values; the newest weigh most. */
private class RecentMean {
    var mean = 0.0
        private set
    private var weight = 0.0
    private var atMs = 0L

    fun weight(nowMs: Long): Double = weight * 0.5.pow((nowMs - atMs) / HALF_LIFE_MS)

    fun record(value: Double, sampleWeight: Double, nowMs: Long) {
        val former = weight(nowMs).coerceAtMost(MAX_WEIGHT - sampleWeight)
        val bounded = if (former > MIN_WEIGHT) value.coerceIn(mean - MAX_DIFFERENCE, mean + MAX_DIFFERENCE) else value
        weight = former + sampleWeight
        mean += (bounded - mean) * sampleWeight / weight
        atMs = nowMs
    }
}

/** The speed of targets as this VM has seen it. */
internal class TargetSpeeds {
    private class Comparison(val atMs: Long, val slowness: Map<TargetInstance, Double>)

    private val log = LogManager.getLogger(TargetSpeeds::class.java)
    private val means = mutableMapOf<TargetInstance, MutableMap<SpeedEvidence, RecentMean>>()
    private val comparisons = mutableMapOf<ServiceId, Comparison>()
    private val slow = mutableSetOf<TargetInstance>()

    /** Records that something took [value] at [instance]; only the ratio to the values of other targets counts. */
    fun record(
        instance: TargetInstance,
        evidence: SpeedEvidence,
        value: Double,
        nowMs: Long,
        sampleWeight: Double = 1.0,
    ) {
        if (value.isNaN() || value <= 0 || value.isInfinite()) return
        means.getOrPut(instance) { mutableMapOf() }.getOrPut(evidence) { RecentMean() }
            .record(ln(value), sampleWeight, nowMs)
    }

    /** Records something that was given up after [value]; it counts only if that is longer than usual among [peers]. */
    fun recordAtLeast(
        instance: TargetInstance,
        peers: Collection<TargetInstance>,
        evidence: SpeedEvidence,
        value: Double,
        nowMs: Long,
    ) {
        val usual = usualOrNull(peers, evidence, nowMs) ?: return
        if (ln(value) > usual) record(instance, evidence, value, nowMs)
    }

    /**
     * Returns how many times longer work takes at each of [peers], the targets of [service], than usual among them.
     * Those that are not in the result are as fast as usual.
     */
    fun slowness(service: ServiceId, peers: Collection<TargetInstance>, nowMs: Long): Map<TargetInstance, Double> {
        if (means.isEmpty()) return emptyMap()
        comparisons[service]?.takeIf { nowMs - it.atMs < COMPARISON_VALID_MS }?.let { return it.slowness }
        return compare(peers, nowMs).also {
            comparisons[service] = Comparison(nowMs, it)
            logChanges(peers, it)
        }
    }

    /** Removes all targets other than [present]. */
    fun retain(present: Set<TargetInstance>) {
        means.keys.retainAll(present)
        slow.retainAll(present)
        comparisons.clear()
    }

    private fun compare(peers: Collection<TargetInstance>, nowMs: Long): Map<TargetInstance, Double> {
        val usual = SpeedEvidence.entries
            .mapNotNull { kind -> usualOrNull(peers, kind, nowMs)?.let { kind to it } }
            .toMap()
        if (usual.isEmpty()) return emptyMap()
        val measured = usual - SpeedEvidence.STATED
        val stated = usual - measured.keys
        return peers.mapNotNull { instance ->
            val differences = listOfNotNull(
                differenceOrNull(instance, measured, nowMs),
                differenceOrNull(instance, stated, nowMs),
            )
            val difference = differences.maxOrNull()?.beyondIgnored() ?: return@mapNotNull null
            if (difference == 0.0) null else instance to exp(difference.coerceIn(-MAX_DIFFERENCE, MAX_DIFFERENCE))
        }.toMap()
    }

    /** Returns the logarithm of the slowness of [instance] by the evidence in [usual], or null if there is none. */
    private fun differenceOrNull(instance: TargetInstance, usual: Map<SpeedEvidence, Double>, nowMs: Long): Double? {
        val own = means[instance] ?: return null
        var sum = 0.0
        var weights = 0.0
        for ((evidence, usualMean) in usual) {
            val mean = own[evidence] ?: continue
            val weight = mean.weight(nowMs)
            sum += weight * (mean.mean - usualMean)
            weights += weight
        }
        return if (weights < MIN_WEIGHT) null else sum / (weights + PRIOR_WEIGHT)
    }

    /** Returns the median of the means of [peers], or null if fewer than two have one. */
    private fun usualOrNull(peers: Collection<TargetInstance>, evidence: SpeedEvidence, nowMs: Long): Double? {
        val known = peers.mapNotNull { means[it]?.get(evidence) }.filter { it.weight(nowMs) >= MIN_WEIGHT }
        // Of two targets, the faster one tells what is usual.
        return if (known.size < 2) null else known.map { it.mean }.sorted()[(known.size - 1) / 2]
    }

    private fun logChanges(peers: Collection<TargetInstance>, slowness: Map<TargetInstance, Double>) {
        for (instance in peers) {
            val value = slowness[instance] ?: 1.0
            if (value >= SLOW && slow.add(instance)) {
                log.info("target slow target={} slowness={}", instance.target, "%.1f".format(value))
            } else if (value < NOT_SLOW && slow.remove(instance)) {
                log.info("target not slow any more target={}", instance.target)
            }
        }
    }
}

private fun Double.beyondIgnored(): Double = sign(this) * (abs(this) - IGNORED_DIFFERENCE).coerceAtLeast(0.0)
