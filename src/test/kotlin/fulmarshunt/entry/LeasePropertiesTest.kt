/*
 * Leases and pool ownership under random sequences of events.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.Term
import fulmarshunt.VmId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** A fixed seed, so that every build tests the same cases. */
private const val SEED = "20261204"

private const val ROUND_MS = 100L

class LeasePropertiesTest {
    @Provide
    fun events(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 9_999).list().ofMinSize(50).ofMaxSize(400)

    /** Guards against two VMs that admit to one pool, and against a command that is reported in effect too early. */
    @Property(tries = 5_000, seed = SEED)
    fun noPoolHasTwoOwnersAndNothingIsInEffectTooEarly(@ForAll("events") events: List<Int>) {
        val simulation = LeaseSimulation(4, shards = 6)
        for (event in events) {
            simulation.perform(event)
            val pools = simulation.shared.configuration.allPools()
            expectThat(pools.map { simulation.admitting(it).size }).all { isLessThanOrEqualTo(1) }
            if (simulation.isInEffect()) {
                expectThat(simulation.vms.filter(simulation::hasLease).map { it.state.index })
                    .all { isGreaterThanOrEqualTo(simulation.shared.index) }
            }
        }
    }

    private fun LeaseSimulation.perform(event: Int) {
        val vm = vms[event / 100 % vms.size]
        when (event % 100) {
            in 0..19 -> renew(vm)
            in 20..27 -> sendRenewal(vm)
            in 28..35 -> deliverRenewal()
            in 36..42 -> deliverReply()
            in 43..45 -> loseReply()
            in 46..57 -> push(vm)
            in 58..69 -> propose()
            in 70..75 -> commitProposal()
            in 76..77 -> loseProposal(commits = event / 1_000 % 2 == 0)
            78 -> electLeader(commits = event / 1_000 % 2 == 0)
            79 -> shutDown(vm)
            80 -> restart(vm)
            81 -> releaseAndRestart(vm)
            in 82..84 -> runCompleteRound()
            // The lease of one VM expires while the others renew.
            in 85..87 -> repeat(34) { roundWithout(vm, proposes = event / 1_000 % 2 == 0) }
            in 88..92 -> pass(1_500)
            else -> pass(event / 100 * 7L % 400)
        }
    }

    /** Guards against a new leader that reassigns pools while leases of the former leader may still be in use. */
    @Test
    fun `a new leader waits for the leases of the former one`() {
        val simulation = LeaseSimulation(3)
        simulation.runRoundsFor(5_000)
        val lost = simulation.vms[0]
        simulation.electLeader(commits = false)
        val electedAtMs = simulation.nowMs
        while (simulation.nowMs < electedAtMs + LEASE_WITH_MARGIN_MS) {
            expectThat(simulation.shared.pools.values.filter { it.vm == lost.entry.id }).hasSize(2)
            // As far as the new leader knows, the silent VM may hold a lease without having applied the last change.
            expectThat(simulation.isInEffect()).isFalse()
            simulation.roundWithout(lost)
        }
        repeat(3) { simulation.roundWithout(lost) }
        expectThat(simulation.isInEffect()).isTrue()
        expectThat(simulation.shared.pools.values.filter { it.vm == lost.entry.id }).isEmpty()
        expectThat(simulation.shared.pools.values.groupBy { it.vm }.map { it.value.size }).isEqualTo(listOf(3, 3))
    }

    /** Guards against a lease for the former owner of a pool while its move to another VM is being committed. */
    @Test
    fun `a VM whose pools are being moved gets no lease`() {
        val simulation = LeaseSimulation(3)
        simulation.runRoundsFor(5_000)
        val silent = simulation.vms[0]
        val pool = simulation.shared.pools.filterValues { it.vm == silent.entry.id }.keys.first()
        repeat(33) { simulation.roundWithout(silent, proposes = false) }
        simulation.propose()
        simulation.renew(silent)
        simulation.loseProposal(commits = true)
        simulation.vms.drop(1).forEach(simulation::push)
        expectThat(simulation.admitting(pool)).hasSize(1)
        expectThat(simulation.hasLease(silent)).isFalse()
        // The next change resolves the one whose outcome the leader does not know.
        simulation.propose()
        simulation.commitProposal()
        simulation.renew(silent)
        expectThat(simulation.hasLease(silent)).isTrue()
        expectThat(simulation.admitting(pool)).hasSize(1)
    }

    /**
     * Guards against a second owner of a pool that was taken from a VM by a change whose outcome the leader did not
     * learn (reduced from seed -3828222997900028382 of the property above).
     */
    @Test
    fun `a pool withdrawn with an unclear outcome waits for its former owner`() {
        val simulation = LeaseSimulation(4)
        val joining = simulation.vms[0]
        repeat(34) { simulation.roundWithout(joining) }
        simulation.renew(joining)
        simulation.propose()
        simulation.loseProposal(commits = true)
        val pool = simulation.shared.configuration.allPools().single { it !in simulation.shared.pools }
        simulation.propose()
        simulation.commitProposal()
        simulation.renew(joining)
        expectThat(simulation.admitting(pool)).hasSize(1)
        simulation.runRoundsFor(5_000)
        expectThat(simulation.shared.pools[pool]?.vm).isEqualTo(joining.entry.id)
        expectThat(simulation.admitting(pool)).hasSize(1)
    }

