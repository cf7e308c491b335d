/*
 * The results of orders as text for a terminal.
 */
package fulmarshunt.operator.cli

import fulmarshunt.operator.AuditReply
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.ConfigurationReply
import fulmarshunt.operator.NothingToDo
import fulmarshunt.operator.OperatorReply
import fulmarshunt.operator.OrderAccepted
import fulmarshunt.operator.OrderAnswered
import fulmarshunt.operator.OrderConflict
import fulmarshunt.operator.OrderRefused
import fulmarshunt.operator.OrderResult
import fulmarshunt.operator.OrderUnanswered
import fulmarshunt.operator.StatusReply
import fulmarshunt.operator.describeDifference
import fulmarshunt.process.ExitCode
import fulmarshunt.process.ProgramOutcome
import java.time.Instant

/** Returns the lines for standard output. */
internal fun OrderResult.toLines(): List<String> = when (this) {
    is OrderAccepted -> listOf(toLine())
    is NothingToDo -> listOf(
        "the configuration at revision $revision already is in the requested state; nothing was submitted",
    )
    is OrderConflict -> differences.map { "changed meanwhile: $it" }
    is OrderAnswered -> reply.toLines()
    is OrderRefused, is OrderUnanswered -> emptyList()
}

/** Returns the exit code and the message for standard error. */
internal fun OrderResult.toProgramOutcome(): ProgramOutcome = when (this) {
    is OrderAccepted, is NothingToDo, is OrderAnswered -> ProgramOutcome(ExitCode.DONE)
    is OrderConflict -> ProgramOutcome(
        ExitCode.REFUSED,
        "conflict: based on revision $expected, but the current one is $current; nothing was changed: " +
            "look at the changes and run the command again",
    )
    is OrderRefused -> ProgramOutcome(ExitCode.REFUSED, "refused: $reason")
    is OrderUnanswered -> ProgramOutcome(ExitCode.UNREACHABLE, reason + resendHint())
}

private fun OrderAccepted.toLine(): String {
    val effect =
        if (isInEffect) {
            "in effect everywhere"
        } else {
            "not yet confirmed to be in effect everywhere (entry VMs follow or lose their leases within 5 s)"
        }
    return "command $commandId accepted as revision $revision; $effect"
}

private fun OrderUnanswered.resendHint(): String =
    resendable?.let { "; to resend it, add --command-id ${it.id} --expected-revision ${it.expectedRevision}" }.orEmpty()

private fun OperatorReply.toLines(): List<String> = when (this) {
    is StatusReply -> toStatusLines()
    is AuditReply -> toAuditLines()
    is ConfigurationReply -> listOf("revision ${configuration.revision}") +
        describeDifference(Configuration(), configuration).map { it.removePrefix("+ ") }
    else -> listOf("done")
}

private fun StatusReply.toStatusLines(): List<String> = listOf("revision $revision, applied index $appliedIndex", "") +
    formatTable(
        listOf("VOTER", "VM", "ADDRESS", "ROLE", "INDEX", "LAST HEARD MS AGO"),
        voters.map {
            val role =
                when {
                    it.isLeader -> "leader"
                    it.isLearner -> "learner"
                    else -> "follower"
                }
            listOf("${it.id}", "${it.vm}", "${it.address}", role, "${it.matchIndex}", "${it.lastHeardMs}")
        },
    ) + "" +
    formatTable(
        listOf("ENTRY VM", "ADDRESS", "LEASE", "INDEX", "POOLS"),
        entryVms.map {
            val lease = if (it.hasLease) "yes" else "no"
            listOf("${it.vm}", "${it.address}", lease, "${it.appliedIndex}", it.pools.joinToString(" "))
        },
    )

private fun AuditReply.toAuditLines(): List<String> = formatTable(
    listOf("INDEX", "TIME", "OPERATOR", "REVISION", "COMMAND", "REASON", "BEFORE", "AFTER"),
    records.map {
        listOf(
            "${it.index}",
            "${Instant.ofEpochMilli(it.receivedAtEpochMs)}",
            "${it.operator}",
            "${it.revision}",
            "${it.commandId}",
            it.reason,
            it.before.joinToString("; "),
            it.after.joinToString("; "),
        )
    },
) + retentionLines()

private fun AuditReply.retentionLines(): List<String> =
    listOfNotNull("the audit trail is kept from entry $firstKept on".takeIf { firstKept.value > 0 })
