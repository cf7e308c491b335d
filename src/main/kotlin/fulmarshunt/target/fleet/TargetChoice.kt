/*
 * Chooses a target for one request. The decision is a pure function of what is known of the targets.
 *
 * It answers two loads: many long generations, which must not fill the memory of an engine, because an engine that
 * runs out of memory preempts; and bursts of prompts, which must not queue behind each other on one engine.
 */
package fulmarshunt.target.fleet

import fulmarshunt.FailureDomainId
import fulmarshunt.operator.serving.EngineProfile

/** The part of an engine's memory that expected generations may fill; the rest is for outputs longer than expected. */
private const val FILLED_PART = 0.9

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
private const val PLAIN_QUEUE_PART = 1.0

/** A target with what is known of its load. */
internal class Candidate(
    val target: KnownTarget,
    val use: TargetUse,
    /** The recent share of failed requests, 0 to 1. */
    val failing: Double,
)

/** What a request needs of a target. */
internal data class Need(
    val engine: EngineProfile?,
    val promptTokens: Int,
    /** Prompt and expected output. */
    val tokens: Int,
    val domain: FailureDomainId,
)

/** Returns the cheapest target that can take the request now, or null. */
internal fun chooseOrNull(candidates: List<Candidate>, need: Need): Candidate? =
    candidates.filter { it.canTake(need) }.minByOrNull { it.cost(need) }

/** Says whether the request fits into what the target has left. */
internal fun Candidate.canTake(need: Need): Boolean {
    val slots = need.engine?.slots ?: target.record.slots
    if (need.engine == null) return use.running < slots * (1 + PLAIN_QUEUE_PART)
    return use.running < slots &&
        (use.running == 0 || use.tokens + need.tokens <= need.engine.memoryTokens * FILLED_PART)
}

private fun Candidate.cost(need: Need): Double {
    val isElsewhere = target.record.domain != need.domain
    if (need.engine == null) {
        return use.running / target.record.slots.coerceAtLeast(1).toDouble() +
            (if (isElsewhere) DOMAIN_COST_REQUESTS else 0.0) +
            failing * FAILING_COST_REQUESTS
    }
    return use.unreadTokens +
        MEMORY_COST_TOKENS * (use.tokens + need.tokens) / need.engine.memoryTokens +
        RUN_COST_TOKENS * use.running +
        (if (isElsewhere) DOMAIN_COST_TOKENS else 0.0) +
        failing * FAILING_COST_TOKENS
}
