/*
 * Which entry VMs are asked to forward a connection, and in which order: one of the same failure domain first, because
 * bytes between failure domains are expensive, then others, because a whole failure domain may be cut off. Confined to
 * the traffic thread.
 */
package fulmarshunt.entry.forward

import fulmarshunt.FailureDomainId
import fulmarshunt.VmId

/** The forwarders that are asked for one connection. */
private const val MAX_FORWARDERS = 3

/** How long a forwarder that has failed is asked only if no other is left; cuts last for seconds. */
private const val AVOID_MS = 3_000L

/** The forwarders that have failed lately. */
internal class ForwarderSelection(
    private val domain: FailureDomainId,
    /** Returns a uniform random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    private val failedAtMs = mutableMapOf<VmId, Long>()

    /** Records that [forwarder] could not open a connection, for a reason of its own. */
    fun recordFailure(forwarder: VmId, nowMs: Long) {
        failedAtMs[forwarder] = nowMs
    }

    /** Records that [forwarder] could reply. */
    fun recordReply(forwarder: VmId) {
        failedAtMs.remove(forwarder)
    }

    /** Returns which of [known] are asked, in this order. */
    fun select(known: List<Forwarder>, nowMs: Long): List<Forwarder> {
        failedAtMs.keys.retainAll(known.mapTo(mutableSetOf()) { it.vm })
        val (avoided, usable) = known.shuffled().partition {
            nowMs - (failedAtMs[it.vm] ?: Long.MIN_VALUE / 2) <
                AVOID_MS
        }
        val (near, far) = usable.partition { it.domain == domain }
        val ordered = near.take(1) + far + near.drop(1) + avoided.sortedBy { failedAtMs[it.vm] }
        return ordered.take(if (usable.isEmpty()) 1 else minOf(MAX_FORWARDERS, usable.size))
    }

    private fun List<Forwarder>.shuffled(): List<Forwarder> =
        map { it to nextRandom() }.sortedBy { (_, order) -> order }.map { (forwarder, _) -> forwarder }
}
