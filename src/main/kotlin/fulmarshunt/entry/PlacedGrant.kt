/*
 * A grant together with the data that decides whether it may still be used.
 */
package fulmarshunt.entry

import fulmarshunt.PoolId

/** A grant of [pool] that arrived at [receivedAtMs]. */
public data class PlacedGrant(
    public val pool: PoolId,
    public val request: AdmissionRequest,
    public val granted: Granted,
    public val receivedAtMs: Long,
)

/**
 * Returns why this grant must not be used at [nowMs], or null if it may be.
 *
 * Call this directly before the first byte is sent, because the process may have been suspended between the grant and
 * its use.
 */
public fun PlacedGrant.invalidReasonOrNull(state: SharedState, hasLease: Boolean, nowMs: Long): String? = when {
    nowMs - receivedAtMs >= GRANT_VALID_MS -> "the grant is too old"
    !hasLease -> "this entry VM has no lease"
    state.configuration.domains[domainOf(pool)]?.isDrained == true -> "failure domain ${domainOf(pool)} is drained"
    granted.target in state.configuration.drainedTargets -> "target ${granted.target} is drained"
    state.pools[pool]?.fence != granted.fence -> "pool $pool has a new owner"
    else -> null
}
