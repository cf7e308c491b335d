/*
 * Accepts announcements of targets at any entry VM and forwards them to the owner of the target's pool.
 */
package fulmarshunt.entry

import fulmarshunt.target.AcceptAnnouncement
import fulmarshunt.target.AnnouncementResult
import fulmarshunt.target.problemOrNull

/**
 * Returns a function that validates an announcement and forwards it with [forward], which returns null or the reason
 * for a failure.
 */
public fun announcementForwarding(
    state: () -> SharedState,
    forward: suspend (ForwardAnnouncement) -> String?,
): AcceptAnnouncement = { announcement ->
    val configuration = state().configuration
    val problem = announcement.problemOrNull(configuration)
    if (problem != null) {
        AnnouncementResult.Invalid(problem)
    } else {
        val pool = configuration.poolOf(announcement.target, announcement.domain)
        forward(ForwardAnnouncement(pool, announcement))?.let { AnnouncementResult.NoOwner(it) }
            ?: AnnouncementResult.Accepted
    }
}
