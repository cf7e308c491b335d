/*
 * Changes of the entry VM registry and of pool ownership that the leader proposes, and the state changes they make.
 */
package fulmarshunt.entry

import fulmarshunt.FencingNumber
import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Gives [pool] to [vm], or to nobody. */
@Serializable
public data class PoolMove(
    public val pool: PoolId,
    public val vm: VmId?,
    /** The owner that the leader saw; a move that was decided on another owner has no effect. */
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

/** Changes owners of pools; the fencing number is the index of the log entry. */
@Serializable
@SerialName("move")
public data class MovePools(public val moves: List<PoolMove>) : RegistryChange

/** Returns the state changes of [change] in the log entry at [index]. */
internal fun SharedState.changesOf(index: LogIndex, change: RegistryChange): List<StateChange> = when (change) {
    is RegisterVm -> if (entryVms[change.vm.id] == change.vm) emptyList() else listOf(EntryVmRegistered(change.vm))
    is RemoveVms -> {
        val gone = change.vms.filter { it in entryVms }.toSet()
        pools.filterValues { it.vm in gone }.keys.sortedBy { it.value }.map { PoolAssigned(it, null) } +
            gone.map { EntryVmRemoved(it) }
    }
    is MovePools ->
        change.moves
            .filter { pools[it.pool] == it.previous && (it.vm == null || it.vm in entryVms) }
            .map { move -> PoolAssigned(move.pool, move.vm?.let { PoolOwner(it, FencingNumber(index.value)) }) }
}
