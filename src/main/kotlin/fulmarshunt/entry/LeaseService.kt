/*
 * The control leader's side of leases: replies to renewals, pushes changes, assigns pools and removes entry VMs that no
 * longer renew. The decisions are in [LeaseTable]; all mutable state is confined to the control thread.
 */
package fulmarshunt.entry

import arrow.core.Either
import fulmarshunt.Clock
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.link.LinkConnection
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.LinkPeer
import fulmarshunt.operator.EntryVmStatus
import fulmarshunt.process.ControlThread
import fulmarshunt.voter.ApplyCrash
import fulmarshunt.voter.ApplyRegistry
import fulmarshunt.voter.ControlStateMachine
import fulmarshunt.voter.LogAccess
import fulmarshunt.voter.LogProposer
import fulmarshunt.voter.PROPOSE_TIMEOUT_MS
import fulmarshunt.voter.ProposeFailure
import fulmarshunt.voter.ShutdownBegun
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The timeout of a push; a VM that is slower receives the changes with its next renewal. */
private const val PUSH_TIMEOUT_MS = 1_000L

/**
 * The time between two rounds of pushes. Changes within it share a push; it is far below the 5 s in which a change must
 * take effect.
 */
private const val PUSH_PAUSE_MS = 100L

/** How long a renewal waits for a pending move of a pool of its VM; less than [RENEWAL_TIMEOUT_MS]. */
private const val WITHHELD_TIMEOUT_MS = 400L

