/*
 * The state that the log entries replicate to all voters. Applying a command is a pure function of state, index and
 * command: every voter that applies the same entries holds the same state.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.caller.ClaimLimits
import fulmarshunt.caller.ClaimTable
import fulmarshunt.caller.apply
import fulmarshunt.caller.expire
import fulmarshunt.caller.hasExpired
import fulmarshunt.entry.Configured
import fulmarshunt.entry.CrashHistory
import fulmarshunt.entry.IndexedChanges
import fulmarshunt.entry.QUARANTINE_MS
import fulmarshunt.entry.QuarantineEnded
import fulmarshunt.entry.Quarantined
import fulmarshunt.entry.RemoveVms
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.StateChange
import fulmarshunt.entry.changesOf
import fulmarshunt.entry.expire
import fulmarshunt.entry.record
import fulmarshunt.entry.with
import fulmarshunt.operator.CommandHistory
import fulmarshunt.operator.Operator
import fulmarshunt.operator.OutcomeAccepted
import fulmarshunt.operator.Permission
import fulmarshunt.operator.PutOperator
import fulmarshunt.operator.VmShutdown
import fulmarshunt.operator.decideAction
import fulmarshunt.operator.decideCommand
import fulmarshunt.target.TargetInstance
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The replicated state of the voters. */
@Serializable
public data class ControlState(
    /** The part that entry VMs see. */
    public val shared: SharedState = SharedState(),
    public val history: CommandHistory = CommandHistory(),
    public val claims: ClaimTable = ClaimTable(),
    @SerialName("deaths")
    public val crashHistory: CrashHistory = CrashHistory(),
    /** Entry VMs for which an operator has requested a shutdown that has not begun. */
    public val shutdowns: Set<VmId> = emptySet(),
    /** The latest time in a command; it never decreases, even when a new leader's clock is behind. */
    public val nowEpochMs: Long = 0,
)

/** The result of applying one command or one log entry. */
public data class Applied(
    public val state: ControlState,
    public val replies: List<LogReply>,
    /** The changes that are sent to entry VMs. */
    public val changes: List<StateChange> = emptyList(),
)

/** Applies the [commands] of the log entry at [index]. */
public fun ControlState.apply(
    index: LogIndex,
    commands: List<LogCommand>,
    limits: ClaimLimits = ClaimLimits(),
): Applied {
    var current = this
    val replies = ArrayList<LogReply>(commands.size)
    val changes = mutableListOf<StateChange>()
    for (command in commands) {
        val step = current.step(index, command, limits)
        replies += step.replies
        changes += step.changes
        // Later commands of the entry see the changes; the index advances only once the entry is complete.
        val shared = current.shared
        val changed = if (step.changes.isEmpty()) shared else shared.with(IndexedChanges(index, step.changes))
        current = step.state.copy(shared = changed.copy(index = shared.index))
    }
    if (changes.isNotEmpty()) current = current.copy(shared = current.shared.copy(index = index))
    return Applied(current, replies, changes)
}

private fun ControlState.step(index: LogIndex, command: LogCommand, limits: ClaimLimits): Applied = when (command) {
    is ApplyCommand -> {
        val decision = decideCommand(shared.configuration, history, index, command.submitted)
        val changes = decision.changed?.let { Configured(it.revision, command.submitted.command.changes) }
        Applied(copy(history = decision.history), listOf(CommandReply(decision.outcome)), listOfNotNull(changes))
    }
    is ApplyAction -> {
        val decision = decideAction(shared.configuration, history, index, command.submitted)
        val vm = (command.submitted.action as? VmShutdown)?.vm?.takeIf { decision.outcome is OutcomeAccepted }
        val requested = if (vm != null && vm in shared.entryVms) shutdowns + vm else shutdowns
        Applied(copy(history = decision.history, shutdowns = requested), listOf(CommandReply(decision.outcome)))
    }
    is AddFirstOperator -> Applied(this, listOf(Done), addFirstOperator(command))
    is ApplyClaim -> {
        val now = maxOf(nowEpochMs, command.nowEpochMs)
        val (table, reply) = claims.expire(now).apply(command.call, now, limits)
        Applied(copy(claims = table, nowEpochMs = now), listOf(ClaimLogReply(reply)))
    }
    is ApplyRegistry -> {
        val changes = shared.changesOf(index, command.change)
        val removed = (command.change as? RemoveVms)?.vms.orEmpty()
        Applied(copy(shutdowns = shutdowns - removed.toSet()), listOf(Done), changes)
    }
    is ShutdownBegun -> Applied(copy(shutdowns = shutdowns - command.vm), listOf(Done))
    is ApplyCrash -> applyCrash(command)
    is Expire -> expire(maxOf(nowEpochMs, command.nowEpochMs))
}

private fun ControlState.addFirstOperator(command: AddFirstOperator): List<StateChange> {
    if (shared.configuration.operators.isNotEmpty()) return emptyList()
    val operator = Operator(command.operator, command.keySha256, Permission.entries.toSet())
    return listOf(Configured(Revision(shared.configuration.revision.value + 1), listOf(PutOperator(operator))))
}

private fun ControlState.applyCrash(command: ApplyCrash): Applied {
    val report = command.report
    val now = maxOf(nowEpochMs, command.nowEpochMs)
    // A previous owner may report a crash only because it is itself cut off from the target.
    if (shared.pools[report.pool]?.fence != report.fence) return Applied(copy(nowEpochMs = now), listOf(Done))
    val counted = report.running.filter { it !in shared.quarantine }.toSet()
    val instance = TargetInstance(report.target, report.incarnation)
    val (next, quarantined) = crashHistory.expire(now).record(instance, counted, now, report.alreadyCounted)
    val changes = quarantined.map { Quarantined(it, now + QUARANTINE_MS) }
    return Applied(copy(crashHistory = next, nowEpochMs = now), listOf(Done), changes)
}

private fun ControlState.expire(now: Long): Applied {
    val ended = shared.quarantine.filterValues { it <= now }.keys.sortedBy { it.value }
    val state = copy(claims = claims.expire(now), crashHistory = crashHistory.expire(now), nowEpochMs = now)
    return Applied(state, listOf(Done), ended.map { QuarantineEnded(it) })
}

/** Returns whether [Expire] at [nowEpochMs] would change anything. */
internal fun ControlState.hasExpired(nowEpochMs: Long): Boolean = shared.quarantine.values.any { it <= nowEpochMs } ||
    claims.hasExpired(nowEpochMs) ||
    crashHistory.expire(nowEpochMs) !== crashHistory
