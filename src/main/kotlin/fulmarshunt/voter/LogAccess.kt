/*
 * The operations of the replicated log that the control service uses; tests provide them with a log in memory.
 */
package fulmarshunt.voter

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.operator.VoterStatus
import kotlinx.coroutines.flow.StateFlow

/** The operations of a replicated log; times are in milliseconds. */
public class LogAccess(
    public val propose: suspend (ByteArray, Long) -> Either<ProposeFailure, ByteArray>,
    public val confirmLeadership: suspend (Long) -> Boolean,
    public val holdsQuorum: (Long) -> Boolean,
    public val leadership: StateFlow<Leadership>,
    public val addVoter: suspend (VoterId, VmId, Address, Long) -> Either<String, Unit>,
    public val removeVoter: suspend (VoterId, Long) -> Either<String, Unit>,
    public val status: suspend () -> List<VoterStatus>,
)

/** Returns the operations of this log. */
public fun ReplicatedLog.access(): LogAccess = LogAccess(
    propose = ::propose,
    confirmLeadership = ::confirmLeadership,
    holdsQuorum = ::holdsQuorum,
    leadership = leadership,
    addVoter = ::addVoter,
    removeVoter = ::removeVoter,
    status = ::status,
)
