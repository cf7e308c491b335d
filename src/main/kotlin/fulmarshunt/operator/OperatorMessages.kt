/*
 * The messages between the operators' programs and the control leader.
 */
package fulmarshunt.operator

import fulmarshunt.Address
import fulmarshunt.CommandId
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.PoolId
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.link.Channel
import fulmarshunt.process.Secret
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change of the configuration that an operator submits. */
@Serializable
public data class OperatorCommand(
    public val id: CommandId,
    public val operator: OperatorId,
    /** The revision that the operator saw; the command is a conflict if it is not the current one. */
    public val expectedRevision: Revision,
    public val changes: List<ConfigurationChange>,
    /** A sentence for the audit trail. */
    public val reason: String = "",
)

/** One record of the audit trail. */
@Serializable
public data class AuditRecord(
    public val index: LogIndex,
    public val commandId: CommandId,
    public val operator: OperatorId,
    /** The wall-clock time at which the leader received the command. */
    public val receivedAtEpochMs: Long,
    public val revision: Revision,
    /** The affected parts before the command, without secrets. */
    public val before: List<String>,
    /** The affected parts after the command, without secrets. */
    public val after: List<String>,
    public val reason: String = "",
)

/** The state of a voter as the leader sees it. */
@Serializable
public data class VoterStatus(
    public val id: VoterId,
    public val vm: VmId,
    public val address: Address,
    public val isLeader: Boolean,
    public val isLearner: Boolean,
    public val matchIndex: LogIndex,
    public val lastHeardMs: Long,
)

/** The state of an entry VM as the leader sees it. */
@Serializable
public data class EntryVmStatus(
    public val vm: VmId,
    public val address: Address,
    public val hasLease: Boolean,
    public val appliedIndex: LogIndex,
    public val pools: List<PoolId>,
)

/** A call of an operator's program. It contains the operator's key, which the leader hashes before it proposes. */
@Serializable
public sealed interface OperatorCall {
    public val operator: OperatorId
    public val key: Secret
}

/** Submits a command and waits up to [waitInEffectMs] until it is in effect. */
@Serializable
@SerialName("submit")
public data class SubmitCommand(
    override val operator: OperatorId,
    override val key: Secret,
    public val command: OperatorCommand,
    public val waitInEffectMs: Long,
) : OperatorCall

/** Asks for the configuration in effect; answered with [ConfigurationReply]. */
@Serializable
@SerialName("read")
public data class ReadConfiguration(override val operator: OperatorId, override val key: Secret) : OperatorCall

/** Reads the state of voters and entry VMs. */
@Serializable
@SerialName("status")
public data class ReadStatus(override val operator: OperatorId, override val key: Secret) : OperatorCall

/** Reads at most [limit] audit records after [after]. */
@Serializable
@SerialName("audit")
public data class ReadAudit(
    override val operator: OperatorId,
    override val key: Secret,
    public val after: LogIndex,
    public val limit: Int,
) : OperatorCall

/** Asks an entry VM for a graceful shutdown. */
@Serializable
@SerialName("shut-down-vm")
public data class ShutDownVm(override val operator: OperatorId, override val key: Secret, public val vm: VmId) :
    OperatorCall

/** Adds the voter [joining] once it has caught up, then removes [leaving]; either may be null. */
@Serializable
@SerialName("change-voters")
public data class ChangeVoters(
    override val operator: OperatorId,
    override val key: Secret,
    public val joining: VoterId? = null,
    public val joiningVm: VmId? = null,
    public val joiningAddress: Address? = null,
    public val leaving: VoterId? = null,
) : OperatorCall

/** The reply to an [OperatorCall]. */
@Serializable
public sealed interface OperatorReply

/** The command was committed with [revision]; [isInEffect] tells whether every entry VM has applied it. */
@Serializable
@SerialName("accepted")
public data class CommandAccepted(public val revision: Revision, public val isInEffect: Boolean) : OperatorReply

/** The command was based on a revision that is not the current one; nothing changed. */
@Serializable
@SerialName("conflict")
public data class CommandConflict(public val current: Configuration) : OperatorReply

/** The call was refused for [reason]; nothing changed. */
@Serializable
@SerialName("refused")
public data class CallRefused(public val reason: String) : OperatorReply

/** The called process is not the leader; [leader] is, if known. */
@Serializable
@SerialName("not-leader")
public data class OperatorNotLeader(public val leader: Address? = null) : OperatorReply

/** It is unknown whether the call took effect; a command may be resent with the same id. */
@Serializable
@SerialName("unknown")
public data class OutcomeUnknown(public val reason: String) : OperatorReply

/** The current configuration. */
@Serializable
@SerialName("configuration")
public data class ConfigurationReply(public val configuration: Configuration) : OperatorReply

/** The state of voters and entry VMs. */
@Serializable
@SerialName("status")
public data class StatusReply(
    public val revision: Revision,
    public val appliedIndex: LogIndex,
    public val voters: List<VoterStatus>,
    public val entryVms: List<EntryVmStatus>,
) : OperatorReply

/** A part of the audit trail, oldest first. */
@Serializable
@SerialName("audit")
public data class AuditReply(
    public val records: List<AuditRecord>,
    /** The index of the oldest record kept; earlier ones were removed. */
    public val firstKept: LogIndex = LogIndex(0),
) : OperatorReply

/** The call was executed. */
@Serializable
@SerialName("done")
public data object CallDone : OperatorReply

/** The link channel for operators' calls to the control leader. */
public val operatorChannel: Channel<OperatorCall, OperatorReply> =
    Channel("operator", OperatorCall.serializer(), OperatorReply.serializer())
