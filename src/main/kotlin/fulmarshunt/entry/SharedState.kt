/*
 * The replicated state that each entry VM holds: the configuration, the entry VMs, the owners of the pools and the
 * quarantined requests. Voters apply log entries to it; entry VMs receive the resulting changes in log order.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.ConfigurationChange
import fulmarshunt.operator.with
import fulmarshunt.putting
import fulmarshunt.removing
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An entry VM that has registered with control. */
@Serializable
public data class EntryVm(public val id: VmId, public val address: Address, public val domain: FailureDomainId)

/** The owner of a pool: the only entry VM that admits work to the pool's targets. */
@Serializable
public data class PoolOwner(public val vm: VmId, public val fence: FencingNumber)

/** A change of the shared state. */
@Serializable
public sealed interface StateChange

/** The changes of an accepted operator command. */
@Serializable
@SerialName("configured")
public data class Configured(public val revision: Revision, public val changes: List<ConfigurationChange>) :
    StateChange

/** An entry VM was registered, or its address or failure domain has changed. */
@Serializable
@SerialName("entry-vm")
public data class EntryVmRegistered(public val vm: EntryVm) : StateChange

/** An entry VM has lost its lease or finished a graceful shutdown. */
@Serializable
@SerialName("entry-vm-gone")
public data class EntryVmRemoved(public val vm: VmId) : StateChange

/** A pool was assigned to a new owner, or to none. */
@Serializable
@SerialName("pool")
public data class PoolAssigned(public val pool: PoolId, public val owner: PoolOwner?) : StateChange

/** A request that crashes targets is refused until [untilEpochMs] by the wall clock of the voters. */
@Serializable
@SerialName("quarantine")
public data class Quarantined(public val fingerprint: Fingerprint, public val untilEpochMs: Long) : StateChange

/** A quarantine has ended. */
@Serializable
@SerialName("quarantine-end")
public data class QuarantineEnded(public val fingerprint: Fingerprint) : StateChange

/** The replicated state that every entry VM sees. */
@Serializable
public data class SharedState(
    /** The last log entry that this state includes. */
    public val index: LogIndex = LogIndex(0),
    public val configuration: Configuration = Configuration(),
    public val entryVms: Map<VmId, EntryVm> = emptyMap(),
    public val pools: Map<PoolId, PoolOwner> = emptyMap(),
    public val quarantine: Map<Fingerprint, Long> = emptyMap(),
)

/** The changes that the log entry at [index] made. */
@Serializable
public data class IndexedChanges(public val index: LogIndex, public val changes: List<StateChange>)

/** Returns this state with the changes of one log entry applied. */
public fun SharedState.with(indexed: IndexedChanges): SharedState {
    require(indexed.index > index) { "entry ${indexed.index} is already included in the state at $index" }
    return indexed.changes.fold(this) { state, change -> state.with(change) }.copy(index = indexed.index)
}

private fun SharedState.with(change: StateChange): SharedState = when (change) {
    is Configured ->
        copy(
            configuration =
            change.changes
                .fold(configuration) { current, step -> current.with(step) }
                .copy(revision = change.revision),
        )
    is EntryVmRegistered -> copy(entryVms = entryVms.putting(change.vm.id, change.vm))
    is EntryVmRemoved -> copy(entryVms = entryVms.removing(change.vm))
    is PoolAssigned -> copy(pools = change.owner?.let { pools.putting(change.pool, it) } ?: pools.removing(change.pool))
    is Quarantined -> copy(quarantine = quarantine.putting(change.fingerprint, change.untilEpochMs))
    is QuarantineEnded -> copy(quarantine = quarantine.removing(change.fingerprint))
}
