/*
 * The result of processing an announcement of a target.
 */
package fulmarshunt.target

/** Whether an announcement reached the owner of the target's pool, and if not, why. */
public sealed interface AnnouncementResult {
    /** The owner of the target's pool has received it. */
    public data object Accepted : AnnouncementResult

    /** The announcement is invalid; [problem] names the field. */
    public data class Invalid(public val problem: String) : AnnouncementResult

    /** No owner can receive it now. */
    public data class NoOwner(public val reason: String) : AnnouncementResult
}

/** Processes an announcement. */
public typealias AcceptAnnouncement = suspend (TargetAnnouncement) -> AnnouncementResult
