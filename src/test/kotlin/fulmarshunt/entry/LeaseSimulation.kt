/*
 * Simulates a control leader and entry VMs in one thread: the test decides when messages are delivered or lost and when
 * time passes.
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

    private class Reply(val vm: Vm, val state: SharedState, val sentAtMs: Long)

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
    private val replies = ArrayDeque<Reply>()

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

    /** Delivers the oldest renewal, to which the leader replies unless it withholds the lease. */
    fun deliverRenewal() {
        val renewal = renewals.removeFirstOrNull() ?: return
        val vm = renewal.vm.entry
        if (table.isWithheld(vm.id)) return
        if (shared.entryVms[vm.id] != vm) commit(shared.changesOf(LogIndex(index + 1), RegisterVm(vm)))
        table.grant(renewal.call, nowMs)
        replies += Reply(renewal.vm, shared, renewal.sentAtMs)
    }

    fun deliverReply() {
        val reply = replies.removeFirstOrNull() ?: return
        reply.vm.receive(reply.state)
        reply.vm.leaseUntilMs = maxOf(reply.vm.leaseUntilMs, reply.sentAtMs + LEASE_MS)
    }

    fun loseReply() {
        replies.removeFirstOrNull()
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
        table.recordCommitted(change, shared, nowMs)
    }

    /** Loses the outcome of the proposal for the leader; the proposal is committed if [commits]. */
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

    /** The process of [vm] releases its lease and ends, and another one starts. */
    fun releaseAndRestart(vm: Vm) {
        table.releaseLease(vm.entry.id)
        restart(vm)
    }

    fun restart(vm: Vm) {
        vm.state = SharedState()
        vm.leaseUntilMs = Long.MIN_VALUE
        vm.stopped = emptySet()
        vm.isShuttingDown = false
        renewals.removeAll { it.vm === vm }
        replies.removeAll { it.vm === vm }
    }

    /** Runs one round in which every message arrives. */
    fun runCompleteRound() {
        vms.forEach(::sendRenewal)
        repeat(vms.size) { deliverRenewal() }
        while (replies.isNotEmpty()) deliverReply()
        propose()
        commitProposal()
        vms.filter(::hasLease).forEach(::push)
    }

    fun hasLease(vm: Vm): Boolean = nowMs < vm.leaseUntilMs

    /** Returns the VMs that admit requests to [pool]. */
    fun admitting(pool: PoolId): List<VmId> = vms
        .filter { hasLease(it) && it.state.pools[pool]?.vm == it.entry.id && pool !in it.stopped }
        .map { it.entry.id }

    /** Returns whether the leader considers the last change applied by every VM that holds a lease. */
    fun isInEffect(): Boolean = table.isInEffect(shared.index, shared.entryVms.keys, nowMs)

    private fun commit(changes: List<StateChange>) {
        index += 1
        if (changes.isNotEmpty()) shared = shared.with(IndexedChanges(LogIndex(index), changes))
    }
}
