/*
 * The mapping of targets to pools. Every process computes the same pool for a target from the configuration.
 */
package fulmarshunt.entry

import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.TargetId
import fulmarshunt.operator.Configuration
import net.openhft.hashing.LongHashFunction

private val hash: LongHashFunction = LongHashFunction.xx3()

/** Returns the pool with number [shard] of [domain]. */
public fun poolId(domain: FailureDomainId, shard: Int): PoolId = PoolId("${domain.value}/$shard")

/** Returns the failure domain of [pool]. */
public fun domainOf(pool: PoolId): FailureDomainId = FailureDomainId(pool.value.substringBeforeLast('/'))

/** Returns the pool that [target] in [domain] belongs to, by rendezvous hashing over the shards of the domain. */
public fun Configuration.poolOf(target: TargetId, domain: FailureDomainId): PoolId {
    val shards = domains[domain]?.shards ?: 1
    val shard = (0 until shards).maxByOrNull { hash.hashChars("${target.value}#$it") } ?: 0
    return poolId(domain, shard)
}

/** Returns all pools of the configured failure domains. */
public fun Configuration.allPools(): List<PoolId> = domains.values
    .sortedBy { it.id.value }
    .flatMap { domain -> (0 until domain.shards).map { poolId(domain.id, it) } }
