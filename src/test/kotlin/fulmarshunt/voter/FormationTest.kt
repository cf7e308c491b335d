/*
 * The rules under which a blank voter starts with an initial membership.
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

    /** Guards against a wiped forming voter that forms a second cluster next to the existing one. */
    @Test
    fun `no cluster is formed next to another or without all replies`() {
        val other = blank(peerC)
        expectThat(formed(blank(self), blank(peerB))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(isBlank = false))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(isBootstrapping = false))).isNull()
        expectThat(formed(blank(self), blank(peerB), other.copy(id = peerB.id))).isNull()
    }

    /** Guards against a wiped voter that takes the place of the voter that its VM ran before. */
    @Test
    fun `a voter joins only a membership that contains its id`() {
        val formingVoter = blank(self).copy(isBlank = false, initial = threeVoters.header)
        expectThat(formed(blank(peerB), formingVoter)).isEqualTo(threeVoters.header)
        expectThat(formed(blank(peerB).copy(id = VoterId("b#2")), formingVoter, blank(peerC))).isNull()
    }

    /** Guards against a reply of another VM at a reassigned address. */
    @Test
    fun `a reply of another VM does not count`() {
        val replies = mapOf(peerB.vm to blank(peerC), peerC.vm to blank(peerC).copy(vm = VmId("x")))
        expectThat(initialMembershipOrNull(blank(self), voters, replies)).isNull()
    }

    /** Guards against a membership that others adopt, but that the forming voter loses in a crash and forms again. */
    @Test
    fun `the initial membership is sent only once it is on disk`() {
        val settings = VoterSettings(self.vm, self.address, Path.of("unused"), true, { voters })
        val stored = StoredState(self.id, HardState(Term(0)), threeVoters, EntryLog(LogPosition.START))
        val state = initialState(settings, stored, 0)
        expectThat(identityOf(state, settings, isSnapshotStored = false).initial).isNull()
        expectThat(identityOf(state, settings, isSnapshotStored = false).isBlank).isFalse()
        expectThat(identityOf(state, settings, isSnapshotStored = true).initial).isEqualTo(threeVoters.header)
    }
}
