/*
 * Batches the registrations of entry VMs, so that VMs that start together share one log entry. With a separate entry
 * for each of N VMs, every entry would be sent to all VMs, which is quadratic in N.
 */
package fulmarshunt.entry

import arrow.core.Either
import fulmarshunt.VmId
import fulmarshunt.process.ControlThread
import fulmarshunt.voter.ProposeFailure
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch

/** The time between two log entries with registrations; renewals wait for it, so it is less than their timeout. */
private const val REGISTRATION_PAUSE_MS = 100L

/** Registers entry VMs with [propose], which commits all of the given VMs or none. Confined to the control thread. */
internal class Registrations(
    private val control: ControlThread,
    private val propose: suspend (List<EntryVm>) -> Either<ProposeFailure, Unit>,
) {
    private class Batch {
        val vms = LinkedHashMap<VmId, EntryVm>()
        val outcome = CompletableDeferred<Either<ProposeFailure, Unit>>()
    }

    private var nextBatch = Batch()
    private val proposals = PacedAction(REGISTRATION_PAUSE_MS, ::proposeNextBatch)

    /** Starts proposing until the control thread is closed. */
    fun start() {
        control.scope.launch { proposals.serve() }
    }

    /** Registers [vm] and returns once the registration is committed or has failed; may be called on any thread. */
    suspend fun register(vm: EntryVm): Either<ProposeFailure, Unit> {
        val batch = control.run {
            proposals.request()
            nextBatch.also { it.vms[vm.id] = vm }
        }
        return batch.outcome.await()
    }

    private suspend fun proposeNextBatch() {
        val batch = nextBatch
        if (batch.vms.isEmpty()) return
        nextBatch = Batch()
        batch.outcome.complete(propose(batch.vms.values.toList()))
    }
}
