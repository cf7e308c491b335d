/*
 * The effects of a change of the pool assignments on the VM that hosts pools.
 */
package fulmarshunt.entry

import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.VmId

/** The difference between the pools that a VM hosts and those that are assigned to it. */
public data class HostingChange(public val dropped: Set<PoolId>, public val added: Map<PoolId, FencingNumber>)

/**
 * Returns the pools that [vm] must drop and add if it hosts [hosted] under the given fencing numbers and gets [state].
 *
 * A pool that is assigned again under another fencing number is dropped and added, because another VM may have owned it
 * in between.
 */
public fun hostingChange(hosted: Map<PoolId, FencingNumber>, state: SharedState, vm: VmId): HostingChange {
    val assigned = state.pools.filterValues { it.vm == vm }.mapValues { it.value.fence }
    return HostingChange(
        dropped = hosted.filter { (pool, fence) -> assigned[pool] != fence }.keys,
        added = assigned.filter { (pool, fence) -> hosted[pool] != fence },
    )
}

/**
 * Returns the tickets in [generations] that no caller waits for: they are not among the [known] ones, and the VM that
 * started them is not registered.
 */
public fun <T> orphanedTickets(generations: Map<T, VmId>, known: Set<T>, state: SharedState): Set<T> =
    generations.filter { (ticket, vm) -> ticket !in known && vm !in state.entryVms }.keys
