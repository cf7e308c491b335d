/*
 * Decides how much load a target has beyond what entry VMs know of: from what it has said of itself, and from a refusal
 * for lack of room. Both lose weight with their age, because the load of a target passes within a second.
 *
 * It handles load that this VM learns of late or never: that of entry VMs whose reports are some hundred ms old, and
 * work that did not come from entry VMs. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance
import kotlin.math.pow

/** The time in which half of a target's requests have ended and others have come; plain work takes 15 to 60 ms. */
private const val HALF_LIFE_MS = 500.0

/** A statement that is older, or reached the control thread later, says nothing. */
private const val MAX_AGE_MS = 3_000L

/** The unknown load counts at most this many times the capacity, so that a wrong figure does not count for ever. */
private const val MAX_CAPACITIES = 2.0

/** The load of a target that is not in the use of entry VMs. */
internal data class UnknownLoad(
    /** Requests beyond the known ones. */
    val requests: Double,
    /** Requests that wait at the target although it could have begun them if it had room, known or not. */
    val waiting: Double,
) {
    internal companion object {
        val NONE: UnknownLoad = UnknownLoad(0.0, 0.0)
    }
}

/** What each target has said of its load to this VM. */
internal class TargetLoads {
    private class Statement(val load: StatedLoad, val atMs: Long, val ownRequests: Int)

    private val statements = mutableMapOf<TargetInstance, Statement>()
    private val refusedAtMs = mutableMapOf<TargetInstance, Long>()

    /**
     * Records [load], and returns whether it is news.
     *
     * @param receivedAtMs when the answer arrived; answers may be recorded in another order.
     * @param ownRequests the requests of this VM at the target.
     */
    fun record(instance: TargetInstance, load: StatedLoad, receivedAtMs: Long, ownRequests: Int, nowMs: Long): Boolean {
        val last = statements[instance]
        if (nowMs - receivedAtMs > MAX_AGE_MS || (last != null && last.atMs > receivedAtMs)) return false
        statements[instance] = Statement(load, receivedAtMs, ownRequests)
        return true
    }

    /** Records that [instance] has refused a request. */
    fun recordRefusal(instance: TargetInstance, nowMs: Long) {
        refusedAtMs[instance] = nowMs
    }

    /**
     * Returns the load of [instance] beyond the [knownRequests] of all entry VMs.
     *
     * @param ownRequests the requests of this VM among them; what it sent since the statement is not unknown.
     * @param capacity the requests that the target takes before it refuses others.
     */
    fun unknown(
        instance: TargetInstance,
        knownRequests: Int,
        ownRequests: Int,
        capacity: Double,
        nowMs: Long,
    ): UnknownLoad {
        val refused = refusedAtMs[instance]?.let { weight(nowMs - it) * (capacity - knownRequests) } ?: 0.0
        val statement = statements[instance]
        val weight = statement?.let { weight(nowMs - it.atMs) } ?: 0.0
        if (statement == null || weight == 0.0) return UnknownLoad(refused.coerceAtLeast(0.0), 0.0)
        val load = statement.load
        val total = load.running + load.waiting + ownRequests - statement.ownRequests
        val most = MAX_CAPACITIES * capacity
        return UnknownLoad(
            maxOf(weight * (total - knownRequests), refused).coerceIn(0.0, most),
            (weight * load.waiting).coerceAtMost(most),
        )
    }

    /** Removes all targets other than [present]; former runs of a target say nothing of the present one. */
    fun retain(present: Set<TargetInstance>) {
        statements.keys.retainAll(present)
        refusedAtMs.keys.retainAll(present)
    }

    private fun weight(ageMs: Long): Double = if (ageMs > MAX_AGE_MS) 0.0 else 0.5.pow(ageMs / HALF_LIFE_MS)
}
