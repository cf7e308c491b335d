/*
 * How the caller side asks for places and reports their use.
 */
package fulmarshunt.caller

import arrow.core.Either
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.TicketOutcome

/** Places at targets. */
public class Admissions(
    /** Waits for a place. */
    public val admit: suspend (AdmissionRequest) -> Either<Rejected, PlacedGrant>,
    /** Checks a grant directly before it is used; a reason means that it was given back. */
    public val use: (PlacedGrant) -> String?,
    /** Reports tokens, the time to the first one and the mean time between them. */
    public val progress: (PlacedGrant, Int, Long, Double) -> Unit,
    /** Reports the end with the number of tokens. */
    public val end: (PlacedGrant, Int, TicketOutcome) -> Unit,
)
