/*
 * Submission of a command to the control leader, and the result of an order.
 */
package fulmarshunt.operator

import fulmarshunt.CommandId
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.process.Secret
import java.util.UUID

/** The id and key with which an operator authenticates. */
public data class Credentials(public val operator: OperatorId, public val key: Secret)

/** The outcome of an order as known to its sender; after [OrderUnanswered], it may still have taken effect. */
public sealed interface OrderResult

/** The command was accepted; [isInEffect] tells whether every entry VM is known to have applied it. */
public data class OrderAccepted(
    public val commandId: CommandId,
    public val revision: Revision,
    public val isInEffect: Boolean,
) : OrderResult

/** The configuration already was in the requested state, so nothing was submitted. */
public data class NothingToDo(public val revision: Revision) : OrderResult

/** The configuration changed after it was shown; [differences] lists the changes, or is empty if they are unknown. */
public data class OrderConflict(
    public val expected: Revision,
    public val current: Revision,
    public val differences: List<String>,
) : OrderResult

/** The order was refused and nothing changed. */
public data class OrderRefused(public val reason: String) : OrderResult

/** No reply was received; [resendable] is the command to submit again, or null if the order was not a command. */
public data class OrderUnanswered(public val reason: String, public val resendable: OperatorCommand? = null) :
    OrderResult

/** The reply to an order that is not a command. */
public data class OrderAnswered(public val reply: OperatorReply) : OrderResult

/** Returns a random command id. */
public fun newCommandId(): CommandId = CommandId(UUID.randomUUID().toString())

/**
 * Submits [command] and waits up to [waitInEffectMs] until it is in effect everywhere.
 *
 * @param shown the configuration that the operator saw; a conflict describes what has changed since.
 */
public suspend fun submitCommand(
    transport: OperatorTransport,
    credentials: Credentials,
    command: OperatorCommand,
    waitInEffectMs: Long,
    shown: Configuration? = null,
): OrderResult {
    val call = SubmitCommand(credentials.operator, credentials.key, command, waitInEffectMs)
    return transport(call).fold(
        { OrderUnanswered(it, command) },
        { reply ->
            when (reply) {
                is CommandAccepted -> OrderAccepted(command.id, reply.revision, reply.isInEffect)
                is CommandConflict -> OrderConflict(
                    command.expectedRevision,
                    reply.current.revision,
                    shown?.let { describeDifference(it, reply.current) }.orEmpty(),
                )
                is CallRefused -> OrderRefused(reply.reason)
                else -> unexpectedReply(reply)
            }
        },
    )
}

/** Reads the configuration in effect. */
public suspend fun readConfiguration(transport: OperatorTransport, credentials: Credentials): ConfigurationRead =
    transport(ReadConfiguration(credentials.operator, credentials.key)).fold(
        { ConfigurationRead.Failed(OrderUnanswered(it)) },
        { reply ->
            when (reply) {
                is ConfigurationReply -> ConfigurationRead.Found(reply.configuration)
                is CallRefused -> ConfigurationRead.Failed(OrderRefused(reply.reason))
                else -> ConfigurationRead.Failed(unexpectedReply(reply))
            }
        },
    )

/** The result of reading the configuration. */
public sealed interface ConfigurationRead {
    /** The configuration in effect. */
    public data class Found(public val configuration: Configuration) : ConfigurationRead

    /** The configuration could not be read; [result] tells why. */
    public data class Failed(public val result: OrderResult) : ConfigurationRead
}

/** Refuses a reply of a type that does not match the call; it comes from a process of another version. */
internal fun unexpectedReply(reply: OperatorReply): OrderResult =
    OrderRefused("control sent an unexpected ${reply::class.simpleName}: use programs of the same version")
