/*
 * Chooses a target for one request. The decision is a pure function of the known state of the targets.
 *
 * It handles three kinds of load. Many long generations must not fill the memory of an engine, because an engine that
 * runs out of memory preempts. Prompts of a burst must not queue behind each other on one engine. In lasting overload,
 * late requests must leave capacity for those that can still meet their objective.
 */
package fulmarshunt.target.fleet

import fulmarshunt.FailureDomainId
import fulmarshunt.operator.serving.EngineProfile
import kotlin.math.exp
import kotlin.math.pow

/**
 * The share of an engine's memory that generations may fill at their expected final length. Most are still shorter,
 * which leaves memory for the few that grow longer.
 */
private const val MAX_MEMORY_SHARE = 0.97

/** The share of the memory that may be filled for a request that has missed its objective, or at a brittle target. */
private const val MAX_LATE_MEMORY_SHARE = 0.75

/** Targets whose costs differ by less count as equal, so that entry VMs with the same outdated loads spread out. */
private const val EQUAL_COST_TOKENS = 500.0
private const val EQUAL_COST_REQUESTS = 0.1

/**
 * With more entry VMs, the use of plain targets by others is outdated when it arrives: work takes a fifth of that time.
 * The cheapest target of one moment would get all requests of the next; they are spread by weight instead.
 */
private const val MAX_PRECISE_ENTRY_VMS = 16
private const val SPREAD_COST_REQUESTS = 0.7
private const val SLOWNESS_EXPONENT = 3

/** The weight of a target in another failure domain, which is never outdated; with it, few requests leave a domain. */
private const val ELSEWHERE_WEIGHT = 0.2

/** The cost of a full memory, in prompt tokens to be processed first. */
private const val MEMORY_COST_TOKENS = 3_000.0

/** The cost of a running generation: each slows every step by about the time of processing two prompt tokens. */
private const val RUN_COST_TOKENS = 40.0

/** The cost of a request that waits at an engine: its memory or its slots are short, which passes slowly. */
private const val WAITING_COST_TOKENS = 1_000.0

/** The cost of another failure domain: a round trip, and traffic between domains. */
private const val DOMAIN_COST_TOKENS = 60.0
private const val DOMAIN_COST_REQUESTS = 0.15

/** The additional cost of a target that fails all its requests. */
private const val FAILING_COST_TOKENS = 60_000.0
private const val FAILING_COST_REQUESTS = 12.0

/** The requests beyond its slots that a plain target may get, as a share of the slots; it queues a few. */
private const val PLAIN_QUEUE_SHARE = 1.0

/** Copies are made only while requests and copies fill at most these shares of all memory and of one target's. */
private const val MAX_FLEET_SHARE_WITH_COPIES = 0.55
private const val MAX_TARGET_SHARE_WITH_COPIES = 0.65

/** A target and its known load. */
internal class Candidate(
    val target: KnownTarget,
    val use: TargetUse,
    /** The recent share of failed requests, 0 to 1. */
    val failureShare: Double,
    /** Whether the target fails when it refuses more than a few requests. */
    val isBrittle: Boolean = false,
    /** How many times longer work takes at the target than usual at its service. */
    val slowness: Double = 1.0,
    /** The load that is not in [use]. */
    val unknown: UnknownLoad = UnknownLoad.NONE,
)

/** The requirements of a request. */
internal data class TargetRequirements(
    val engine: EngineProfile?,
    val promptTokens: Int,
    /** The prompt and the expected output. */
    val tokens: Int,
    val domain: FailureDomainId,
    /** True if the request can no longer be served within its objective. */
    val isLate: Boolean = false,
    /** The number of entry VMs that place requests by the same outdated use. */
    val entryVms: Int = 1,
)

/** Returns a random one of the cheapest targets that can take the request now, or null if none can. */
internal fun chooseOrNull(
    candidates: List<Candidate>,
    requirements: TargetRequirements,
    nextRandom: () -> Double,
): Candidate? {
    val able = candidates.filter { it.canTake(requirements) }
    // Unknown load is a guess: it may not keep a request waiting, whose wait no event would end.
    val roomy = able.filter { it.hasPlace(requirements) }.ifEmpty { able }
    val costs = roomy.associateWith { it.cost(requirements) }
    val least = costs.values.minOrNull() ?: return null
    if (requirements.engine == null && requirements.entryVms > MAX_PRECISE_ENTRY_VMS) {
        return costs.weightedRandomElement(least, requirements.domain, nextRandom)
    }
    val equalCost = if (requirements.engine == null) EQUAL_COST_REQUESTS else EQUAL_COST_TOKENS
    return costs.filterValues { it <= least + equalCost }.keys.toList().randomElement(nextRandom)
}

