/*
 * Operators' commands and actions as stored in the replicated log. The leader hashes the presented key and the content
 * on receipt, so that applying an entry needs no hashing and the log contains no secret.
 */
package fulmarshunt.operator

import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.VoterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command with the hashes and the time that the leader adds on receipt. */
@Serializable
public data class SubmittedCommand(
    public val command: OperatorCommand,
    /** The SHA-256 of the key that the operator presented. */
    public val keySha256: String,
    /** The SHA-256 of the command, which distinguishes a resend from another command with the same id. */
    public val contentSha256: String,
    public val receivedAtEpochMs: Long,
)

/** An action of an operator other than a change of the configuration. */
@Serializable
public sealed interface OperatorAction

/** The graceful shutdown of [vm]. */
@Serializable
@SerialName("vm-shutdown")
public data class VmShutdown(public val vm: VmId) : OperatorAction

/** [joining] becomes a voter and [leaving] stops being one; null means none. */
@Serializable
@SerialName("voter-change")
public data class VoterChange(public val joining: VoterId? = null, public val leaving: VoterId? = null) :
    OperatorAction

/** An action with the key hash and the time that the leader adds on receipt. */
@Serializable
public data class SubmittedAction(
    public val operator: OperatorId,
    public val keySha256: String,
    public val receivedAtEpochMs: Long,
    public val action: OperatorAction,
)

/** The outcome of a submitted command or action. */
@Serializable
public sealed interface CommandOutcome

/** The command or action was accepted; the configuration has [revision] as of the log entry at [index]. */
@Serializable
@SerialName("accepted")
public data class OutcomeAccepted(public val revision: Revision, public val index: LogIndex) : CommandOutcome

/** The expected revision was not the current one. */
@Serializable
@SerialName("conflict")
public data class OutcomeConflict(public val current: Revision) : CommandOutcome

/** Nothing changed, for [reason]. */
@Serializable
@SerialName("refused")
public data class OutcomeRefused(public val reason: String) : CommandOutcome

/** Returns the permission that [action] needs. */
public fun permissionFor(action: OperatorAction): Permission = when (action) {
    is VmShutdown -> Permission.OPERATE
    is VoterChange -> Permission.ADMINISTER
}
