/*
 * Asks for the places of one request, one after another. Each ask has a ticket of its own and says how long the request
 * has been queued, which targets it must not get and where its earlier attempts were lost.
 */
package fulmarshunt.caller

import arrow.core.Either
import fulmarshunt.Clock
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.LostAttempt
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.TargetInstance

/** The asks of one request; [first] is its first one, whose ticket the others extend by a number. */
internal class PlaceRequests(
    private val first: AdmissionRequest,
    private val admissions: Admissions,
    private val clock: Clock,
    private val meters: CallerMeters,
) {
    private val excluded = mutableListOf<TargetId>()
    private val lost = mutableListOf<LostAttempt>()
    private var queuedMs = 0L
    private var asked = 0

    /** Waits for a place; the grant has not been checked for use. */
    suspend fun next(): Either<Rejected, PlacedGrant> {
        val startMs = clock.nowMs()
        val reply = admissions.admit(nextAdmission())
        queuedMs += clock.nowMs() - startMs
        return reply.onRight { meters.queuedMs(queuedMs) }
    }

    /** Asks for other targets than that of [grant] from now on; [isLost] tells that the request may run there. */
    fun exclude(grant: PlacedGrant, isLost: Boolean) {
        val granted = grant.granted
        excluded += granted.target
        if (isLost) lost += LostAttempt(grant.pool, TargetInstance(granted.target, granted.incarnation))
    }

    private fun nextAdmission(): AdmissionRequest = first.copy(
        ticket = TicketId("${first.ticket}.${++asked}"),
        waitedMs = queuedMs,
        excluded = excluded.toList(),
        lost = lost.toList(),
    )
}
