/*
 * The concurrency limit of a target during slow start. A target that has just started, or turned cold, keeps its start
 * limit until its latency shows that it is warm. From then on the limit rises by one for each sign of health, at most
 * doubling in each interval.
 */
package fulmarshunt.target

/** The limit at most doubles in this time, so that the target's load reports can show an overload first. */
internal const val DOUBLING_MS: Long = 2_000

/** The slow-start limit of one target. */
internal class SlowStart(startLimit: Int, nowMs: Long) {
    var limit: Int = startLimit
        private set

    /** True once a latency has shown that the target is warm. */
    var isWarm = false
        private set
    private var intervalStartMs = nowMs
    private var intervalStartLimit = startLimit
    private val histories = HashMap<LatencyKey, LatencyHistory>()

    /** Adds a latency sample; [peers] returns the same latency of the other targets of the pool. */
    fun record(key: LatencyKey, sampleMs: Double, nowMs: Long, peers: (LatencyKey) -> List<PeerLatency>) {
        val history = histories.getOrPut(key) { LatencyHistory() }
        history.record(sampleMs, nowMs)
        if (!isWarm && history.indicatesWarm(peers(key), nowMs)) isWarm = true
    }

    /** Returns the latency for comparison with other targets, or null while it is unknown. */
    fun latencyOrNull(key: LatencyKey): PeerLatency? = histories[key]?.recentMsOrNull()?.let { PeerLatency(it, isWarm) }

    /** Raises the limit by one if the target is warm, as far as [fullLimit] and the doubling interval allow. */
    fun grow(fullLimit: Int, nowMs: Long) {
        if (!isWarm) return
        if (nowMs - intervalStartMs >= DOUBLING_MS) {
            intervalStartMs = nowMs
            intervalStartLimit = limit
        }
        limit = minOf(limit + 1, 2 * intervalStartLimit, fullLimit).coerceAtLeast(limit)
    }

    /** Returns to [startLimit] and discards all samples, because the target is cold. */
    fun restart(startLimit: Int, nowMs: Long) {
        isWarm = false
        histories.clear()
        reset(startLimit, nowMs)
    }

    /** Takes over a greater limit that the target had under another owner, which had evidence for it. */
    fun adopt(adoptedLimit: Int, nowMs: Long) {
        if (adoptedLimit <= limit) return
        isWarm = true
        reset(adoptedLimit, nowMs)
    }

    private fun reset(newLimit: Int, nowMs: Long) {
        limit = newLimit
        intervalStartMs = nowMs
        intervalStartLimit = newLimit
    }
}
