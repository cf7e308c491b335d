/*
 * The recent values of one latency of a target, and the test whether they show that the target is warm.
 */
package fulmarshunt.target

import fulmarshunt.ServiceId

/** Samples within this time are averaged, so that a burst of reports weighs as much as a single one. */
private const val BUCKET_MS = 1_000L

/** A latency that does not fall over this many buckets with samples has stopped improving. */
private const val PLATEAU_BUCKETS = 10

/** The number of latest buckets whose mean is compared with other targets. */
private const val RECENT_BUCKETS = 3

/** A latency that falls below this share of its earlier value is still improving. */
private const val IMPROVING_SHARE = 0.9

/** What a latency sample describes; samples of different kinds are not compared. */
internal enum class LatencyKind {
    /** The time between two tokens. */
    BETWEEN_TOKENS,

    /** The time from the grant to the end per token; for requests too short for progress reports. */
    WHOLE,

    /** The time until the first event for a prompt of a thousand tokens. */
    FIRST_EVENT,
}

/** Identifies the latency of one kind for one service. */
internal data class LatencyKey(val service: ServiceId, val kind: LatencyKind)

/** The latency of another target of the pool under the same key. */
internal class PeerLatency(val recentMs: Double, val isWarm: Boolean)

/** The means of the latest intervals with samples. */
internal class LatencyHistory {
    private class Bucket(val startMs: Long) {
        private var sumMs = 0.0
        private var count = 0
        val meanMs: Double get() = sumMs / count

        fun add(sampleMs: Double) {
            sumMs += sampleMs
            count++
        }
    }

    private val buckets = ArrayDeque<Bucket>()
    private var firstMs = -1L

    fun record(sampleMs: Double, nowMs: Long) {
        if (firstMs < 0) firstMs = nowMs
        val current = buckets.lastOrNull()?.takeIf { nowMs - it.startMs < BUCKET_MS }
        val bucket = current ?: Bucket(nowMs).also { buckets += it }
        bucket.add(sampleMs)
        if (buckets.size > PLATEAU_BUCKETS) buckets.removeFirst()
    }

    /** Returns the mean of the latest buckets, or null while there are too few. */
    fun recentMsOrNull(): Double? =
        if (buckets.size < RECENT_BUCKETS) null else buckets.takeLast(RECENT_BUCKETS).meanMs()

    /** Returns whether this latency shows that its target is warm, given the same latency of [peers]. */
    fun indicatesWarm(peers: List<PeerLatency>, nowMs: Long): Boolean {
        val recentMs = recentMsOrNull() ?: return false
        val warm = peers.filter { it.isWarm }
        val isNear =
            if (warm.isNotEmpty()) {
                recentMs <= nearMs(warm.map { it.recentMs }.average())
            } else {
                // A much faster peer shows that this target can still improve, even if no peer is known to be warm.
                hasStoppedImproving() && peers.all { recentMs <= nearMs(it.recentMs) }
            }
        return isNear || (nowMs - firstMs >= SLOWER_MACHINE_MS && hasStoppedImproving())
    }

    private fun hasStoppedImproving(): Boolean {
        if (buckets.size < PLATEAU_BUCKETS) return false
        val half = PLATEAU_BUCKETS / 2
        return buckets.takeLast(half).meanMs() >= IMPROVING_SHARE * buckets.take(half).meanMs()
    }

    private fun List<Bucket>.meanMs() = sumOf { it.meanMs } / size
}
