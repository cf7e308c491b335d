/*
 * What the caller side measures.
 */
package fulmarshunt.caller

/** Receives measurements; the defaults drop them. */
public class CallerMeters(
    /** A request ended; the outcome is `finished`, `cancelled` or the slug of a problem. */
    public val request: (outcome: String) -> Unit = {},
    public val queuedMs: (Long) -> Unit = {},
    public val firstTokenMs: (Long) -> Unit = {},
    public val betweenTokensMs: (Long) -> Unit = {},
    public val attempt: () -> Unit = {},
    public val resume: () -> Unit = {},
)
