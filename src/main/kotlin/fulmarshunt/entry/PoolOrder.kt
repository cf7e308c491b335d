/*
 * The order in which the pools are asked for a place: the pool of the VM's own failure domain first, because its
 * targets are nearest, then the others by how long they made requests wait lately and how far away they are.
 */
package fulmarshunt.entry

import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.operator.Configuration
import net.openhft.hashing.LongHashFunction
import kotlin.math.pow

/** An observed wait counts half after this time, because load reports of the past say little about the present. */
private const val WAIT_HALF_LIFE_MS = 1_000.0

private const val SMOOTHING = 0.3

private val hash: LongHashFunction = LongHashFunction.xx3()

/** What this VM has seen of a pool. */
public data class PoolObservation(
    /** The recent time between a request for admission and its answer, without the round trip. */
    public val waitMs: Double = 0.0,
    public val roundTripMs: Double = 0.0,
    public val observedAtMs: Long = 0,
) {
    /** Returns the expected wait at [nowMs]. */
    public fun expectedWaitMs(nowMs: Long): Double =
        waitMs * 0.5.pow((nowMs - observedAtMs).coerceAtLeast(0) / WAIT_HALF_LIFE_MS)

    /** Returns this observation with one more wait. */
    public fun withWait(waitMs: Long, nowMs: Long): PoolObservation = copy(
        waitMs = expectedWaitMs(nowMs) * (1 - SMOOTHING) + waitMs * SMOOTHING,
        observedAtMs = nowMs,
    )

    /** Returns this observation with one more round trip. */
    public fun withRoundTrip(sampleMs: Long): PoolObservation =
        copy(roundTripMs = roundTripMs * (1 - SMOOTHING) + sampleMs * SMOOTHING)
}

/**
 * Returns the pools to ask, best first.
 *
 * Pools of drained failure domains are left out. Of a failure domain with several shards, the shards come in the order
 * of a rendezvous hash of the shortest prefix, so that requests with the same prefix meet the same prefix cache.
 */
public fun Configuration.poolOrder(
    own: FailureDomainId,
    request: AdmissionRequest,
    observations: Map<PoolId, PoolObservation>,
    nowMs: Long,
): List<PoolId> {
    val affinity = request.prefixHashes.firstOrNull()?.toString() ?: request.fingerprint.value
    val cost = { pool: PoolId ->
        observations[pool]?.let { it.expectedWaitMs(nowMs) + it.roundTripMs } ?: 0.0
    }
    return domains.values
        .filterNot { it.isDrained }
        .map { domain ->
            domain.id to (0 until domain.shards)
                .map { poolId(domain.id, it) }
                .sortedByDescending { hash.hashChars("$affinity@$it") }
        }.sortedWith(
            compareBy({ (id, _) -> id != own }, { (_, pools) -> cost(pools.first()) }, { (id, _) -> id.value }),
        ).flatMap { it.second }
}
