/*
 * The outcomes of commands, by which a resent command is recognised, and the audit trail. Both are bounded by count;
 * the oldest entries are removed first.
 */
package fulmarshunt.operator

import fulmarshunt.CommandId
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.appending
import fulmarshunt.dropping
import kotlinx.serialization.Serializable

/** The number of outcomes kept: three days at the planned 3,100 changes a day. */
internal const val MAX_KEPT_OUTCOMES: Int = 10_000

/** The number of audit records kept. */
internal const val MAX_KEPT_AUDIT_RECORDS: Int = 10_000

/** The first outcome of a command. */
@Serializable
public data class RecordedOutcome(
    public val operator: OperatorId,
    public val keySha256: String,
    public val contentSha256: String,
    public val outcome: CommandOutcome,
)

/** The kept outcomes and audit records, oldest first. */
@Serializable
public data class CommandHistory(
    public val outcomes: Map<CommandId, RecordedOutcome> = emptyMap(),
    public val audit: Map<LogIndex, AuditRecord> = emptyMap(),
) {
    /** The index of the oldest audit record kept, or 0 if there is none. */
    public val firstKept: LogIndex get() = audit.keys.firstOrNull() ?: LogIndex(0)
}

/** Returns this history with the outcome of the command [id] added, without the oldest one beyond [limit]. */
internal fun CommandHistory.withOutcome(
    id: CommandId,
    recorded: RecordedOutcome,
    limit: Int = MAX_KEPT_OUTCOMES,
): CommandHistory = copy(outcomes = outcomes.appending(id, recorded).boundedTo(limit))

/** Returns this history with [record] added, without the oldest one beyond [limit]. */
internal fun CommandHistory.withAudit(record: AuditRecord, limit: Int = MAX_KEPT_AUDIT_RECORDS): CommandHistory =
    copy(audit = audit.appending(record.index, record).boundedTo(limit))

private fun <K, V> Map<K, V>.boundedTo(limit: Int): Map<K, V> = if (size > limit) dropping(keys.first()) else this
