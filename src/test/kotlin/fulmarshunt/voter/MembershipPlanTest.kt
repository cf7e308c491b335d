/*
 * Changes of the membership that follow the control VMs that exist.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.VmId
import fulmarshunt.VoterId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class MembershipPlanTest {
    private fun vm(name: String, incarnation: Int = 1) =
        ControlVm(VmId(name), VoterId("$name#$incarnation"), Address(name, 7200))

    private fun member(vm: ControlVm, isLearner: Boolean = false) = Member(vm.voter, vm.vm, vm.linkAddress, isLearner)

    private fun membership(vararg vms: ControlVm) = Membership(vms.map { member(it) })

    private val five = listOf("a", "b", "c", "d", "e").map { vm(it) }

    private fun next(membership: Membership, present: List<ControlVm>) =
        nextMembershipStepOrNull(membership, present, five.first().voter)

    /** Guards against a voter that keeps its vote although it lost its disk. */
    @Test
    fun `a VM with an empty disk loses its previous membership and joins as a new member`() {
        val wiped = vm("e", 2)
        val present = five.dropLast(1) + wiped
        val all = membership(*five.toTypedArray())
        val remove = next(all, present) as MembershipStep.Remove
        expectThat(remove.id).isEqualTo(vm("e").voter)
        expectThat(next(all.without(remove.id), present)).isEqualTo(MembershipStep.Add(wiped))
    }

    /** Guards against a cluster that shrinks while its VMs only restart. */
    @Test
    fun `a silent voter without a successor stays a member`() {
        expectThat(next(membership(*five.toTypedArray()), five.dropLast(2))).isNull()
    }

    /** Guards against a replaced VM that counts towards the size of a quorum forever. */
    @Test
    fun `a silent voter is replaced by a successor`() {
        val successor = vm("f")
        val present = five.dropLast(1) + successor
        val all = membership(*five.toTypedArray())
        val remove = next(all, present) as MembershipStep.Remove
        expectThat(remove.id).isEqualTo(vm("e").voter)
        expectThat(next(all.without(remove.id), present)).isEqualTo(MembershipStep.Add(successor))
        val planned = membership(*(five + successor).toTypedArray())
        expectThat(next(planned, present)).isEqualTo(
            MembershipStep.Remove(vm("e").voter, "it is silent and has a successor"),
        )
    }

    /** Guards against changes of a membership that matches the control VMs. */
    @Test
    fun `nothing changes while all voters are present`() {
        expectThat(next(membership(*five.toTypedArray()), five)).isNull()
    }

    /** Guards against a learner that blocks the next one forever. */
    @Test
    fun `a silent learner is removed`() {
        val learner = vm("f")
        val membership = Membership(five.map { member(it) } + member(learner, isLearner = true))
        expectThat((next(membership, five) as MembershipStep.Remove).id).isEqualTo(learner.voter)
    }
}
