/*
 * An in-memory replicated log for tests: entries are committed immediately, and the test chooses the leader.
 */
package fulmarshunt.voter

import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** The entries that all voters of a test share. */
class MemoryLog {
    private val ordered = Mutex()
    private var lastIndex = 0L
    private val voters = mutableListOf<Voter>()

    /** One voter with its own control thread and control state. */
    inner class Voter(val control: ControlThread) {
        val machine = controlStateMachineOf()
        val leadership = MutableStateFlow(Leadership(Term(0), false, null))

        /** Set by tests to commit a proposal without returning a reply. */
        @Volatile
        var losesReplies = false

        /** Set by tests to delay the confirmation of a new leader. */
        @Volatile
        var isConfirmed = true

        val access =
            LogAccess(
                propose = { command, _ -> propose(this, command) },
                confirmLeadership = { isConfirmed && leadership.value.isLeader },
                holdsQuorum = { leadership.value.isLeader },
                leadership = leadership,
                addVoter = { _, _, _, _ -> Unit.right() },
                removeVoter = { _, _ -> "the voter does not exist".left() },
                status = { emptyList() },
            )
    }

    fun voter(control: ControlThread): Voter = Voter(control).also { voters += it }

    /** Makes [leader] lead in the next term, reachable at [address]. */
    fun elect(leader: Voter?, address: Address?) {
        val term = Term(voters.maxOf { it.leadership.value.term }.value + 1)
        voters.forEach { it.leadership.value = Leadership(term, it === leader, address) }
    }

    private suspend fun propose(voter: Voter, command: ByteArray) = if (!voter.leadership.value.isLeader) {
        ProposeFailure.NotLeader(voter.leadership.value.leader).left()
    } else {
        val reply = append(voter, command)
        if (voter.losesReplies) ProposeFailure.Undecided("the test dropped the reply").left() else reply.right()
    }

    private suspend fun append(voter: Voter, command: ByteArray): ByteArray = ordered.withLock {
        lastIndex += 1
        val replies =
            voters.associateWith { it.control.run { it.machine.asReplicated.apply(LogIndex(lastIndex), command) } }
        replies.getValue(voter)
    }
}