    /** Guards against a VM that registers long after the election and is removed before its first lease is granted. */
    @Test
    fun `a VM that has just registered is not removed`() {
        val table = LeaseTable(Term(1), emptySet(), electedAtMs = 0)
        val vm = EntryVm(VmId("entry-1"), Address("127.0.0.1", 1), FailureDomainId("suva"))
        val shared = SharedState(entryVms = mapOf(vm.id to vm))
        val registeredMs = 10 * REGISTRATION_MS
        expectThat(table.nextChangeOrNull(shared, emptySet(), registeredMs)).isNull()
        val lateMs = registeredMs + REGISTRATION_MS
        expectThat(table.nextChangeOrNull(shared, emptySet(), lateMs - 1)).isNull()
        expectThat(table.nextChangeOrNull(shared, emptySet(), lateMs)).isEqualTo(RemoveVms(listOf(vm.id)))
    }

    /** Guards against a lease for a restarted VM before the release by its former process has removed it. */
    @Test
    fun `a VM that released its lease gets none until it is removed`() {
        val simulation = LeaseSimulation(3)
        simulation.runRoundsFor(5_000)
        val stopping = simulation.vms[0]
        val pool = simulation.shared.pools.filterValues { it.vm == stopping.entry.id }.keys.first()
        simulation.releaseAndRestart(stopping)
        simulation.renew(stopping)
        repeat(2) {
            simulation.propose()
            simulation.commitProposal()
        }
        simulation.vms.drop(1).forEach(simulation::push)
        expectThat(simulation.admitting(pool)).hasSize(1)
        simulation.renew(stopping)
        expectThat(simulation.hasLease(stopping)).isTrue()
    }

    /** Guards against pools that stay unbalanced after a VM joined, and against moves of more pools than needed. */
    @Test
    fun `a joining VM gets only the pools that balance needs`() {
        val simulation = LeaseSimulation(3)
        repeat(100) { simulation.roundWithout(simulation.vms[2]) }
        val before = simulation.shared.pools
        expectThat(before.values.groupBy { it.vm }.map { it.value.size }).isEqualTo(listOf(3, 3))
        simulation.runRoundsFor(5_000)
        val after = simulation.shared.pools
        expectThat(after.values.groupBy { it.vm }.map { it.value.size }).isEqualTo(listOf(2, 2, 2))
        expectThat(after.filter { (pool, owner) -> before[pool] != owner }).hasSize(2)
    }

    /** Guards against balancing that takes two rounds of pushes to all VMs for each pool. */
    @Test
    fun `pools move several at a time to VMs that join together`() {
        val simulation = LeaseSimulation(8, shards = 8)
        val joining = simulation.vms.drop(1).toTypedArray()
        repeat(50) { simulation.roundWithout(*joining) }
        expectThat(simulation.shared.pools.values.groupBy { it.vm }.map { it.value.size }).isEqualTo(listOf(24))
        simulation.runRoundsFor(2_000)
        expectThat(simulation.shared.pools.values.groupBy { it.vm }.map { it.value.size }).isEqualTo(List(8) { 3 })
    }

    /** Guards against pools of a VM that shuts down waiting until its lease expires. */
    @Test
    fun `released pools move while the lease is valid`() {
        val simulation = LeaseSimulation(3)
        simulation.runRoundsFor(5_000)
        val leaving = simulation.vms[0]
        simulation.shutDown(leaving)
        simulation.runCompleteRound()
        simulation.runCompleteRound()
        expectThat(simulation.hasLease(leaving)).isTrue()
        expectThat(simulation.shared.pools.values.any { it.vm == leaving.entry.id }).isFalse()
    }

    private fun LeaseSimulation.runRoundsFor(ms: Long) = repeat((ms / ROUND_MS).toInt()) {
        runCompleteRound()
        pass(ROUND_MS)
    }

    private fun LeaseSimulation.renew(vm: LeaseSimulation.Vm) {
        sendRenewal(vm)
        deliverRenewal()
        deliverReply()
    }

    private fun LeaseSimulation.roundWithout(vararg absent: LeaseSimulation.Vm, proposes: Boolean = true) {
        vms.filter { it !in absent }.forEach(::sendRenewal)
        repeat(vms.size) { deliverRenewal() }
        repeat(vms.size) { deliverReply() }
        if (proposes) {
            propose()
            commitProposal()
        }
        vms.filter { it !in absent && hasLease(it) }.forEach(::push)
        pass(ROUND_MS)
    }
}
