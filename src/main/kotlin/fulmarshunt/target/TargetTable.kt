/*
 * The targets that have announced themselves to this process, with the plainest choice among them: the one with the
 * fewest requests in flight.
 */
package fulmarshunt.target

import fulmarshunt.FencingNumber
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.entry.AdmissionReply
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.Granted
import fulmarshunt.entry.RejectReason
import fulmarshunt.entry.Rejected

/** A target that has not announced itself for this long gets no new work. */
private const val ANNOUNCEMENT_VALID_MS = 3_000L

private const val RETRY_AFTER_MS = 1_000L

/** The live targets and their requests in flight; confined to the control thread. */
public class TargetTable {
    private class Entry(var announcement: TargetAnnouncement, var heardAtMs: Long) {
        val running = mutableSetOf<TicketId>()
    }

    private val entries = mutableMapOf<TargetId, Entry>()

    /** Takes an announcement; one of an older incarnation is ignored. */
    public fun announce(announcement: TargetAnnouncement, nowMs: Long) {
        val entry = entries.getOrPut(announcement.target) { Entry(announcement, nowMs) }
        if (announcement.incarnation < entry.announcement.incarnation) return
        if (announcement.incarnation > entry.announcement.incarnation) entry.running.clear()
        entry.announcement = announcement
        entry.heardAtMs = nowMs
    }

    /** Grants the live target with the fewest requests in flight, or rejects. */
    public fun admit(request: AdmissionRequest, nowMs: Long): AdmissionReply {
        val chosen =
            entries.values
                .filter { it.canServe(request, nowMs) }
                .minByOrNull { it.running.size }
                ?: return Rejected(RejectReason.NO_TARGET, RETRY_AFTER_MS)
        chosen.running += request.ticket
        val target = chosen.announcement
        return Granted(
            target = target.target,
            address = target.address,
            incarnation = target.incarnation,
            fence = FencingNumber(1),
            priority = 0,
            maxOutputTokens = request.maxOutputTokens,
        )
    }

    /** Frees the place of [ticket] at [target]. */
    public fun end(ticket: TicketId, target: TargetId) {
        entries[target]?.running?.remove(ticket)
    }

    private fun Entry.canServe(request: AdmissionRequest, nowMs: Long): Boolean =
        nowMs - heardAtMs <= ANNOUNCEMENT_VALID_MS &&
            !announcement.leaving &&
            request.service in announcement.services &&
            announcement.target !in request.excluded &&
            running.size < announcement.fullLimit
}
