/*
 * The changes of the entry VM registry and of pool ownership that the leader proposes, and the resulting state changes.
 */
package fulmarshunt.entry

import fulmarshunt.FencingNumber
import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Assigns [pool] to [vm], or leaves it without an owner if [vm] is null. */
@Serializable
public data class PoolMove(
    public val pool: PoolId,
    public val vm: VmId?,
    /** The owner at the time of the decision; if the owner differs when the move is applied, it has no effect. */
    public val previous: PoolOwner?,
)

/** A change of the registry or of pool ownership. */
@Serializable
public sealed interface RegistryChange

/** Adds [vm] or replaces its address and failure domain. */
@Serializable
@SerialName("register")
public data class RegisterVm(public val vm: EntryVm) : RegistryChange

/** Removes [vms]; their pools have no owner afterwards. */
@Serializable
@SerialName("remove")
public data class RemoveVms(public val vms: List<VmId>) : RegistryChange

/** Changes the owners of pools; the index of the log entry becomes the fencing number. */
@Serializable
@SerialName("move")
public data class MovePools(public val moves: List<PoolMove>) : RegistryChange

/** Returns the state changes that [change] makes in the log entry at [index]. */
internal fun SharedState.changesOf(index: LogIndex, change: RegistryChange): List<StateChange> = when (change) {
    is RegisterVm -> if (entryVms[change.vm.id] == change.vm) emptyList() else listOf(EntryVmRegistered(change.vm))
    is RemoveVms -> {
        val removed = change.vms.filter { it in entryVms }.toSet()
        pools.filterValues { it.vm in removed }.keys.sortedBy { it.value }.map { PoolAssigned(it, null) } +
            removed.map { EntryVmRemoved(it) }
    }
    is MovePools ->
        change.moves
            .filter { pools[it.pool] == it.previous && (it.vm == null || it.vm in entryVms) }
            .map { move -> PoolAssigned(move.pool, move.vm?.let { PoolOwner(it, FencingNumber(index.value)) }) }
}
