/*
 * The leases that entry VMs may hold, as one control leader knows them during one term. The table is conservative: a VM
 * that is not listed as a possible holder certainly has no lease. It is confined to the control thread.
 */
package fulmarshunt.entry

import fulmarshunt.LogIndex
import fulmarshunt.PoolId
import fulmarshunt.Term
import fulmarshunt.VmId

/** How long a lease may be in use after the leader replied to the renewal. */
internal const val LEASE_WITH_MARGIN_MS: Long = LEASE_MS + LEASE_MARGIN_MS

/**
 * How long a VM stays registered without a renewal. Until it is removed, its generations keep running although no
 * caller receives them; a suspended VM that resumes later registers again.
 */
internal const val REGISTRATION_MS: Long = 6_000

/**
 * Tracks the leases of the term [term].
 *
 * @param registered the VMs that may hold a lease of an earlier leader.
 * @param electedAtMs a time from which on no earlier leader grants leases.
 */
internal class LeaseTable(val term: Term, registered: Set<VmId>, private val electedAtMs: Long) {
    private class Lease(var mayHoldUntilMs: Long, var renewedAtMs: Long) {
        var isGranted = false
        var applied = LogIndex(0)
        var released = emptySet<PoolId>()
        var isShuttingDown = false
    }

    /** A pool that was taken from a VM which may still act as its owner. */
    private class Vacancy(val formerOwner: VmId, val index: LogIndex, val endsAtMs: Long)

    private val leases = HashMap<VmId, Lease>()
    private val vacancies = HashMap<PoolId, Vacancy>()

    /** The owners from which proposed changes take a pool, until it is known whether the changes are committed. */
    private val withdrawals = HashMap<PoolId, VmId>()
    private val withheld = HashSet<VmId>()
    private val releasedLeases = HashSet<VmId>()

    init {
        addMissing(registered, electedAtMs)
    }

    /** Records that the reply to [renewal] grants a lease at [nowMs]; the lease must not be withheld. */
    fun grant(renewal: RenewLease, nowMs: Long) {
        check(!isWithheld(renewal.vm.id)) { "the lease of ${renewal.vm.id} is withheld and cannot be granted" }
        val until = nowMs + LEASE_WITH_MARGIN_MS
        val lease = leases.getOrPut(renewal.vm.id) { Lease(until, nowMs) }
        lease.mayHoldUntilMs = maxOf(lease.mayHoldUntilMs, until)
        lease.renewedAtMs = nowMs
        lease.isGranted = true
        lease.applied = renewal.applied
        lease.released = renewal.released.toSet()
        lease.isShuttingDown = renewal.isShuttingDown
    }

    /** Records that [vm] has applied the log up to [applied]. */
    fun acknowledge(vm: VmId, applied: LogIndex) {
        leases[vm]?.let { if (applied > it.applied) it.applied = applied }
    }

    /**
     * Records that [vm] has released its lease. The VM is removed from the registry next and gets no lease before that,
     * because its pools are assigned to other VMs without a wait.
     */
    fun releaseLease(vm: VmId) {
        releasedLeases += vm
    }

    /** Returns whether [vm] must not get a lease, because a change that removes it or its pools may be committed. */
    fun isWithheld(vm: VmId): Boolean = vm in withheld || vm in releasedLeases

    /**
     * Returns the change that is due at [nowMs], or null. The VMs that lose their registration or a pool by it get no
     * lease until [recordCommitted]. A later committed change also resolves earlier ones whose outcome is unknown,
     * because it follows them in the log.
     */
    fun nextChangeOrNull(shared: SharedState, shutdowns: Set<VmId>, nowMs: Long): RegistryChange? {
        recordVacancies(shared, nowMs)
        addMissing(shared.entryVms.keys, nowMs)
        releasedLeases.retainAll(shared.entryVms.keys)
        val gone = (releasedLeases + expiredAt(nowMs, shared.entryVms.keys)).sortedBy { it.value }
        if (gone.isNotEmpty()) return RemoveVms(gone).also { withheld += gone }
        val moves = planMoves(viewAt(shared, shutdowns, nowMs))
        // A VM that has released a pool could restart and act as its owner before the move is committed.
        moves.forEach { move ->
            val owner = move.previous?.vm
            if (owner != null && move.vm == null) withdrawals[move.pool] = owner
            if (owner != null && (move.vm != null || !mayHold(owner, nowMs))) withheld += owner
        }
        return if (moves.isEmpty() && withheld.isEmpty()) null else MovePools(moves)
    }

