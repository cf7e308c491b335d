/*
 * The rules by which a blank voter starts with an initial membership.
 */
package fulmarshunt.voter

import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import java.nio.file.Path

class FormationTest {
    private val voters = InitialVoters(listOf(self, peerB, peerC).associate { it.vm to it.address }, self.vm)

    private fun blank(member: Member) = Identity(member.id, member.vm, isBlank = true, isBootstrapping = true)

    private fun formed(candidate: Identity, vararg replies: Identity) =
        initialMembershipOrNull(candidate, voters, replies.associateBy { it.vm })

    /** Guards against a cluster that cannot start. */
    @Test
    fun `the first voter forms a cluster when all are blank`() {
        val header = formed(blank(self), blank(peerB), blank(peerC))
        expectThat(header?.membership?.members).isEqualTo(listOf(self, peerB, peerC))
        expectThat(formed(blank(peerB), blank(self), blank(peerC))).isNull()
    }

    /** Guards against a wiped first voter that forms a second cluster beside the one that has state. */
    @Test
    fun `no cluster is formed beside another or without an answer`() {
        val other = blank(peerC)
        expectThat(formed(blank(self), blank(peerB))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(isBlank = false))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(isBootstrapping = false))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(id = peerB.id))).isNull()
    }

    /** Guards against a wiped voter that takes the place of its former self. */
    @Test
    fun `a voter joins only a membership with its own id`() {
        val previous = blank(self).copy(isBlank = false, initial = threeVoters.header)
        expectThat(formed(blank(peerB), previous)).isEqualTo(threeVoters.header)
        expectThat(formed(blank(peerB).copy(id = VoterId("b#2")), previous, blank(peerC))).isNull()
    }

    /** Guards against an answer of another VM at an address that was reassigned. */
    @Test
    fun `an answer of another VM does not count`() {
        val replies = mapOf(peerB.vm to blank(peerC), peerC.vm to blank(peerC).copy(vm = VmId("x")))
        expectThat(initialMembershipOrNull(blank(self), voters, replies)).isNull()
    }

    /** Guards against a membership that others adopt and its former loses in a crash, and then forms anew. */
    @Test
    fun `the initial membership is told once it is on disk`() {
        val settings = VoterSettings(self.vm, self.address, Path.of("unused"), true, { voters })
        val stored = StoredState(self.id, HardState(Term(0)), threeVoters, EntryLog(LogPosition.START))
        val state = initialState(settings, stored, 0)
        expectThat(identityOf(state, settings, isSnapshotStored = false).initial).isNull()
        expectThat(identityOf(state, settings, isSnapshotStored = false).isBlank).isFalse()
        expectThat(identityOf(state, settings, isSnapshotStored = true).initial).isEqualTo(threeVoters.header)
    }
}
