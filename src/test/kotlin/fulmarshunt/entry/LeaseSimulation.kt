/*
 * A control leader and entry VMs in one thread: messages are delivered, delayed or lost as the test chooses, and time
 * passes only when the test says so.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.Revision
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutFailureDomain

class LeaseSimulation(vmCount: Int, shards: Int = 2) {
    class Vm(val entry: EntryVm) {
        var state = SharedState()
        var leaseUntilMs = Long.MIN_VALUE
        var stopped = emptySet<PoolId>()
        var isShuttingDown = false

        fun renewal() = RenewLease(entry, state.index, stopped.toList(), isShuttingDown)

        fun receive(newer: SharedState) {
            if (newer.index > state.index) state = newer
        }
    }

    private class Renewal(val vm: Vm, val call: RenewLease, val sentAtMs: Long)

    private class Answer(val vm: Vm, val state: SharedState, val sentAtMs: Long)

    private val domains = listOf("suva", "nausori", "lautoka")
    val vms = List(vmCount) {
        Vm(EntryVm(VmId("vm-$it"), Address("127.0.0.1", 1), FailureDomainId(domains[it % domains.size])))
    }
    var nowMs = 0L
        private set
    var shared = SharedState()
        private set
    private var table = LeaseTable(Term(1), emptySet(), 0)
    private var term = 1L
    private var index = 0L
    private var pending: RegistryChange? = null
    private val renewals = ArrayDeque<Renewal>()
    private val answers = ArrayDeque<Answer>()

    init {
        val changes = domains.map { PutFailureDomain(FailureDomain(FailureDomainId(it), shards = shards)) }
        commit(listOf(Configured(Revision(1), changes)))
    }

    fun pass(ms: Long) {
        nowMs += ms
    }

    fun sendRenewal(vm: Vm) {
        renewals += Renewal(vm, vm.renewal(), nowMs)
    }

    /** Delivers the oldest renewal, which the leader answers unless it withholds the lease. */
    fun deliverRenewal() {
        val renewal = renewals.removeFirstOrNull() ?: return
        val vm = renewal.vm.entry
        if (table.isWithheld(vm.id)) return
        if (shared.entryVms[vm.id] != vm) commit(shared.changesOf(LogIndex(index + 1), RegisterVm(vm)))
        table.grant(renewal.call, nowMs)
        answers += Answer(renewal.vm, shared, renewal.sentAtMs)
    }

    fun deliverAnswer() {
        val answer = answers.removeFirstOrNull() ?: return
        answer.vm.receive(answer.state)
        answer.vm.leaseUntilMs = maxOf(answer.vm.leaseUntilMs, answer.sentAtMs + LEASE_MS)
    }

    fun loseAnswer() {
        answers.removeFirstOrNull()
    }

    fun push(vm: Vm) {
        vm.receive(shared)
        table.acknowledge(vm.entry.id, vm.state.index)
    }

    fun propose() {
        if (pending == null) pending = table.nextChangeOrNull(shared, emptySet(), nowMs)
    }

    fun commitProposal() {
        val change = pending ?: return
        pending = null
        commit(shared.changesOf(LogIndex(index + 1), change))
        table.settle(change, shared, nowMs)
    }

    /** The leader learns nothing about its proposal, which stays in the log if [commits]. */
    fun loseProposal(commits: Boolean) {
        val change = pending ?: return
        pending = null
        if (commits) commit(shared.changesOf(LogIndex(index + 1), change))
    }

    fun electLeader(commits: Boolean) {
        loseProposal(commits)
        term += 1
        renewals.clear()
        table = LeaseTable(Term(term), shared.entryVms.keys, nowMs)
    }

    fun shutDown(vm: Vm) {
        vm.isShuttingDown = true
        vm.stopped = vm.state.pools.filterValues { it.vm == vm.entry.id }.keys
    }

    /** The process of [vm] gives its lease back as the last thing it does, and another one starts. */
    fun giveBackAndRestart(vm: Vm) {
        table.giveBack(vm.entry.id)
        restart(vm)
    }

    fun restart(vm: Vm) {
        vm.state = SharedState()
        vm.leaseUntilMs = Long.MIN_VALUE
        vm.stopped = emptySet()
        vm.isShuttingDown = false
        renewals.removeAll { it.vm === vm }
        answers.removeAll { it.vm === vm }
    }

    /** One round in which everything arrives. */
    fun settle() {
        vms.forEach(::sendRenewal)
        repeat(vms.size) { deliverRenewal() }
        while (answers.isNotEmpty()) deliverAnswer()
        propose()
        commitProposal()
        vms.filter(::hasLease).forEach(::push)
    }

    fun hasLease(vm: Vm): Boolean = nowMs < vm.leaseUntilMs

    /** The VMs that admit work to [pool]. */
    fun admitting(pool: PoolId): List<VmId> = vms
        .filter { hasLease(it) && it.state.pools[pool]?.vm == it.entry.id && pool !in it.stopped }
        .map { it.entry.id }

    /** Whether the leader takes the last change for followed by every VM that holds a lease. */
    fun isInEffect(): Boolean = table.isInEffect(shared.index, shared.entryVms.keys, nowMs)

    private fun commit(changes: List<StateChange>) {
        index += 1
        if (changes.isNotEmpty()) shared = shared.with(IndexedChanges(LogIndex(index), changes))
    }
}
