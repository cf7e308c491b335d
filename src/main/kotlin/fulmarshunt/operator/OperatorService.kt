/*
 * The handler of operators' calls at the control leader. Leadership is confirmed first, so that a read never returns
 * state that a newer leader has changed. The presented key is hashed here and is not passed on.
 */
package fulmarshunt.operator

import fulmarshunt.Clock
import fulmarshunt.LogIndex
import fulmarshunt.entry.LeaseService
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linkCbor
import fulmarshunt.sha256Hex
import fulmarshunt.voter.ApplyAction
import fulmarshunt.voter.ApplyCommand
import fulmarshunt.voter.CommandReply
import fulmarshunt.voter.ControlStateMachine
import fulmarshunt.voter.LogAccess
import fulmarshunt.voter.LogProposer
import fulmarshunt.voter.ProposeFailure

/** The time limit for confirming leadership. */
private const val CONFIRM_TIMEOUT_MS = 1_000L

/** The time limit for adding or removing a voter; a new voter first catches up with the log. */
private const val VOTER_CHANGE_TIMEOUT_MS = 30_000L

/** The longest wait until a command is in effect; it exceeds the 5 s within which entry VMs follow or lose leases. */
private const val MAX_WAIT_MS = 10_000L

/** The greatest number of audit records in one reply, which must fit into a link frame. */
private const val MAX_AUDIT_RECORDS = 100

/** The greatest size of an encoded command; a log entry holds at most 1 MiB. */
private const val MAX_COMMAND_BYTES = 768 * 1_024

/** Handles operators' calls. */
public class OperatorService internal constructor(
    private val machine: ControlStateMachine,
    private val log: LogAccess,
    private val proposer: LogProposer,
    private val leases: LeaseService,
    private val wallClock: Clock,
) {
    /** Returns [base] with the handler of [operatorChannel] added. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(operatorChannel) { _, call -> handle(call) }

    /** Executes [call] if this process is the leader. */
    internal suspend fun handle(call: OperatorCall): OperatorReply {
        if (!log.leadership.value.isLeader || !log.confirmLeadership(CONFIRM_TIMEOUT_MS)) return notLeader()
        val keySha256 = keySha256(call.key)
        if (call is SubmitCommand) return submit(call, keySha256)
        val state = machine.state.value
        state.shared.configuration.authenticate(call.operator, keySha256).onLeft { return CallRefused(it) }
        return when (call) {
            is ReadConfiguration -> ConfigurationReply(state.shared.configuration)
            is ReadStatus ->
                StatusReply(state.shared.configuration.revision, state.shared.index, log.status(), leases.status())
            is ReadAudit -> readAudit(state.history, call.after, call.limit)
            is ShutDownVm ->
                if (call.vm in state.shared.entryVms) {
                    recordAndPerform(call, keySha256, VmShutdown(call.vm)) { CallDone }
                } else {
                    CallRefused("vm: entry VM \"${call.vm}\" is not registered")
                }
            is ChangeVoters -> changeVoters(call, keySha256)
            is SubmitCommand -> error("submitted commands are handled above")
        }
    }

    private suspend fun submit(call: SubmitCommand, keySha256: String): OperatorReply {
        val command = call.command
        if (call.operator != command.operator) return CallRefused("operator: differs from that of the command")
        val content = linkCbor.encodeToByteArray(OperatorCommand.serializer(), command)
        if (content.size > MAX_COMMAND_BYTES) {
            return CallRefused("changes: take ${content.size} bytes of $MAX_COMMAND_BYTES; split the command")
        }
        val submitted = SubmittedCommand(command, keySha256, sha256Hex(content), wallClock.nowMs())
        val state = machine.state.value
        // Keeps calls without a valid key out of the log; the decisive check is made when the entry is applied.
        state.shared.configuration.authenticate(call.operator, keySha256).onLeft {
            if (!state.history.isResend(submitted)) return CallRefused(it)
        }
        return proposer.propose(ApplyCommand(submitted)).fold(::replyTo) { reply ->
            when (val outcome = (reply as CommandReply).outcome) {
                is OutcomeAccepted -> {
                    val waitMs = call.waitInEffectMs.coerceIn(0, MAX_WAIT_MS)
                    CommandAccepted(outcome.revision, leases.awaitInEffect(outcome.index, waitMs))
                }
                is OutcomeConflict -> CommandConflict(machine.state.value.shared.configuration)
                is OutcomeRefused -> CallRefused(outcome.reason)
            }
        }
    }

    private suspend fun changeVoters(call: ChangeVoters, keySha256: String): OperatorReply {
        val joining = call.joining
        val vm = call.joiningVm
        val address = call.joiningAddress
        val leaving = call.leaving
        if (joining == null && leaving == null) return CallRefused("joining: a voter must join or leave")
        if (joining != null && vm == null) return CallRefused("joiningVm: must be given with joining")
        if (joining != null && address == null) return CallRefused("joiningAddress: must be given with joining")
        // One log entry checks the permission and records the action, before the voters change.
        return recordAndPerform(call, keySha256, VoterChange(joining, leaving)) {
            if (joining != null && vm != null && address != null) {
                log.addVoter(joining, vm, address, VOTER_CHANGE_TIMEOUT_MS).onLeft {
                    return@recordAndPerform CallRefused(it)
                }
            }
            if (leaving != null) {
                log.removeVoter(leaving, VOTER_CHANGE_TIMEOUT_MS).onLeft { return@recordAndPerform CallRefused(it) }
            }
            CallDone
        }
    }

    /** Records [action] in the log, which checks the permission, and calls [perform] unless it was refused. */
    private suspend fun recordAndPerform(
        call: OperatorCall,
        keySha256: String,
        action: OperatorAction,
        perform: suspend () -> OperatorReply,
    ): OperatorReply {
        val submitted = SubmittedAction(call.operator, keySha256, wallClock.nowMs(), action)
        return proposer.propose(ApplyAction(submitted)).fold(::replyTo) { reply ->
            when (val outcome = (reply as CommandReply).outcome) {
                is OutcomeRefused -> CallRefused(outcome.reason)
                else -> perform()
            }
        }
    }

    private fun readAudit(history: CommandHistory, after: LogIndex, limit: Int): OperatorReply {
        val records = history.audit.values.asSequence().filter { it.index > after }
        return AuditReply(records.take(limit.coerceIn(1, MAX_AUDIT_RECORDS)).toList(), history.firstKept)
    }

    private fun replyTo(failure: ProposeFailure): OperatorReply = when (failure) {
        is ProposeFailure.NotLeader -> OperatorNotLeader(failure.leader)
        is ProposeFailure.Refused -> OperatorNotLeader(null)
        is ProposeFailure.Undecided -> OutcomeUnknown(failure.reason)
    }

    private fun notLeader(): OperatorReply =
        OperatorNotLeader(log.leadership.value.let { if (it.isLeader) null else it.leader })
}
