/*
 * Why a request did not succeed. Each problem says whether the request ran, so that callers know whether a resend is
 * safe.
 */
package fulmarshunt.caller

/** Whether a failed request ran at a target. */
public enum class RunState(
    /** The value in responses to callers. */
    public val label: String,
) {
    /** No byte of the request reached a target, or the target refused it. */
    NOT_RUN("not_run"),

    /** The request may have run, in part or completely. */
    UNKNOWN("unknown"),

    /** The request ran to completion. */
    FINISHED("finished"),
}

/** The kinds of problems; [slug] is stable, because it is part of the interface to callers. */
public enum class ProblemKind(public val slug: String, public val title: String) {
    MALFORMED("malformed-request", "The request cannot be read"),
    UNAUTHENTICATED("unauthenticated", "The API key is missing or unknown"),
    UNKNOWN_SERVICE("unknown-service", "The service does not exist"),
    RATE_LIMITED("rate-limited", "The client account exceeds its limits"),
    OVERLOADED("overloaded", "No capacity within the time the request may wait"),
    UNAVAILABLE("unavailable", "No target can take the request now"),
    QUARANTINED("quarantined", "The request crashed the targets that ran it"),
    KEY_REUSED("idempotency-key-reused", "The idempotency key was used for another call"),
    ANSWER_NOT_KEPT("answer-not-kept", "The call ran and its answer was too large to be kept"),
    OUTCOME_UNKNOWN("outcome-unknown", "The call was sent and its outcome is not known"),
    GENERATION_LOST("generation-lost", "The target that ran the generation was lost"),
}

/** A problem as callers see it. */
public data class RequestProblem(
    public val kind: ProblemKind,
    public val ran: RunState,
    /** One sentence about this occurrence. */
    public val detail: String,
    /** The time after which a resend is expected to succeed, or null if it is not expected to. */
    public val retryAfterMs: Long? = null,
)
