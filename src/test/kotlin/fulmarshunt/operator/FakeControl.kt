/*
 * A fake of control for tests of the operators' programs: processes on loopback links that share a configuration, reply
 * to a repeated command id with the first reply, and let a test override replies.
 */
package fulmarshunt.operator

import fulmarshunt.Address
import fulmarshunt.CommandId
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.process.Console
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText

const val LINK_SECRET = "a-link-secret-for-tests"
const val OPERATOR_KEY = "the-key-of-the-operator"

/** Returns a reply that overrides the usual one, or null. */
typealias Interception = suspend (OperatorCall, Links) -> OperatorReply?

class FakeControl : AutoCloseable {
    var configuration = Configuration(Revision(1))
    val calls = CopyOnWriteArrayList<OperatorCall>()
    val submissions: List<OperatorCommand> get() = calls.filterIsInstance<SubmitCommand>().map { it.command }
    private val firstReplies = mutableMapOf<CommandId, Pair<OperatorCommand, OperatorReply>>()
    private val processes = mutableListOf<Links>()

    suspend fun listen(intercept: Interception = { _, _ -> null }): Address {
        lateinit var links: Links
        val handlers = LinkHandlers().with(operatorChannel) { _, call ->
            calls += call
            intercept(call, links) ?: handle(call)
        }
        links = linksOf("control", LINK_SECRET, handlers).also { processes += it }
        return links.listen(Address("127.0.0.1", 0)).getOrNull()!!
    }

    @Synchronized
    fun handle(call: OperatorCall): OperatorReply = when {
        call.key.value != OPERATOR_KEY -> CallRefused("the operator or the key is unknown")
        call is SubmitCommand -> firstReplies[call.command.id]?.let { (command, reply) ->
            if (command == call.command) reply else CallRefused("the command id was used for another command")
        } ?: apply(call.command).also { firstReplies[call.command.id] = call.command to it }
        call is ReadConfiguration -> ConfigurationReply(configuration)
        call is ReadStatus -> StatusReply(configuration.revision, LogIndex(9), emptyList(), emptyList())
        call is ReadAudit -> AuditReply(emptyList())
        else -> CallDone
    }

    private fun apply(command: OperatorCommand): OperatorReply {
        if (command.expectedRevision != configuration.revision) return CommandConflict(configuration)
        val revision = Revision(configuration.revision.value + 1)
        configuration = configuration.withAll(command.changes).copy(revision = revision)
        return CommandAccepted(revision, isInEffect = true)
    }

    override fun close() = processes.forEach { it.close() }
}

/** A console that records its output. */
class RecordedConsole {
    val lines = CopyOnWriteArrayList<String>()
    val problems = CopyOnWriteArrayList<String>()
    val console = Console({ lines += it }, { problems += it })
    val text: String get() = (lines + problems).joinToString("\n")
}

/** Writes settings for an operator's program that calls control at [addresses]. */
fun writeOperatorSettings(directory: Path, addresses: List<Address>): Path =
    directory.resolve("operator.toml").also { file ->
        file.writeText(
            """
            [link]
            secret = "$LINK_SECRET"
            [control]
            addresses = [${addresses.joinToString { "\"$it\"" }}]
            [operator]
            id = "ana"
            """.trimIndent(),
        )
    }

val testEnvironment: (String) -> String? = mapOf("FULMARSHUNT_OPERATOR_KEY" to OPERATOR_KEY)::get

val testOperator = OperatorId("ana")