/**
 * Returns a random candidate; each [SPREAD_COST_REQUESTS] of cost above [least] make it less likely by a factor of e.
 * Slowness lasts longer than load, so that it is no reason to spread.
 */
private fun Map<Candidate, Double>.weightedRandomElement(
    least: Double,
    domain: FailureDomainId,
    nextRandom: () -> Double,
): Candidate {
    val weights = mapValues { (candidate, cost) ->
        val isElsewhere = candidate.target.record.domain != domain
        (if (isElsewhere) ELSEWHERE_WEIGHT else 1.0) * exp((least - cost) / SPREAD_COST_REQUESTS) /
            candidate.slowness.pow(SLOWNESS_EXPONENT)
    }
    var rest = nextRandom() * weights.values.sum()
    return weights.entries.firstOrNull { (_, weight) -> (rest - weight).also { rest = it } < 0 }?.key ?: keys.last()
}

private fun List<Candidate>.randomElement(nextRandom: () -> Double): Candidate =
    this[(nextRandom() * size).toInt().coerceAtMost(size - 1)]

/** Returns whether the request fits into the target's remaining capacity. */
internal fun Candidate.canTake(requirements: TargetRequirements): Boolean {
    val slots = requirements.engine?.slots ?: target.record.slots
    if (requirements.engine == null) return use.running < slots * (1 + PLAIN_QUEUE_SHARE)
    val maxMemoryShare = if (requirements.isLate || isBrittle) MAX_LATE_MEMORY_SHARE else MAX_MEMORY_SHARE
    return use.running < slots &&
        (use.running == 0 || use.tokens + requirements.tokens <= requirements.engine.memoryTokens * maxMemoryShare)
}

/** Returns whether the request would probably not wait long for a place, by what is only presumed of the target. */
private fun Candidate.hasPlace(requirements: TargetRequirements): Boolean {
    val presumed = use.running + unknown.requests
    if (requirements.engine != null) return presumed < requirements.engine.slots
    return presumed < target.record.slots * (1 + PLAIN_QUEUE_SHARE / slowness.coerceAtLeast(1.0))
}

/** Returns how many requests the target takes before it refuses others. */
internal fun capacityOf(target: TargetRecord, engine: EngineProfile?): Double =
    engine?.slots?.toDouble() ?: (target.slots * (1 + PLAIN_QUEUE_SHARE))

/**
 * Returns a target for a copy of a generation of [tokens], or null if memory is needed for requests.
 *
 * @param all the use of every target that accepts requests for the service.
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
    // Takes the better of two random targets: copies of all entry VMs to one idle target would queue on its link.
    return listOf(withRoom.randomElement(nextRandom), withRoom.randomElement(nextRandom))
        .minBy { it.use.tokens + engine.memoryTokens * it.failureShare }
}

private fun Candidate.cost(requirements: TargetRequirements): Double {
    val isElsewhere = target.record.domain != requirements.domain
    if (requirements.engine == null) {
        val requests = (use.running + unknown.requests) / target.record.slots.coerceAtLeast(1).toDouble()
        return slowness * (1 + requests) +
            (if (isElsewhere) DOMAIN_COST_REQUESTS else 0.0) +
            failureShare * FAILING_COST_REQUESTS
    }
    val memoryTokens = requirements.engine.memoryTokens.coerceAtLeast(1).toDouble()
    val memoryShare = (use.tokens + requirements.tokens) / memoryTokens
    val tokensAhead = use.unreadTokens + MEMORY_COST_TOKENS * memoryShare +
        RUN_COST_TOKENS * (use.running + unknown.requests) + WAITING_COST_TOKENS * unknown.waiting
    return slowness * (requirements.promptTokens + tokensAhead) +
        (if (isElsewhere) DOMAIN_COST_TOKENS else 0.0) +
        failureShare * FAILING_COST_TOKENS
}
