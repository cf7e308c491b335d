/*
 * Decisions on submitted commands and actions, made when their log entry is applied. Key and permissions are checked
 * against the configuration at that entry: a check on receipt alone would accept a command whose operator was revoked
 * before the entry was applied.
 */
package fulmarshunt.operator

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.CommandId
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import java.security.MessageDigest

/** The greatest length of the reason in an audit record. */
private const val MAX_REASON_CHARS = 500

/** The outcome of a command or action, and the history that includes it. */
internal data class CommandDecision(
    val outcome: CommandOutcome,
    val history: CommandHistory,
    /** The configuration after an accepted command, or null if nothing changed. */
    val changed: Configuration? = null,
)

/** Returns the operator with [id] if [keySha256] is the hash of its key, or the reason for refusing the call. */
internal fun Configuration.authenticate(id: OperatorId, keySha256: String): Either<String, Operator> {
    val operator = operators[id]
    // One message for both cases, so that a reply does not reveal which operators exist.
    if (operator == null || !isSameHash(operator.keySha256, keySha256)) {
        return "operator: \"$id\" is unknown or its key is wrong".left()
    }
    return operator.right()
}

/** Returns whether [submitted] repeats a command id that the same operator submitted with the same key. */
internal fun CommandHistory.isResend(submitted: SubmittedCommand): Boolean {
    val first = outcomes[submitted.command.id] ?: return false
    return first.operator == submitted.command.operator && isSameHash(first.keySha256, submitted.keySha256)
}

/** Decides the command [submitted] at the log entry [index]. */
internal fun decideCommand(
    configuration: Configuration,
    history: CommandHistory,
    index: LogIndex,
    submitted: SubmittedCommand,
): CommandDecision {
    val command = submitted.command
    val operator = configuration.authenticate(command.operator, submitted.keySha256)
    // A resend gets the first outcome even if the command itself replaced the key of its operator.
    if (operator is Either.Left && !history.isResend(submitted)) {
        return CommandDecision(OutcomeRefused(operator.value), history)
    }
    history.outcomes[command.id]?.let { first ->
        if (first.operator == command.operator && first.contentSha256 == submitted.contentSha256) {
            return CommandDecision(first.outcome, history)
        }
        return CommandDecision(OutcomeRefused("id: \"${command.id}\" was used before for another command"), history)
    }
    val authenticated = operator.getOrElse { error("a command of an unknown operator was not refused") }
    val (outcome, changed) = evaluate(configuration, authenticated, index, command)
    val recorded = RecordedOutcome(command.operator, submitted.keySha256, submitted.contentSha256, outcome)
    val withOutcome = history.withOutcome(command.id, recorded)
    if (changed == null) return CommandDecision(outcome, withOutcome)
    val record =
        AuditRecord(
            index,
            command.id,
            command.operator,
            submitted.receivedAtEpochMs,
            changed.revision,
            describeParts(configuration, command.changes),
            describeParts(changed, command.changes),
            command.reason,
        )
    return CommandDecision(outcome, withOutcome.withAudit(record), changed)
}

/** Decides the action [submitted] at the log entry [index]. */
internal fun decideAction(
    configuration: Configuration,
    history: CommandHistory,
    index: LogIndex,
    submitted: SubmittedAction,
): CommandDecision {
    val requiredPermission = permissionFor(submitted.action)
    val operator =
        configuration.authenticate(submitted.operator, submitted.keySha256).getOrElse {
            return CommandDecision(OutcomeRefused(it), history)
        }
    if (requiredPermission !in
        operator.permissions
    ) {
        return CommandDecision(missingPermission(requiredPermission), history)
    }
    val record =
        AuditRecord(
            index,
            CommandId("action-$index"),
            submitted.operator,
            submitted.receivedAtEpochMs,
            configuration.revision,
            emptyList(),
            listOf(describe(submitted.action)),
        )
    return CommandDecision(OutcomeAccepted(configuration.revision, index), history.withAudit(record))
}

private fun evaluate(
    configuration: Configuration,
    operator: Operator,
    index: LogIndex,
    command: OperatorCommand,
): Pair<CommandOutcome, Configuration?> {
    command.changes.map(::permissionFor).firstOrNull { it !in operator.permissions }?.let {
        return missingPermission(it) to
            null
    }
    if (command.expectedRevision != configuration.revision) {
        return OutcomeConflict(configuration.revision) to null
    }
    if (command.reason.length > MAX_REASON_CHARS) {
        return OutcomeRefused("reason: must have at most $MAX_REASON_CHARS characters") to null
    }
    val changed = configuration.validated(command.changes).getOrElse { return OutcomeRefused(it) to null }
    val revision = Revision(configuration.revision.value + 1)
    return OutcomeAccepted(revision, index) to changed.copy(revision = revision)
}

private fun missingPermission(permission: Permission) =
    OutcomeRefused("permissions: the operator lacks \"${permission.name.lowercase()}\"")

private fun isSameHash(a: String, b: String) = MessageDigest.isEqual(a.encodeToByteArray(), b.encodeToByteArray())
