/*
 * Ticks that come late because the process was paused, before the messages that arrived meanwhile.
 */
package fulmarshunt.voter

import fulmarshunt.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import kotlin.random.Random

class LateTickTest {
    private val voter = ScriptedVoter(Random(1))
    private val timing = voter.state.timing

    private fun heartbeatOf(leader: Member) =
        voter.receive(leader, 1, Append(LogPosition.START, emptyList(), voter.state.commit, Stamp(1, voter.nowMs)))

    private fun preVotes() = voter.sent.filter { it.message is PreVote }

    /** Guards against a follower that leaves its leader after a pause of its own, although heartbeats have arrived. */
    @Test
    fun `a paused follower handles messages before it starts an election`() {
        heartbeatOf(peerB)
        voter.nowMs = voter.state.deadlineMs + 2_000
        voter.handle(Tick)
        expectThat(preVotes()).isEmpty()
        expectThat(voter.state.leader).isEqualTo(peerB.id)
        heartbeatOf(peerB)
        voter.advanceToDeadline()
        expectThat(preVotes()).isNotEmpty()
    }

    /** Guards against a follower that never starts an election because each of its ticks is late. */
    @Test
    fun `an election is postponed once`() {
        heartbeatOf(peerB)
        repeat(2) {
            voter.nowMs = voter.state.deadlineMs + 2_000
            voter.handle(Tick)
        }
        expectThat(preVotes()).isNotEmpty()
    }

    /** Guards against a voter without a leader that waits longer after the start of a busy process. */
    @Test
    fun `without a leader, an election is not postponed`() {
        voter.nowMs = voter.state.deadlineMs + 2_000
        voter.handle(Tick)
        expectThat(preVotes()).isNotEmpty()
    }

    /** Guards against a leader that stops leading after a pause of its own, although its followers have replied. */
    @Test
    fun `a paused leader handles replies before it counts them`() {
        val term = voter.becomeLeaderOfThree()
        voter.nowMs = voter.state.deadlineMs + 2 * timing.electionTimeoutMaxMs
        voter.handle(Tick)
        expectThat(voter.state.role).isA<Leader>()
        expectThat(voter.state.holdsQuorum(voter.nowMs)).isEqualTo(false)
        voter.nowMs += timing.heartbeatMs
        voter.handle(Tick)
        expectThat(voter.state.role).isA<Follower>()
        expectThat(voter.state.term).isEqualTo(Term(term))
    }
}
