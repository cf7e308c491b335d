/*
 * The measurements of the caller side.
 */
package fulmarshunt.caller

/** Receives measurements; the defaults ignore them. */
public class CallerMeters(
    /** Called when a request has ended; the outcome is `finished`, `cancelled` or the slug of a problem. */
    public val request: (outcome: String) -> Unit = {},
    public val queuedMs: (Long) -> Unit = {},
    public val firstTokenMs: (Long) -> Unit = {},
    public val betweenTokensMs: (Long) -> Unit = {},
    public val attempt: () -> Unit = {},
    public val resume: () -> Unit = {},
)
