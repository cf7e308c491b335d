/*
 * Decides which entry VM owns which pool. Pools are distributed evenly; among VMs with equally many pools, one in the
 * pool's failure domain is preferred. A pool with a working owner moves only if the numbers of pools differ by two or
 * more. It is then first left without an owner, so that its new owner starts only after the old one has stopped.
 */
package fulmarshunt.entry

import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.VmId

/** The input of the decision about pool assignments. */
internal data class AssignmentView(
    val pools: List<PoolId>,
    val owners: Map<PoolId, PoolOwner>,
    /** The VMs that can own pools, with their failure domains. */
    val usable: Map<VmId, FailureDomainId>,
    /** Returns whether a VM may hold a lease. */
    val mayHold: (VmId) -> Boolean,
    /** Returns whether the owner has stopped admission to the pool. */
    val hasReleased: (PoolId, PoolOwner) -> Boolean,
    /** Returns whether no VM can act as the owner of a pool that has no owner. */
    val isVacant: (PoolId) -> Boolean,
)

/** Returns the pool moves that are due, at most one for each pool. */
internal fun planMoves(view: AssignmentView): List<PoolMove> {
    val lost = view.owners.filter { (pool, owner) -> !view.mayHold(owner.vm) || view.hasReleased(pool, owner) }
    val configured = view.pools.toSet()
    val moves =
        lost.filterKeys { it !in configured }.toSortedMap(compareBy { it.value }).map { (pool, owner) ->
            PoolMove(pool, null, owner)
        }
    if (view.usable.isEmpty()) return moves
    val due = view.pools.filter { pool -> pool in lost || (pool !in view.owners && view.isVacant(pool)) }
    val distribution = PoolDistribution(view, lost.keys)
    if (due.isNotEmpty()) {
        return moves +
            due.zip(distribution.assign(due)) { pool, vm -> PoolMove(pool, vm, view.owners[pool]) }
    }
    // A pool without an owner that is not vacant yet is moving to another VM; that move is completed first.
    if (view.pools.any { it !in view.owners }) return moves
    return moves + distribution.balancingMoves()
}

/**
 * One pool in this many may move for balance at a time, because its new owner admits nothing for [SETTLING_MS].
 */
private const val POOLS_PER_BALANCING_MOVE = 8

/** The number of configured pools that each usable VM owns, updated while pools are assigned. */
private class PoolDistribution(private val view: AssignmentView, lost: Set<PoolId>) {
    private val kept =
        view.owners.filter { (pool, owner) -> pool !in lost && owner.vm in view.usable && pool in view.pools }
    private val load = view.usable.keys.associateWithTo(HashMap()) { vm -> kept.values.count { it.vm == vm } }
    private val floor = view.pools.size / view.usable.size

    /** Returns an owner for each of [due], in order. */
    fun assign(due: List<PoolId>): List<VmId> {
        val assigned = HashMap<PoolId, VmId>()
        due.forEach { pool -> bestOrNull(floor) { isInDomain(pool, it) }?.let { assigned[pool] = addPool(it) } }
        due.filter { it !in assigned }.forEach { pool ->
            val vm =
                bestOrNull(floor) { true } ?: bestOrNull(floor + 1) { isInDomain(pool, it) }
                    ?: load.keys.minWith(compareBy({ load.getValue(it) }, { it.value }))
            assigned[pool] = addPool(vm)
        }
        return due.map { assigned.getValue(it) }
    }

    /** Returns moves of pools away from the VMs with the most pools while the numbers differ by two or more. */
    fun balancingMoves(): List<PoolMove> {
        val movable = kept.toMutableMap()
        return generateSequence { balancingMoveOrNull(movable) }
            .take(maxOf(1, view.pools.size / POOLS_PER_BALANCING_MOVE))
            .toList()
    }

    private fun balancingMoveOrNull(movable: MutableMap<PoolId, PoolOwner>): PoolMove? {
        val order = compareBy<VmId>({ load.getValue(it) }, { it.value })
        val least = load.keys.minWith(order)
        val most = load.keys.maxWith(order)
        if (load.getValue(most) - load.getValue(least) < 2) return null
        val preference = compareBy<PoolId>({ !isInDomain(it, least) }, { isInDomain(it, most) }, { it.value })
        val pool = movable.filterValues { it.vm == most }.keys.minWith(preference)
        load.merge(most, -1, Int::plus)
        addPool(least)
        return PoolMove(pool, null, movable.remove(pool))
    }

    private fun bestOrNull(limit: Int, accept: (VmId) -> Boolean): VmId? = load.keys
        .filter { load.getValue(it) < limit && accept(it) }
        .minWithOrNull(compareBy({ load.getValue(it) }, { it.value }))

    private fun addPool(vm: VmId): VmId = vm.also { load.merge(it, 1, Int::plus) }

    private fun isInDomain(pool: PoolId, vm: VmId) = view.usable[vm] == domainOf(pool)
}
