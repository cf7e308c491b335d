/*
 * The tickets that were granted and have not ended, and their assignment to targets.
 */
package fulmarshunt.target

import fulmarshunt.TargetId
import fulmarshunt.TicketId

/** A cancelled generation counts as in flight this long, unless its end is reported earlier. */
private const val CANCELLATION_LIMIT_MS = 3_000L

/** The running tickets of a pool. */
internal class RunningTickets(
    private val targets: Map<TargetId, TargetState>,
    private val queue: WaitingQueue,
    private val emit: (PoolEffect) -> Unit,
) {
    private val byId = HashMap<TicketId, Ticket>()

    /** Registered tickets of targets that have not announced themselves yet. */
    private val unattached = HashMap<TargetId, MutableList<Ticket>>()
    private val cancelled = ArrayDeque<Ticket>()

    val all: Collection<Ticket> get() = byId.values

    operator fun contains(ticket: TicketId): Boolean = ticket in byId

    fun getOrNull(ticket: TicketId): Ticket? = byId[ticket]

    fun add(ticket: Ticket) {
        byId[ticket.request.ticket] = ticket
    }

    /** Adds a ticket of a target that has not announced itself yet. */
    fun addUnattached(ticket: Ticket) {
        add(ticket)
        unattached.getOrPut(ticket.target) { ArrayList() } += ticket
    }

    /** Assigns the tickets registered for [target] to it; those of other incarnations have ended. */
    fun attach(target: TargetState, raisesLimit: Boolean, nowMs: Long) {
        val registered = unattached.remove(target.id).orEmpty()
        val (current, gone) = registered.partition { it.incarnation == target.announcement.incarnation }
        gone.forEach { byId.remove(it.request.ticket) }
        target.adopt(current, raisesLimit, nowMs)
        current.filter { it.cancelledMs >= 0 }.forEach(::emitCancel)
    }

    /** Removes the tickets of an incarnation that will not return. */
    fun forget(target: TargetState) {
        byId.keys.removeAll(target.orphans.keys + target.tickets.keys)
    }

    /** Sets the token count of a ticket and charges the new tokens to its account. */
    fun count(ticket: Ticket, tokens: Int) {
        if (tokens <= ticket.tokens) return
        queue.charge(ticket.request.account, tokens - ticket.tokens)
        val target = targets[ticket.target]
        if (target != null && ticket.request.ticket in target.tickets) {
            target.update(ticket, tokens)
        } else {
            ticket.tokens = tokens
        }
    }

    /** Cancels a generation; it is released once its end is reported or [CANCELLATION_LIMIT_MS] have passed. */
    fun cancel(ticket: Ticket, nowMs: Long) {
        if (ticket.cancelledMs >= 0) return
        ticket.cancelledMs = nowMs
        cancelled += ticket
        emitCancel(ticket)
    }

    fun releaseCancelled(nowMs: Long) {
        while (cancelled.isNotEmpty() && nowMs - cancelled.first().cancelledMs >= CANCELLATION_LIMIT_MS) {
            release(cancelled.removeFirst())
        }
    }

    fun nextReleaseMsOrNull(): Long? = cancelled.firstOrNull()?.let { it.cancelledMs + CANCELLATION_LIMIT_MS }

    fun release(ticket: Ticket) {
        val id = ticket.request.ticket
        if (!byId.remove(id, ticket)) return
        val target = targets[ticket.target]
        target?.remove(ticket)
        target?.orphans?.remove(id, ticket)
        unattached[ticket.target]?.remove(ticket)
    }

    private fun emitCancel(ticket: Ticket) {
        val address = targets[ticket.target]?.announcement?.address ?: return
        emit(CancelGeneration(ticket.target, address, ticket.request.ticket))
    }
}
