/*
 * The forwarders that one control VM knows: those that have told it of themselves, and those that other control VMs
 * have been told of. Both lists are numbered, so that they are sent again only when they have changed. Confined to the
 * control thread.
 */
package fulmarshunt.entry.watch

import fulmarshunt.VmId
import fulmarshunt.entry.forward.Forwarder

/** How long a forwarder is kept after it was last heard of, and the list of a control VM after its last exchange. */
internal const val FORWARDER_RETENTION_MS: Long = 10_000
private const val LIST_RETENTION_MS = 60_000L

/** The forwarders that one control VM knows. */
internal class ForwarderDirectory {
    private class ListOfOther(val source: String, val number: Long, val forwarders: List<Forwarder>, var atMs: Long)

    private val own = mutableMapOf<VmId, Forwarder>()
    private val ofOthers = mutableMapOf<VmId, ListOfOther>()

    /** The number of the last change of [told]. */
    var toldNumber: Long = 0
        private set

    /** The number of the last change of [all]. */
    var number: Long = 0
        private set

    /** The forwarders that have told this control VM of themselves. */
    val told: List<Forwarder> get() = own.values.toList()

    /** All known forwarders. */
    val all: List<Forwarder> get() = (own.values + ofOthers.values.flatMap { it.forwarders }).distinctBy { it.vm }

    /** Receives a forwarder from itself. */
    fun receive(forwarder: Forwarder) {
        if (own.put(forwarder.vm, forwarder) != forwarder) recordChange(isTold = true)
    }

    /** Receives the list in [exchange], and returns the number of the list of its sender that is known now. */
    fun receive(exchange: StateExchange, nowMs: Long): Long {
        val former = ofOthers[exchange.vm]?.takeIf { it.source == exchange.source }
        if (exchange.forwardersNumber == 0L) return former?.number ?: 0
        if (former?.number == exchange.forwardersNumber) {
            former.atMs = nowMs
        } else if (exchange.forwarders.isNotEmpty()) {
            ofOthers[exchange.vm] =
                ListOfOther(exchange.source, exchange.forwardersNumber, exchange.forwarders, nowMs)
            recordChange(isTold = false)
        }
        return ofOthers[exchange.vm]?.takeIf { it.source == exchange.source }?.number ?: 0
    }

    /** Removes the forwarders that are not [isPresent], and the lists of control VMs that have long been silent. */
    fun expire(nowMs: Long, isPresent: (VmId) -> Boolean) {
        if (own.keys.removeIf { !isPresent(it) }) recordChange(isTold = true)
        if (ofOthers.values.removeIf { nowMs - it.atMs > LIST_RETENTION_MS }) recordChange(isTold = false)
    }

    private fun recordChange(isTold: Boolean) {
        number += 1
        if (isTold) toldNumber += 1
    }
}
