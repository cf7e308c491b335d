/*
 * The interfaces of the replicated log: to its state machine, and to the callers that propose commands.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.Term

/** A deterministic state machine. All functions, except what [snapshot] returns, are called on the control thread. */
public class ReplicatedStateMachine(
    /** Applies a committed command; called in log order. The result is returned to the proposer. */
    public val apply: (LogIndex, ByteArray) -> ByteArray,
    /**
     * Captures the state after the last applied command, and returns a function that encodes it. That function is
     * called on another thread, because encoding a large state takes most of an election timeout.
     */
    public val snapshot: () -> () -> ByteArray,
    /** Replaces the state with one that was captured after the entry at the given index. */
    public val restore: (LogIndex, ByteArray) -> Unit,
)

/** Why a proposal has no result. */
public sealed interface ProposeFailure {
    /** The command was not proposed, because this voter does not lead; [leader] does, if known. */
    public data class NotLeader(val leader: Address?) : ProposeFailure

    /** The command was not proposed, because it could not be committed now. */
    public data class Refused(val reason: String) : ProposeFailure

    /** The command may or may not commit. */
    public data class Undecided(val reason: String) : ProposeFailure
}

/** The current term and leader, as far as this voter knows. */
public data class Leadership(public val term: Term, public val isLeader: Boolean, public val leader: Address?)
