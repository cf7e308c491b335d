/*
 * The functions by which the caller side requests placements and reports their use.
 */
package fulmarshunt.caller

import arrow.core.Either
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.TicketOutcome

/** Admits requests to targets. */
public class Admissions(
    /** Waits for a placement. */
    public val admit: suspend (AdmissionRequest) -> Either<Rejected, PlacedGrant>,
    /** Checks a grant immediately before it is used; returns null, or why it cannot be used and was released. */
    public val use: (PlacedGrant) -> String?,
    /** Reports the number of tokens, the time to the first one in ms and the mean time between them in ms. */
    public val progress: (PlacedGrant, Int, Long, Double) -> Unit,
    /** Reports the end of the request with the number of tokens. */
    public val end: (PlacedGrant, Int, TicketOutcome) -> Unit,
)
