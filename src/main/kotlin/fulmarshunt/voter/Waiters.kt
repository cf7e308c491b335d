/*
 * The callers that wait for a commit or for a confirmation of leadership. Confined to the control thread.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.LogIndex
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred

internal class Waiters {
    private val proposals = HashMap<LogIndex, CompletableDeferred<Either<ProposeFailure, ByteArray>>>()
    private val barriers = mutableListOf<Pair<Long, CompletableDeferred<Boolean>>>()
    private val changes = mutableListOf<Pair<(Membership) -> Boolean, CompletableDeferred<Either<String, Unit>>>>()

    fun awaitProposal(index: LogIndex): Deferred<Either<ProposeFailure, ByteArray>> =
        CompletableDeferred<Either<ProposeFailure, ByteArray>>().also { proposals[index] = it }

    fun awaitRound(round: Long): Deferred<Boolean> = CompletableDeferred<Boolean>().also { barriers += round to it }

    /** Waits until the committed membership satisfies [condition]. */
    fun awaitMembership(condition: (Membership) -> Boolean): Deferred<Either<String, Unit>> =
        CompletableDeferred<Either<String, Unit>>().also { changes += condition to it }

    fun onApplied(index: LogIndex, result: ByteArray) {
        proposals.remove(index)?.complete(result.right())
    }

    /** Completes the barriers and changes that [state] satisfies. */
    fun onState(state: VoterState) {
        val confirmed = if (barriers.isEmpty()) null else state.confirmedRoundOrNull()
        if (confirmed != null) {
            barriers.filter { it.first <= confirmed }.forEach { it.second.complete(true) }
            barriers.removeAll { it.first <= confirmed }
        }
        if (changes.isNotEmpty()) {
            val membership = state.committedMembershipOrNull ?: return
            changes.filter { it.first(membership) }.forEach { it.second.complete(Unit.right()) }
            changes.removeAll { it.first(membership) }
        }
    }

    /** Fails all waiters with [reason], because this voter no longer leads or has stopped. */
    fun fail(reason: String) {
        proposals.values.forEach { it.complete(ProposeFailure.Undecided(reason).left()) }
        proposals.clear()
        barriers.forEach { it.second.complete(false) }
        barriers.clear()
        changes.forEach { it.second.complete(reason.left()) }
        changes.clear()
    }
}
