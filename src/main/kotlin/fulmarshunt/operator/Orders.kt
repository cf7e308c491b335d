/*
 * The orders that operators submit one at a time. A change of the configuration is submitted with the revision that it
 * is based on; every other order is a single call.
 */
package fulmarshunt.operator

import fulmarshunt.Address
import fulmarshunt.CommandId
import fulmarshunt.LogIndex
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.VoterId

/** An order of an operator. */
public sealed interface Order

/** Drains a failure domain or target, or restores it. */
public data class DrainOrder(public val change: ConfigurationChange) : Order

/** Shuts an entry VM down gracefully. */
public data class ShutDownOrder(public val vm: VmId) : Order

/** A control VM that will become a voter. */
public data class JoiningVoter(public val id: VoterId, public val vm: VmId, public val address: Address)

/** Adds [joining] once it has caught up, then removes [leaving]. */
public data class VoterOrder(public val joining: JoiningVoter?, public val leaving: VoterId?) : Order

/** Shows the voters and entry VMs. */
public data object StatusOrder : Order

/** Shows at most [limit] audit records after [after]. */
public data class AuditOrder(public val after: LogIndex, public val limit: Int) : Order

/** Shows the configuration in effect. */
public data object ConfigurationOrder : Order

/** Options for the submission of a command. */
public data class SubmissionOptions(
    public val commandId: CommandId,
    /** The revision that an earlier attempt with the same command id was based on; null to read the current one. */
    public val expectedRevision: Revision? = null,
    public val waitInEffectMs: Long = 5_000,
    public val reason: String = "",
)

/** Executes [order] by calls over [transport]. */
public suspend fun executeOrder(
    order: Order,
    transport: OperatorTransport,
    credentials: Credentials,
    options: SubmissionOptions,
): OrderResult = when (order) {
    is DrainOrder -> drain(order.change, transport, credentials, options)
    else -> transport(callFor(order, credentials)).fold(
        { OrderUnanswered(it) },
        { if (it is CallRefused) OrderRefused(it.reason) else OrderAnswered(it) },
    )
}

private fun callFor(order: Order, credentials: Credentials): OperatorCall {
    val operator = credentials.operator
    val key = credentials.key
    return when (order) {
        is ShutDownOrder -> ShutDownVm(operator, key, order.vm)
        is VoterOrder ->
            ChangeVoters(operator, key, order.joining?.id, order.joining?.vm, order.joining?.address, order.leaving)
        is StatusOrder -> ReadStatus(operator, key)
        is AuditOrder -> ReadAudit(operator, key, order.after, order.limit)
        is ConfigurationOrder -> ReadConfiguration(operator, key)
        is DrainOrder -> error("a drain order is submitted as a command")
    }
}

private suspend fun drain(
    change: ConfigurationChange,
    transport: OperatorTransport,
    credentials: Credentials,
    options: SubmissionOptions,
): OrderResult {
    val resentRevision = options.expectedRevision
    if (resentRevision != null) {
        return submitCommand(
            transport,
            credentials,
            options.command(credentials, resentRevision, change),
            options.waitInEffectMs,
        )
    }
    val current =
        when (val read = readConfiguration(transport, credentials)) {
            is ConfigurationRead.Found -> read.configuration
            is ConfigurationRead.Failed -> return read.result
        }
    if (change is SetFailureDomainDrained && change.id !in current.domains) {
        return OrderRefused(
            "there is no failure domain ${change.id}: use one of ${current.domains.keys.joinToString()}",
        )
    }
    if (current.with(change) == current) return NothingToDo(current.revision)
    val command = options.command(credentials, current.revision, change)
    return submitCommand(transport, credentials, command, options.waitInEffectMs, current)
}

private fun SubmissionOptions.command(
    credentials: Credentials,
    revision: Revision,
    change: ConfigurationChange,
): OperatorCommand = OperatorCommand(commandId, credentials.operator, revision, listOf(change), reason)
