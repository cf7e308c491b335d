/*
 * What a pool asks of the process that hosts it. The pool only decides; the host answers requests, cancels generations
 * and reports deaths.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.entry.AdmissionReply

/** An action that a pool has decided on. */
public sealed interface PoolEffect {
    /** Answers the waiting request of [ticket]. */
    public data class Decide(public val ticket: TicketId, public val reply: AdmissionReply) : PoolEffect

    /** Cancels a generation that nobody receives. */
    public data class CancelGeneration(
        public val target: TargetId,
        public val address: Address,
        public val ticket: TicketId,
    ) : PoolEffect

    /** Reports the death of a target and the requests that ran on it. */
    public data class ReportDeath(
        public val target: TargetId,
        public val incarnation: Incarnation,
        public val running: List<Fingerprint>,
    ) : PoolEffect
}
