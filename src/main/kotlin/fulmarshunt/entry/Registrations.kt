/*
 * Collects the entry VMs that ask to be registered, so that VMs that start together share one log entry. One entry for
 * each of N VMs would be sent to all of them, which is quadratic in N.
 */
package fulmarshunt.entry

import arrow.core.Either
import fulmarshunt.VmId
import fulmarshunt.process.ControlThread
import fulmarshunt.voter.ProposeFailure
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch

/** The time between two log entries with registrations; a renewal waits for it, so it is less than its timeout. */
private const val REGISTRATION_PAUSE_MS = 100L

/** Registers entry VMs by [propose], which commits all of the given VMs or none; confined to the control thread. */
internal class Registrations(
    private val control: ControlThread,
    private val propose: suspend (List<EntryVm>) -> Either<ProposeFailure, Unit>,
) {
    private class Batch {
        val vms = LinkedHashMap<VmId, EntryVm>()
        val outcome = CompletableDeferred<Either<ProposeFailure, Unit>>()
    }

    private var waiting = Batch()
    private val proposals = PacedAction(REGISTRATION_PAUSE_MS, ::proposeWaiting)

    /** Starts proposing until the control thread is closed. */
    fun start() {
        control.scope.launch { proposals.serve() }
    }

    /** Registers [vm] and returns once it is committed; called on any thread. */
    suspend fun register(vm: EntryVm): Either<ProposeFailure, Unit> {
        val batch = control.run {
            proposals.request()
            waiting.also { it.vms[vm.id] = vm }
        }
        return batch.outcome.await()
    }

    private suspend fun proposeWaiting() {
        val batch = waiting
        if (batch.vms.isEmpty()) return
        waiting = Batch()
        batch.outcome.complete(propose(batch.vms.values.toList()))
    }
}
