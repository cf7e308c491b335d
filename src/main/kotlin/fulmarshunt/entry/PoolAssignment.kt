/*
 * Decides which entry VM owns which pool. Pools are spread evenly; among equally loaded VMs one in the pool's failure
 * domain is preferred. A pool with a working owner moves only when the loads differ by two or more, and then first to
 * nobody, so that its new owner starts only after the old one has stopped.
 */
package fulmarshunt.entry

import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.VmId

/** What an assignment is decided on. */
internal data class AssignmentView(
    val pools: List<PoolId>,
    val owners: Map<PoolId, PoolOwner>,
    /** The VMs that can be given pools. */
    val usable: Map<VmId, FailureDomainId>,
    /** Returns whether a VM may hold a lease. */
    val mayHold: (VmId) -> Boolean,
    /** Returns whether the owner has stopped admitting to the pool. */
    val hasReleased: (PoolId, PoolOwner) -> Boolean,
    /** Returns whether nobody can believe that it owns a pool that has no owner. */
    val isVacant: (PoolId) -> Boolean,
)

/** Returns the moves that are due, at most one for each pool. */
internal fun planMoves(view: AssignmentView): List<PoolMove> {
    val lost = view.owners.filter { (pool, owner) -> !view.mayHold(owner.vm) || view.hasReleased(pool, owner) }
    val configured = view.pools.toSet()
    val moves =
        lost.filterKeys { it !in configured }.toSortedMap(compareBy { it.value }).map { (pool, owner) ->
            PoolMove(pool, null, owner)
        }
    if (view.usable.isEmpty()) return moves
    val due = view.pools.filter { pool -> pool in lost || (pool !in view.owners && view.isVacant(pool)) }
    val spread = Spread(view, lost.keys)
    if (due.isNotEmpty()) {
        return moves +
            due.zip(spread.place(due)) { pool, vm -> PoolMove(pool, vm, view.owners[pool]) }
    }
    // A pool without owner that is not vacant yet is on its way to another VM; its move comes first.
    if (view.pools.any { it !in view.owners }) return moves
    return moves + spread.balancingMoves()
}

/** One pool in this many may be on its way for balance at a time, because its new owner admits nothing for a second. */
private const val BALANCING_SHARE = 8

/** The number of configured pools of each usable VM while they are placed. */
private class Spread(private val view: AssignmentView, lost: Set<PoolId>) {
    private val kept =
        view.owners.filter { (pool, owner) -> pool !in lost && owner.vm in view.usable && pool in view.pools }
    private val load = view.usable.keys.associateWithTo(HashMap()) { vm -> kept.values.count { it.vm == vm } }
    private val floor = view.pools.size / view.usable.size

    /** Returns an owner for each of [due], in order. */
    fun place(due: List<PoolId>): List<VmId> {
        val placed = HashMap<PoolId, VmId>()
        due.forEach { pool -> bestOrNull(floor) { isNear(pool, it) }?.let { placed[pool] = take(it) } }
        due.filter { it !in placed }.forEach { pool ->
            val vm =
                bestOrNull(floor) { true } ?: bestOrNull(floor + 1) { isNear(pool, it) }
                    ?: load.keys.minWith(compareBy({ load.getValue(it) }, { it.value }))
            placed[pool] = take(vm)
        }
        return due.map { placed.getValue(it) }
    }

    /** Returns moves of pools away from the most loaded VMs while the loads differ by two or more. */
    fun balancingMoves(): List<PoolMove> {
        val movable = kept.toMutableMap()
        return generateSequence { balancingMoveOrNull(movable) }
            .take(maxOf(1, view.pools.size / BALANCING_SHARE))
            .toList()
    }

    private fun balancingMoveOrNull(movable: MutableMap<PoolId, PoolOwner>): PoolMove? {
        val order = compareBy<VmId>({ load.getValue(it) }, { it.value })
        val least = load.keys.minWith(order)
        val most = load.keys.maxWith(order)
        if (load.getValue(most) - load.getValue(least) < 2) return null
        val nearest = compareBy<PoolId>({ !isNear(it, least) }, { isNear(it, most) }, { it.value })
        val pool = movable.filterValues { it.vm == most }.keys.minWith(nearest)
        load.merge(most, -1, Int::plus)
        take(least)
        return PoolMove(pool, null, movable.remove(pool))
    }

    private fun bestOrNull(limit: Int, accept: (VmId) -> Boolean): VmId? = load.keys
        .filter { load.getValue(it) < limit && accept(it) }
        .minWithOrNull(compareBy({ load.getValue(it) }, { it.value }))

    private fun take(vm: VmId): VmId = vm.also { load.merge(it, 1, Int::plus) }

    private fun isNear(pool: PoolId, vm: VmId) = view.usable[vm] == domainOf(pool)
}
