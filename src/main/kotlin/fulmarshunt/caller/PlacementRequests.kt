/*
 * Requests the placements of one caller request, one after another. Each placement request has a ticket of its own and
 * says how long the caller request has been queued, which targets are excluded and where earlier attempts were lost.
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
import fulmarshunt.target.TargetInstance

/** The placement requests of one caller request; their tickets extend that of [template] by a number. */
internal class PlacementRequests(
    private val template: AdmissionRequest,
    private val admissions: Admissions,
    private val clock: Clock,
    private val meters: CallerMeters,
) {
    private val excluded = mutableListOf<TargetId>()
    private val lost = mutableListOf<LostAttempt>()
    private var queuedMs = 0L
    private var requestCount = 0

    /** Waits for a placement; the returned grant must be checked before it is used. */
    suspend fun next(): Either<Rejected, PlacedGrant> {
        val startMs = clock.nowMs()
        val reply = admissions.admit(nextAdmission())
        queuedMs += clock.nowMs() - startMs
        return reply.onRight { meters.queuedMs(queuedMs) }
    }

    /** Excludes the target of [grant] from later placements; [isLost] means that the request may still run there. */
    fun exclude(grant: PlacedGrant, isLost: Boolean) {
        val granted = grant.granted
        excluded += granted.target
        if (isLost) lost += LostAttempt(grant.pool, TargetInstance(granted.target, granted.incarnation))
    }

    private fun nextAdmission(): AdmissionRequest = template.copy(
        ticket = TicketId("${template.ticket}.${++requestCount}"),
        waitedMs = queuedMs,
        excluded = excluded.toList(),
        lost = lost.toList(),
    )
}
