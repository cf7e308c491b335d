/*
 * The order in which pools are tried for a request: those of the VM's own failure domain first, because their targets
 * have the shortest round trip, then the others by their recent wait and their round trip.
 */
package fulmarshunt.entry

import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.operator.Configuration
import net.openhft.hashing.LongHashFunction
import kotlin.math.pow

/** The time after which an observed wait counts half, because it says little about the present load. */
private const val WAIT_HALF_LIFE_MS = 1_000.0

/** The weight of a new sample in the exponential moving averages. */
private const val SMOOTHING_FACTOR = 0.3

private val hash: LongHashFunction = LongHashFunction.xx3()

/** The waits and round trips that this VM has observed for a pool. */
public data class PoolObservation(
    /** The moving average of the time between a request for admission and its reply. */
    public val waitMs: Double = 0.0,
    public val roundTripMs: Double = 0.0,
    public val observedAtMs: Long = 0,
) {
    /** Returns the expected wait at [nowMs]. */
    public fun expectedWaitMs(nowMs: Long): Double =
        waitMs * 0.5.pow((nowMs - observedAtMs).coerceAtLeast(0) / WAIT_HALF_LIFE_MS)

    /** Returns this observation with one more sample of the wait. */
    public fun withWait(waitMs: Long, nowMs: Long): PoolObservation = copy(
        waitMs = expectedWaitMs(nowMs) * (1 - SMOOTHING_FACTOR) + waitMs * SMOOTHING_FACTOR,
        observedAtMs = nowMs,
    )

    /** Returns this observation with one more sample of the round trip. */
    public fun withRoundTrip(sampleMs: Long): PoolObservation =
        copy(roundTripMs = roundTripMs * (1 - SMOOTHING_FACTOR) + sampleMs * SMOOTHING_FACTOR)
}

/**
 * Returns the pools to try for [request], best first.
 *
 * Pools of drained failure domains are left out. The shards of a failure domain are ordered by a rendezvous hash of the
 * shortest prefix, so that requests with the same prefix use the same prefix cache.
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
