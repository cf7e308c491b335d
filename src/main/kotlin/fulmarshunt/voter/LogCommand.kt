/*
 * The commands of the replicated log. One log entry holds one or more commands, so that concurrent claims share a disk
 * sync; the reply of an entry holds one reply for each.
 */
package fulmarshunt.voter

import fulmarshunt.OperatorId
import fulmarshunt.VmId
import fulmarshunt.caller.ClaimCall
import fulmarshunt.caller.ClaimReply
import fulmarshunt.entry.RegistryChange
import fulmarshunt.entry.ReportTargetCrash
import fulmarshunt.operator.CommandOutcome
import fulmarshunt.operator.SubmittedAction
import fulmarshunt.operator.SubmittedCommand
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command of the replicated log. */
@Serializable
public sealed interface LogCommand

/** A change of the configuration. */
@Serializable
@SerialName("command")
public data class ApplyCommand(public val submitted: SubmittedCommand) : LogCommand

/** Another action of an operator. */
@Serializable
@SerialName("action")
public data class ApplyAction(public val submitted: SubmittedAction) : LogCommand

/** Adds the first operator, with every permission; without effect when there is one already. */
@Serializable
@SerialName("first-operator")
public data class AddFirstOperator(public val operator: OperatorId, public val keySha256: String) : LogCommand

/** A change of a claim, received at [nowEpochMs] by the leader's wall clock. */
@Serializable
@SerialName("claim")
public data class ApplyClaim(public val call: ClaimCall, public val nowEpochMs: Long) : LogCommand

/** A change of the entry VM registry or of pool ownership. */
@Serializable
@SerialName("registry")
public data class ApplyRegistry(public val change: RegistryChange) : LogCommand

/** Says that [vm] has begun the shutdown that an operator asked for. */
@Serializable
@SerialName("shutdown-begun")
public data class ShutdownBegun(public val vm: VmId) : LogCommand

/** The death of a target, received at [nowEpochMs] by the leader's wall clock. */
@Serializable
@SerialName("death")
public data class ApplyCrash(public val report: ReportTargetCrash, public val nowEpochMs: Long) : LogCommand

/** Drops claims, quarantines and suspicions that have expired at [nowEpochMs] by the leader's wall clock. */
@Serializable
@SerialName("expire")
public data class Expire(public val nowEpochMs: Long) : LogCommand

/** The reply to a [LogCommand]. */
@Serializable
public sealed interface LogReply

/** The reply to [ApplyCommand] and [ApplyAction]. */
@Serializable
@SerialName("command")
public data class CommandReply(public val outcome: CommandOutcome) : LogReply

/** The reply to [ApplyClaim]. */
@Serializable
@SerialName("claim")
public data class ClaimLogReply(public val reply: ClaimReply) : LogReply

/** The reply to commands that have no other. */
@Serializable
@SerialName("done")
public data object Done : LogReply
