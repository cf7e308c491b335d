/*
 * What the control service needs of the replicated log.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.Term

/** The state machine that the replicated log feeds, on the control thread. */
public class ReplicatedStateMachine(
    public val apply: (LogIndex, ByteArray) -> ByteArray,
    public val snapshot: () -> ByteArray,
    public val restore: (LogIndex, ByteArray) -> Unit,
)

/** Why a proposal has no result. */
public sealed interface ProposeFailure {
    /** This voter does not lead; the proposal is not in the log. */
    public data class NotLeader(public val leader: Address?) : ProposeFailure

    /** The proposal may be committed later. */
    public data class Undecided(public val reason: String) : ProposeFailure
}

/** Who leads, as this voter knows. */
public data class Leadership(public val term: Term, public val isLeader: Boolean, public val leader: Address?)
