/*
 * The command line of `orders`: a subcommand for each order, and the options common to all.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.operator.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.CommandId
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.Revision
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.operator.AuditOrder
import fulmarshunt.operator.ConfigurationOrder
import fulmarshunt.operator.DrainOrder
import fulmarshunt.operator.JoiningVoter
import fulmarshunt.operator.OperatorClientLimits
import fulmarshunt.operator.Order
import fulmarshunt.operator.SetFailureDomainDrained
import fulmarshunt.operator.SetTargetDrained
import fulmarshunt.operator.ShutDownOrder
import fulmarshunt.operator.StatusOrder
import fulmarshunt.operator.SubmissionOptions
import fulmarshunt.operator.VoterOrder
import fulmarshunt.operator.newCommandId
import fulmarshunt.parseAddress
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

private const val DEFAULT_AUDIT_RECORDS = 100

/** Returns the order on the command line, or what is wrong with the command line. */
private typealias OrderSource = () -> Either<String, Order>

/** The parsed command line of `orders`. */
internal class OrderArguments(parser: ArgParser) {
    private val output by parser
        .option(choiceOf("table", "json"), "output", description = "Format of the result")
        .default("table")
    private val waitMs by parser
        .option(ArgType.Int, "wait-ms", description = "How long to wait until the command is in effect everywhere")
        .default(SubmissionOptions(CommandId("")).waitInEffectMs.toInt())
    private val deadlineMs by parser
        .option(ArgType.Int, "deadline-ms", description = "How long to look for an answer from control")
        .default(OperatorClientLimits().deadlineMs.toInt())
    private val commandId by parser
        .option(ArgType.String, "command-id", description = "Id of the command; give the same one to resend a command")
    private val expectedRevision by parser
        .option(ArgType.Int, "expected-revision", description = "Revision that a resent command was based on")
    private val reason by parser
        .option(ArgType.String, "reason", description = "A sentence for the audit trail")
        .default("")
    private var source: OrderSource = { "give a subcommand: ${subcommands.joinToString { it.name }}".left() }

    val subcommands: List<Subcommand> =
        listOf(
            DrainSubcommand("take-out", "Drain a failure domain or a target", true),
            DrainSubcommand("bring-back", "Restore a failure domain or a target", false),
            ShutDownSubcommand(),
            VoterSubcommand("replace-voter", "Add a control VM, then remove another", joins = true, leaves = true),
            VoterSubcommand("add-voter", "Add a control VM", joins = true, leaves = false),
            VoterSubcommand("remove-voter", "Remove a control VM", joins = false, leaves = true),
            SimpleSubcommand("status", "Show the voters and the entry VMs", StatusOrder),
            AuditSubcommand(),
            SimpleSubcommand("configuration", "Show the configuration in effect", ConfigurationOrder),
        )

    val isJson: Boolean get() = output == "json"

    val limits: OperatorClientLimits get() = OperatorClientLimits(deadlineMs = deadlineMs.toLong())

    fun order(): Either<String, Order> = source()

    fun options(): Either<String, SubmissionOptions> {
        if (waitMs < 0) return "--wait-ms: $waitMs is out of range: use 0 or more".left()
        if (deadlineMs <= 0) return "--deadline-ms: $deadlineMs is out of range: use 1 or more".left()
        val revision = expectedRevision
        if (revision != null && commandId == null) {
            return "--expected-revision: give --command-id too, as the lost attempt printed it".left()
        }
        val id = commandId?.let(::CommandId) ?: newCommandId()
        return SubmissionOptions(id, revision?.let { Revision(it.toLong()) }, waitMs.toLong(), reason).right()
    }

    private inner class DrainSubcommand(name: String, description: String, private val isDrained: Boolean) :
        Subcommand(name, description) {
        private val kind by argument(choiceOf("domain", "target"), "kind")
        private val id by argument(ArgType.String, "id")

        override fun execute() {
            val change =
                if (kind == "domain") {
                    SetFailureDomainDrained(FailureDomainId(id), isDrained)
                } else {
                    SetTargetDrained(TargetId(id), isDrained)
                }
            source = { DrainOrder(change).right() }
        }
    }

    private inner class ShutDownSubcommand : Subcommand("shut-down", "Shut an entry VM down gracefully") {
        private val vm by argument(ArgType.String, "vm")

        override fun execute() {
            source = { ShutDownOrder(VmId(vm)).right() }
        }
    }

    private inner class VoterSubcommand(name: String, description: String, joins: Boolean, leaves: Boolean) :
        Subcommand(name, description) {
        private val joining = if (joins) JoiningOptions(this) else null
        private val leaving =
            if (leaves) option(ArgType.String, "leaving", description = "Voter id to remove").required() else null

        override fun execute() {
            source = {
                val leavingId = leaving?.value?.let(::VoterId)
                joining?.read()?.map { VoterOrder(it, leavingId) } ?: VoterOrder(null, leavingId).right()
            }
        }
    }

    /** The options that describe a joining voter. */
    private class JoiningOptions(command: Subcommand) {
        private val id by command
            .option(ArgType.String, "joining", description = "Voter id that the new control VM logs when it starts")
            .required()
        private val vm by command.option(ArgType.String, "vm", description = "VM id of the new control VM").required()
        private val address by command
            .option(ArgType.String, "address", description = "Link address of the new control VM, IP:PORT")
            .required()

        fun read(): Either<String, JoiningVoter> =
            parseAddress(address).mapLeft { "--address: $it" }.map { JoiningVoter(VoterId(id), VmId(vm), it) }
    }

    private inner class AuditSubcommand : Subcommand("audit", "Show the audit trail, oldest first") {
        private val after by option(ArgType.Int, "after", description = "Show records after this log index").default(0)
        private val limit by
            option(ArgType.Int, "limit", description = "Greatest number of records").default(DEFAULT_AUDIT_RECORDS)

        override fun execute() {
            source = {
                if (limit > 0) {
                    AuditOrder(LogIndex(after.toLong()), limit).right()
                } else {
                    "--limit: $limit is out of range: use 1 or more".left()
                }
            }
        }
    }

    /** A subcommand without arguments. */
    private inner class SimpleSubcommand(name: String, description: String, private val order: Order) :
        Subcommand(name, description) {
        override fun execute() {
            source = { order.right() }
        }
    }
}

/** Returns an argument type that accepts only [variants]; that of the library accepts any text unless given an enum. */
private fun choiceOf(vararg variants: String): ArgType<String> =
    ArgType.Choice(variants.toList(), { text -> variants.first { it == text } })
