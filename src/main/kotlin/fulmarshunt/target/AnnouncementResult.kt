/*
 * What became of an announcement that a target made.
 */
package fulmarshunt.target

/** What became of an announcement. */
public sealed interface AnnouncementResult {
    /** The owner of the target's pool has it. */
    public data object Accepted : AnnouncementResult

    /** The announcement is wrong; [problem] names the field. */
    public data class Invalid(public val problem: String) : AnnouncementResult

    /** Nobody can take it now. */
    public data class NoOwner(public val reason: String) : AnnouncementResult
}

/** Takes an announcement. */
public typealias AcceptAnnouncement = suspend (TargetAnnouncement) -> AnnouncementResult
