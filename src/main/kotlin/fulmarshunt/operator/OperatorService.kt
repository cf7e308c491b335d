/*
 * The control leader's side of operators' calls. Reads confirm leadership first, so that they never show a state that
 * a newer leader has changed. The presented key is hashed here and goes no further.
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

/** How long the confirmation of leadership may take. */
private const val CONFIRM_TIMEOUT_MS = 1_000L

/** How long adding or removing a voter may take; a new voter first catches up. */
private const val VOTER_CHANGE_TIMEOUT_MS = 30_000L

/** The longest wait until a command is in effect; it is longer than the bound of 5 s. */
private const val MAX_WAIT_MS = 10_000L

/** The greatest number of audit records in one reply, which must fit into a link frame. */
private const val MAX_AUDIT_RECORDS = 100

/** The greatest encoded command; a log entry takes 1 MiB. */
private const val MAX_COMMAND_BYTES = 768 * 1_024

/** Answers operators' calls. */
public class OperatorService internal constructor(
    private val machine: ControlStateMachine,
    private val log: LogAccess,
    private val proposer: LogProposer,
    private val leases: LeaseService,
    private val wallClock: Clock,
) {
    /** Returns [base] with the handler of [operatorChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(operatorChannel) { _, call -> answer(call) }

    internal suspend fun answer(call: OperatorCall): OperatorReply {
        if (!log.leadership.value.isLeader || !log.confirmLeadership(CONFIRM_TIMEOUT_MS)) return notLeader()
        val keySha256 = keySha256(call.key)
        if (call is SubmitCommand) return submit(call, keySha256)
        val state = machine.state.value
        state.shared.configuration.authenticated(call.operator, keySha256).onLeft { return CallRefused(it) }
        return when (call) {
            is ReadConfiguration -> ConfigurationReply(state.shared.configuration)
            is ReadStatus ->
                StatusReply(state.shared.configuration.revision, state.shared.index, log.status(), leases.status())
            is ReadAudit -> readAudit(state.history, call.after, call.limit)
            is ShutDownVm ->
                if (call.vm in state.shared.entryVms) {
                    act(call, keySha256, VmShutdown(call.vm)) { CallDone }
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
        // Keeps calls without a valid key out of the log; the check that counts is made when the entry is applied.
        state.shared.configuration.authenticated(call.operator, keySha256).onLeft {
            if (!state.history.isResend(submitted)) return CallRefused(it)
        }
        return proposer.propose(ApplyCommand(submitted)).fold(::failure) { reply ->
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
        // The permission is checked and the action recorded at one log entry, before the voters change.
        return act(call, keySha256, VoterChange(joining, leaving)) {
            if (joining != null && vm != null && address != null) {
                log.addVoter(joining, vm, address, VOTER_CHANGE_TIMEOUT_MS).onLeft { return@act CallRefused(it) }
            }
            if (leaving != null) {
                log.removeVoter(leaving, VOTER_CHANGE_TIMEOUT_MS).onLeft { return@act CallRefused(it) }
            }
            CallDone
        }
    }

    private suspend fun act(
        call: OperatorCall,
        keySha256: String,
        action: OperatorAction,
        perform: suspend () -> OperatorReply,
    ): OperatorReply {
        val submitted = SubmittedAction(call.operator, keySha256, wallClock.nowMs(), action)
        return proposer.propose(ApplyAction(submitted)).fold(::failure) { reply ->
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

    private fun failure(failure: ProposeFailure): OperatorReply = when (failure) {
        is ProposeFailure.NotLeader -> OperatorNotLeader(failure.leader)
        is ProposeFailure.Undecided -> OutcomeUnknown(failure.reason)
    }

    private fun notLeader(): OperatorReply =
        OperatorNotLeader(log.leadership.value.let { if (it.isLeader) null else it.leader })
}
