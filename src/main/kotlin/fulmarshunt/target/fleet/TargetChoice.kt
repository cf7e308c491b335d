/*
 * Chooses a target for one request. The decision is a pure function of what is known of the targets.
 *
 * It answers three loads: many long generations, which must not fill the memory of an engine, because an engine that
 * runs out of memory preempts; bursts of prompts, which must not queue behind each other on one engine; and lasting
 * overload, in which requests that are late already must leave room for those that are not.
 */
package fulmarshunt.target.fleet

import fulmarshunt.FailureDomainId
import fulmarshunt.operator.serving.EngineProfile

/**
 * The part of an engine's memory that generations may fill at the length expected for their end. Most are still
 * shorter, which leaves room for the few that grow longer.
 */
private const val MAX_MEMORY_SHARE = 0.97

/** The part that requests may fill that can no longer be served within their objective. */
private const val MAX_LATE_MEMORY_SHARE = 0.75

/** Targets whose costs differ by less are equal; entry VMs that see the same old loads spread over them. */
private const val EQUAL_COST_TOKENS = 500.0
private const val EQUAL_COST_REQUESTS = 0.1

/** What a full memory costs, in prompt tokens that would have to be read first. */
private const val MEMORY_COST_TOKENS = 3_000.0

/** What a running generation costs: each slows every step by about the time of reading two tokens. */
private const val RUN_COST_TOKENS = 40.0

/** What another failure domain costs: a round trip, and the bytes between domains. */
private const val DOMAIN_COST_TOKENS = 60.0
private const val DOMAIN_COST_REQUESTS = 0.15

/** What a target that fails all its requests costs beside one that fails none. */
private const val FAILING_COST_TOKENS = 60_000.0
private const val FAILING_COST_REQUESTS = 12.0

/** Requests beyond its slots that a plain target may be sent; it queues a few. */
private const val PLAIN_QUEUE_SHARE = 1.0

/** Copies are made only while requests and copies together fill less of all memory, and of one target's, than this. */
private const val MAX_FLEET_SHARE_WITH_COPIES = 0.55
private const val MAX_TARGET_SHARE_WITH_COPIES = 0.65

/** A target with what is known of its load. */
internal class Candidate(
    val target: KnownTarget,
    val use: TargetUse,
    /** The recent share of failed requests, 0 to 1. */
    val failureShare: Double,
)

/** What a request needs of a target. */
internal data class TargetRequirements(
    val engine: EngineProfile?,
    val promptTokens: Int,
    /** Prompt and expected output. */
    val tokens: Int,
    val domain: FailureDomainId,
    /** Whether the request can no longer be served within its objective. */
    val isLate: Boolean = false,
)

/** Returns one of the cheapest targets that can take the request now, for a uniform [nextRandom], or null. */
internal fun chooseOrNull(candidates: List<Candidate>, need: TargetRequirements, nextRandom: () -> Double): Candidate? {
    val costs = candidates.filter { it.canTake(need) }.associateWith { it.cost(need) }
    val least = costs.values.minOrNull() ?: return null
    val equalCost = if (need.engine == null) EQUAL_COST_REQUESTS else EQUAL_COST_TOKENS
    return costs.filterValues { it <= least + equalCost }.keys.toList().randomElement(nextRandom)
}

private fun List<Candidate>.randomElement(nextRandom: () -> Double): Candidate =
    this[(nextRandom() * size).toInt().coerceAtMost(size - 1)]

/** Says whether the request fits into what the target has left. */
internal fun Candidate.canTake(need: TargetRequirements): Boolean {
    val slots = need.engine?.slots ?: target.record.slots
    if (need.engine == null) return use.running < slots * (1 + PLAIN_QUEUE_SHARE)
    val maxMemoryShare = if (need.isLate) MAX_LATE_MEMORY_SHARE else MAX_MEMORY_SHARE
    return use.running < slots &&
        (use.running == 0 || use.tokens + need.tokens <= need.engine.memoryTokens * maxMemoryShare)
}

/**
 * Returns a target for a copy of a generation of [tokens], or null if memory is needed for requests.
 *
 * @param all the use of every target that takes work for the service.
 */
internal fun chooseForCopyOrNull(
    candidates: List<Candidate>,
    all: List<TargetUse>,
    tokens: Long,
    engine: EngineProfile,
    nextRandom: () -> Double,
): Candidate? {
    if (all.sumOf { it.tokens } + tokens > all.size * engine.memoryTokens * MAX_FLEET_SHARE_WITH_COPIES) return null
    val withRoom = candidates.filter { it.use.tokens + tokens <= engine.memoryTokens * MAX_TARGET_SHARE_WITH_COPIES }
    if (withRoom.isEmpty()) return null
    // The better of two drawn at random: copies of all entry VMs to one idle target would queue on its link.
    return listOf(withRoom.randomElement(nextRandom), withRoom.randomElement(nextRandom))
        .minBy { it.use.tokens + engine.memoryTokens * it.failureShare }
}

private fun Candidate.cost(need: TargetRequirements): Double {
    val isElsewhere = target.record.domain != need.domain
    if (need.engine == null) {
        return use.running / target.record.slots.coerceAtLeast(1).toDouble() +
            (if (isElsewhere) DOMAIN_COST_REQUESTS else 0.0) +
            failureShare * FAILING_COST_REQUESTS
    }
    return use.unreadTokens +
        MEMORY_COST_TOKENS * (use.tokens + need.tokens) / need.engine.memoryTokens +
        RUN_COST_TOKENS * use.running +
        (if (isElsewhere) DOMAIN_COST_TOKENS else 0.0) +
        failureShare * FAILING_COST_TOKENS
}
