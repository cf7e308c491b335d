/*
 * Submitting one command and saying what became of it.
 */
package fulmarshunt.operator

import fulmarshunt.CommandId
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.process.Secret
import java.util.UUID

/** Who gives a command. */
public data class Credentials(public val operator: OperatorId, public val key: Secret)

/** What became of an order. */
public sealed interface OrderResult

/** The command was accepted; [isInEffect] says whether every entry VM is known to follow it. */
public data class OrderAccepted(
    public val commandId: CommandId,
    public val revision: Revision,
    public val isInEffect: Boolean,
) : OrderResult

/** The configuration was as ordered already, so nothing was submitted. */
public data class NothingToDo(public val revision: Revision) : OrderResult

/** The configuration changed after it was shown; [differences] lists how, if that is known. */
public data class OrderConflict(
    public val expected: Revision,
    public val current: Revision,
    public val differences: List<String>,
) : OrderResult

/** The order was refused and changed nothing. */
public data class OrderRefused(public val reason: String) : OrderResult

/** No answer came; [resendable] can be submitted again if it was a command. */
public data class OrderUnanswered(public val reason: String, public val resendable: OperatorCommand? = null) :
    OrderResult

/** The answer to an order that is not a command. */
public data class OrderAnswered(public val reply: OperatorReply) : OrderResult

/** Returns a random command id. */
public fun newCommandId(): CommandId = CommandId(UUID.randomUUID().toString())

/**
 * Submits [command] and waits up to [waitInEffectMs] until it is in effect everywhere.
 *
 * @param shown the configuration that the operator saw, to describe what changed since in a conflict.
 */
public suspend fun submitCommand(
    port: OperatorTransport,
    credentials: Credentials,
    command: OperatorCommand,
    waitInEffectMs: Long,
    shown: Configuration? = null,
): OrderResult {
    val call = SubmitCommand(credentials.operator, credentials.key, command, waitInEffectMs)
    return port(call).fold(
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
                else -> unexpected(reply)
            }
        },
    )
}

/** Reads the configuration in effect, or says why it cannot be read. */
public suspend fun readConfiguration(port: OperatorTransport, credentials: Credentials): ConfigurationRead =
    port(ReadConfiguration(credentials.operator, credentials.key)).fold(
        { ConfigurationRead.Failed(OrderUnanswered(it)) },
        { reply ->
            when (reply) {
                is ConfigurationReply -> ConfigurationRead.Found(reply.configuration)
                is CallRefused -> ConfigurationRead.Failed(OrderRefused(reply.reason))
                else -> ConfigurationRead.Failed(unexpected(reply))
            }
        },
    )

/** The result of reading the configuration. */
public sealed interface ConfigurationRead {
    /** The configuration in effect. */
    public data class Found(public val configuration: Configuration) : ConfigurationRead

    /** Why it could not be read. */
    public data class Failed(public val result: OrderResult) : ConfigurationRead
}

/** A reply of a kind that does not belong to the call comes from a process of another version. */
internal fun unexpected(reply: OperatorReply): OrderResult =
    OrderRefused("control answered with an unexpected ${reply::class.simpleName}: use programs of the same version")