/** Replies to lease calls and keeps pools assigned while this voter is the leader. */
public class LeaseService internal constructor(
    private val control: ControlThread,
    private val machine: ControlStateMachine,
    private val log: LogAccess,
    private val proposer: LogProposer,
    private val clock: Clock,
    private val wallClock: Clock,
) {
    private val logger = LogManager.getLogger(LeaseService::class.java)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val progress = MutableStateFlow(0L)

    private val pushes = HashMap<VmId, PushTarget>()
    private val pushRounds = PacedAction(PUSH_PAUSE_MS) { pushes.keys.toList().forEach(::push) }
    private val registrations = Registrations(control, ::proposeRegistrations)

    private var table: LeaseTable? = null

    private class PushTarget(val connection: LinkConnection) {
        var appliedIndex = LogIndex(0)
        var isPushing = false
    }

    /** Returns [base] with the handler of [leaseChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(leaseChannel, ::handle)

    /** Starts pushing changes and waking the loop of [lead]. */
    internal fun start() {
        registrations.start()
        control.scope.launch { pushRounds.serve() }
        control.scope.launch {
            machine.state.map { it.shared.index }.distinctUntilChanged().collect {
                pushRounds.request()
                wake.trySend(Unit)
                signalProgress()
            }
        }
    }

    /** Returns whether the entry at [index] is in effect within [timeoutMs]. */
    public suspend fun awaitInEffect(index: LogIndex, timeoutMs: Long): Boolean = withContext(control.dispatch) {
        withTimeoutOrNull(timeoutMs) { progress.first { isInEffect(index) } } != null || isInEffect(index)
    }

    /** Returns the state of the entry VMs, on any thread. */
    public suspend fun status(): List<EntryVmStatus> = control.run {
        val now = clock.nowMs()
        val shared = machine.state.value.shared
        shared.entryVms.values.sortedBy { it.id.value }.map { vm ->
            EntryVmStatus(
                vm.id,
                vm.address,
                table?.mayHold(vm.id, now) ?: false,
                table?.appliedBy(vm.id) ?: LogIndex(0),
                shared.pools.filterValues { it.vm == vm.id }.keys.sortedBy { it.value },
            )
        }
    }

    /** Maintains leases and pool assignments until it is cancelled at the end of [term]. */
    internal suspend fun lead(term: Term) {
        table = LeaseTable(term, machine.state.value.shared.entryVms.keys, clock.nowMs())
        try {
            while (true) {
                val pauseMs = proposeDueChange()
                withTimeoutOrNull(pauseMs.coerceAtLeast(1)) { wake.receive() }
            }
        } finally {
            table = null
            pushes.clear()
            signalProgress()
        }
    }

    /** Proposes the change that is due, if any, and returns the time in milliseconds until the next check. */
    private suspend fun proposeDueChange(): Long {
        val leases = table ?: return CHECK_PERIOD_MS
        val now = clock.nowMs()
        val state = machine.state.value
        val change = leases.nextChangeOrNull(state.shared, state.shutdowns, now)
        signalProgress()
        if (change == null) return minOf(CHECK_PERIOD_MS, (leases.nextEndOrNull(now) ?: Long.MAX_VALUE) - now)
        proposer.propose(ApplyRegistry(change)).onLeft {
            logger.warn("A registry change was not committed: {}", it)
            return RETRY_MS
        }
        leases.recordCommitted(change, machine.state.value.shared, clock.nowMs())
        signalProgress()
        logChange(change)
        return 1
    }

    private fun logChange(change: RegistryChange) {
        when (change) {
            is RegisterVm -> logger.info("Entry VM {} was registered", change.vm.id)
            is RemoveVms -> change.vms.forEach { logger.info("Entry VM {} was removed from the registry", it) }
            is MovePools -> change.moves.forEach {
                logger.info("Pool {} moved from {} to {}", it.pool, it.previous?.vm ?: "none", it.vm ?: "none")
            }
        }
    }

    private suspend fun handle(peer: LinkPeer, call: LeaseCall): LeaseReply {
        if (control.run { table } == null) return notLeader()
        return when (call) {
            is RenewLease -> renew(peer.connection, call)
            is ReleaseLease -> release(call.vm.id)
            is ReportTargetCrash ->
                proposer
                    .proposeGrouped(ApplyCrash(call, wallClock.nowMs()))
                    .fold(::failureReply) { ReportRecorded }
        }
    }

    private suspend fun renew(connection: LinkConnection, call: RenewLease): LeaseReply {
        if (!awaitNotWithheld(call.vm.id)) return notLeader()
        val state = machine.state.value
        if (state.shared.entryVms[call.vm.id] != call.vm) {
            // A late renewal of a VM that has released its lease would register it again.
            if (call.isShuttingDown) return notLeader()
            registrations.register(call.vm).onLeft { return failureReply(it) }
        }
        if (call.isShuttingDown && call.vm.id in state.shutdowns) proposer.propose(ShutdownBegun(call.vm.id))
        return control.run { grant(connection, call) }
    }

    private suspend fun proposeRegistrations(vms: List<EntryVm>): Either<ProposeFailure, Unit> {
        val changes = vms.map { RegisterVm(it) }
        return proposer.proposeTogether(changes.map { ApplyRegistry(it) }).map { changes.forEach(::logChange) }
    }

    private suspend fun awaitNotWithheld(vm: VmId): Boolean = withContext(control.dispatch) {
        withTimeoutOrNull(WITHHELD_TIMEOUT_MS) { progress.first { table?.isWithheld(vm) != true } } != null
    }

    private fun grant(connection: LinkConnection, call: RenewLease): LeaseReply {
        val now = clock.nowMs()
        val leases = table ?: return notLeader()
        val state = machine.state.value
        val vm = call.vm.id
        val isCurrent = log.leadership.value.let { it.isLeader && it.term == leases.term } && log.holdsQuorum(now)
        if (!isCurrent || leases.isWithheld(vm) || state.shared.entryVms[vm] != call.vm) return notLeader()
        if (call.applied > state.shared.index) {
            logger.error("Entry VM {} has applied entry {} beyond {}", vm, call.applied, state.shared.index)
            return LeaseNotLeader()
        }
        val wasUsable = leases.isUsable(vm, now)
        leases.grant(call, now)
        if (wasUsable != leases.isUsable(vm, now) || call.released.isNotEmpty()) wake.trySend(Unit)
        val target = pushes[vm]?.takeIf { it.connection === connection } ?: PushTarget(connection)
        target.appliedIndex = call.applied
        pushes[vm] = target
        signalProgress()
        val changes = machine.changesAfterOrNull(call.applied)
        return LeaseGranted(
            leases.term,
            state.shared.takeIf { changes == null },
            changes.orEmpty(),
            shutdownRequested = vm in state.shutdowns,
        )
    }

    private suspend fun release(vm: VmId): LeaseReply {
        control.run {
            table?.releaseLease(vm)
            wake.trySend(Unit)
        }
        withTimeoutOrNull(PROPOSE_TIMEOUT_MS) { machine.state.first { vm !in it.shared.entryVms } }
            ?: return notLeader()
        return LeaseReleased
    }

    private fun push(vm: VmId) {
        val target = pushes[vm] ?: return
        val changes = machine.changesAfterOrNull(target.appliedIndex)
        if (target.isPushing || !target.connection.isOpen || changes.isNullOrEmpty()) return
        target.isPushing = true
        control.scope.launch(Dispatchers.Default) {
            val reply = target.connection.call(stateChannel, StatePush(changes), PUSH_TIMEOUT_MS)
            control.run {
                target.isPushing = false
                val applied = reply.getOrNull()?.applied ?: return@run
                if (applied <= target.appliedIndex) return@run
                target.appliedIndex = applied
                table?.acknowledge(vm, applied)
                if (table?.hasVacancies == true) wake.trySend(Unit)
                signalProgress()
                if (applied < machine.state.value.shared.index) pushRounds.request()
            }
        }
    }

    private fun isInEffect(index: LogIndex): Boolean {
        val shared = machine.state.value.shared
        return table?.isInEffect(index, shared.entryVms.keys, clock.nowMs()) ?: false
    }

    private fun signalProgress() {
        progress.value += 1
    }

    private fun failureReply(failure: ProposeFailure): LeaseReply = when (failure) {
        is ProposeFailure.NotLeader -> LeaseNotLeader(failure.leader)
        is ProposeFailure.Refused, is ProposeFailure.Undecided -> LeaseNotLeader()
    }

    private fun notLeader(): LeaseReply =
        LeaseNotLeader(log.leadership.value.let { if (it.isLeader) null else it.leader })

    private companion object {
        /** The maximum time between two checks of the leases. */
        const val CHECK_PERIOD_MS = 1_000L

        /** The pause after a failed proposal. */
        const val RETRY_MS = 200L
    }
}
