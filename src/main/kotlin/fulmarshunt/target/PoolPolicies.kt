/*
 * The configurable parts of a pool's behaviour, as function types. Settings select them by name; the simple ones serve
 * as baselines in comparison runs.
 */
package fulmarshunt.target

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import fulmarshunt.TargetId

/** The next waiting request of a client account, as a queue order sees it. */
public class QueueHead internal constructor(
    /** Grows with each arrival at the queue. */
    public val arrival: Long,
    /** The weighted service that the client account has received. */
    public val virtualTime: Double,
)

/** The order of waiting requests. */
public class QueueOrder internal constructor(
    /** The request with the least key goes first. */
    public val key: (QueueHead) -> Double,
    /** True if short requests have a queue of their own. */
    public val hasShortClass: Boolean,
    /** How long later requests may overtake one that fits nowhere yet. */
    public val bypassMs: Long,
)

/** A target that could take a request. */
public class TargetCandidate internal constructor(
    public val target: TargetId,
    public val inFlight: Int,
    /** The number of requests that the target may hold now. */
    public val limit: Int,
    /** The memory that the request may use, 0 if the target has no such limit. */
    public val memoryTokens: Long,
    /** The expected share of the prompt that the target has cached, 0 to 1. */
    public val affinity: Double,
    /** The uncached prompt tokens that a complete match would save. */
    public val promptTokens: Int,
    /** True while a request that may have crashed another target runs there. */
    public val hasSuspect: Boolean,
    private val computePeakTokens: () -> Double,
) {
    private var cachedPeakTokens = -1.0

    /** The expected peak memory of the running set with the request, including the risk margin and drift. */
    public fun peakTokens(): Double {
        if (cachedPeakTokens < 0) cachedPeakTokens = computePeakTokens()
        return cachedPeakTokens
    }
}

/** Returns whether a target with a free slot admits a request; an idle target admits any that fits alone. */
public typealias AdmissionRule = (TargetCandidate) -> Boolean

/** Chooses one of at least one candidate. */
public typealias TargetChoice = (List<TargetCandidate>) -> TargetCandidate

/** Returns the limit of a target, given its slow-start limit and its full limit. */
public typealias ConcurrencyLimit = (slowStartLimit: Int, fullLimit: Int) -> Int

/** The policies of one pool; a policy may have state, so each pool has its own instance. */
public class PoolPolicies(
    public val queueOrder: QueueOrder,
    public val targetChoice: TargetChoice,
    public val admissionRule: AdmissionRule,
    public val concurrencyLimit: ConcurrencyLimit,
)

/** How long requests may overtake an older one that fits nowhere; then others for its service wait for it. */
private const val BYPASS_MS = 1_000L

/** A complete prefix match outweighs this difference in load. */
private const val AFFINITY_WEIGHT = 0.5

/** Prompts of this many tokens get half the affinity weight, because short prompts are cheap to recompute. */
private const val AFFINITY_HALF_TOKENS = 256.0

/** The cost of a target that runs a suspect: other requests go there only if no other target has capacity. */
private const val SUSPECT_PENALTY = 2.0

private val queueOrders: Map<String, () -> QueueOrder> = mapOf(
    "fair" to { QueueOrder({ it.virtualTime }, hasShortClass = true, bypassMs = BYPASS_MS) },
    "fifo" to { QueueOrder({ it.arrival.toDouble() }, hasShortClass = false, bypassMs = 0) },
)

private val targetChoices: Map<String, () -> TargetChoice> = mapOf(
    "expected-memory" to { { candidates -> candidates.minBy(::placementCost) } },
    "least-in-flight" to { { candidates -> candidates.minBy { it.inFlight } } },
    "round-robin" to { roundRobin() },
)

private val admissionRules: Map<String, () -> AdmissionRule> = mapOf(
    "expected-memory" to {
        { it.memoryTokens <= 0 || it.inFlight == 0 || it.peakTokens() <= it.memoryTokens }
    },
    "full-limit" to { { true } },
)

private val concurrencyLimits: Map<String, ConcurrencyLimit> = mapOf(
    "on" to { slowStartLimit, fullLimit -> minOf(slowStartLimit, fullLimit) },
    "off" to { _, fullLimit -> fullLimit },
)

/**
 * Returns new policies for one pool, selected by name.
 *
 * @return the policies, or a message with the unknown name and the valid ones.
 */
public fun poolPolicies(
    queueOrder: String = "fair",
    targetChoice: String = "expected-memory",
    admission: String = "expected-memory",
    slowStart: String = "on",
): Either<String, PoolPolicies> = either {
    fun <T> select(kind: String, name: String, choices: Map<String, T>): T =
        ensureNotNull(choices[name]) { "$kind is \"$name\" but must be one of ${choices.keys.joinToString()}" }
    PoolPolicies(
        select("queue_order", queueOrder, queueOrders)(),
        select("target_choice", targetChoice, targetChoices)(),
        select("admission", admission, admissionRules)(),
        select("slow_start", slowStart, concurrencyLimits),
    )
}

private fun placementCost(candidate: TargetCandidate): Double {
    val slots = candidate.inFlight.toDouble() / candidate.limit
    val memory = if (candidate.memoryTokens > 0) candidate.peakTokens() / candidate.memoryTokens else 0.0
    val saving = candidate.promptTokens / (candidate.promptTokens + AFFINITY_HALF_TOKENS)
    val suspect = if (candidate.hasSuspect) SUSPECT_PENALTY else 0.0
    return maxOf(slots, memory) - AFFINITY_WEIGHT * candidate.affinity * saving + suspect
}

private fun roundRobin(): TargetChoice {
    var last = ""
    return { candidates ->
        val sorted = candidates.sortedBy { it.target.value }
        val next = sorted.firstOrNull { it.target.value > last } ?: sorted.first()
        last = next.target.value
        next
    }
}
