/*
 * Takes announcements of targets at any entry VM and passes them to the owner of the target's pool.
 */
package fulmarshunt.entry

import fulmarshunt.target.AcceptAnnouncement
import fulmarshunt.target.AnnouncementResult
import fulmarshunt.target.problemOrNull

/** Returns a function that checks an announcement and passes it on with [pass], which returns why it could not. */
public fun announcementForwarding(
    state: () -> SharedState,
    pass: suspend (PassAnnouncement) -> String?,
): AcceptAnnouncement = { announcement ->
    val configuration = state().configuration
    val problem = announcement.problemOrNull(configuration)
    if (problem != null) {
        AnnouncementResult.Invalid(problem)
    } else {
        val pool = configuration.poolOf(announcement.target, announcement.domain)
        pass(PassAnnouncement(pool, announcement))?.let { AnnouncementResult.NoOwner(it) }
            ?: AnnouncementResult.Accepted
    }
}