    /** Records that [change] and everything before it is committed, with the result [shared]. */
    fun recordCommitted(change: RegistryChange, shared: SharedState, nowMs: Long) {
        withheld.clear()
        when (change) {
            is RegisterVm -> Unit
            is RemoveVms -> change.vms.forEach {
                leases.remove(it)
                releasedLeases.remove(it)
            }
            is MovePools -> change.moves.forEach { if (it.vm != null) vacancies.remove(it.pool) }
        }
        recordVacancies(shared, nowMs)
        withdrawals.clear()
    }

    /**
     * Starts the registration period of VMs that have registered since the election. Otherwise a VM that registers long
     * after the election would count as expired before its first lease is granted, and would be removed and registered
     * repeatedly.
     */
    private fun addMissing(registered: Set<VmId>, nowMs: Long) {
        registered.forEach { leases.getOrPut(it) { Lease(electedAtMs + LEASE_WITH_MARGIN_MS, nowMs) } }
    }

    /**
     * Starts the vacancy of each pool whose withdrawal has been committed. The leader may never learn the outcome of
     * its proposal. Leases that are granted after the change was applied include it, so that the wait starts now.
     */
    private fun recordVacancies(shared: SharedState, nowMs: Long) {
        val committed = withdrawals.filterKeys { it !in shared.pools }
        committed.forEach { (pool, formerOwner) ->
            vacancies[pool] = Vacancy(formerOwner, shared.index, nowMs + LEASE_WITH_MARGIN_MS)
        }
        withdrawals -= committed.keys
    }

    private fun viewAt(shared: SharedState, shutdowns: Set<VmId>, nowMs: Long): AssignmentView {
        val usable = shared.entryVms.filterKeys { it !in shutdowns && isUsable(it, nowMs) }
        return AssignmentView(
            shared.configuration.allPools(),
            shared.pools,
            usable.mapValues { it.value.domain },
            mayHold = { mayHold(it, nowMs) },
            hasReleased = ::hasReleased,
            isVacant = { isVacant(it, nowMs) },
        )
    }

    /** Whether pools were taken from VMs and are not assigned to others yet. */
    val hasVacancies: Boolean get() = vacancies.isNotEmpty()

    /** Returns whether [vm] may hold a lease at [nowMs]. */
    fun mayHold(vm: VmId, nowMs: Long): Boolean = leases[vm]?.let { nowMs < it.mayHoldUntilMs } ?: false

    /** Returns whether [vm] can own pools at [nowMs]: this leader granted its lease and it is not shutting down. */
    fun isUsable(vm: VmId, nowMs: Long): Boolean =
        leases[vm]?.let { it.isGranted && !it.isShuttingDown && nowMs < it.renewedAtMs + LEASE_MS } ?: false

    /** Returns the last log entry that [vm] is known to have applied. */
    fun appliedBy(vm: VmId): LogIndex = leases[vm]?.applied ?: LogIndex(0)

    /** Returns whether the owner of [pool] has stopped admission to it; earlier releases do not count. */
    private fun hasReleased(pool: PoolId, owner: PoolOwner): Boolean =
        leases[owner.vm]?.let { pool in it.released && it.applied.value >= owner.fence.value } ?: false

    /** Returns whether no VM can act at [nowMs] as the owner of [pool], which has no owner. */
    private fun isVacant(pool: PoolId, nowMs: Long): Boolean {
        if (nowMs < electedAtMs + LEASE_WITH_MARGIN_MS) return false
        val vacancy = vacancies[pool] ?: return true
        return nowMs >= vacancy.endsAtMs || appliedBy(vacancy.formerOwner) >= vacancy.index ||
            !mayHold(vacancy.formerOwner, nowMs)
    }

    /** Returns whether each of [registered] has applied the entry at [index] or has no lease at [nowMs]. */
    fun isInEffect(index: LogIndex, registered: Set<VmId>, nowMs: Long): Boolean =
        registered.all { appliedBy(it) >= index || !mayHold(it, nowMs) }

    /** Returns those of [registered] that have not renewed for [REGISTRATION_MS]. */
    private fun expiredAt(nowMs: Long, registered: Set<VmId>): List<VmId> = registered
        .filter { nowMs >= leases.getValue(it).renewedAtMs + REGISTRATION_MS }

    /** Returns the next time after [nowMs] at which a lease or a vacancy ends, or null if there is none. */
    fun nextEndOrNull(nowMs: Long): Long? =
        (leases.values.map { it.mayHoldUntilMs } + vacancies.values.map { it.endsAtMs })
            .filter { it > nowMs }
            .minOrNull()
}
