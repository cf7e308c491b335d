/*
 * The replicated log of one voter: it feeds the step function with messages, timers and requests, and carries out the
 * actions. The state is confined to the control thread; disk and network run on others.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.LogIndex
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.operator.VoterStatus
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The greatest command: larger ones would not fit a batch that fits a frame. */
private const val MAX_COMMAND_BYTES = 1_024 * 1_024

/** How often a blank voter that bootstraps asks the other initial voters for their ids. */
private const val FORMATION_PERIOD_MS = 250L

/** A log of commands that a majority of the voters stores, and the state machine that they are applied to. */
public class ReplicatedLog internal constructor(
    private val settings: VoterSettings,
    private val machine: ReplicatedStateMachine,
    private val control: ControlThread,
    private val clock: Clock,
    private val open: OpenStorage,
    private val draw: () -> Double,
) {
    private val log = LogManager.getLogger(ReplicatedLog::class.java)

    /** The identity of this voter, made with its data directory. */
    public val id: VoterId = open.stored.id

    private var state: VoterState = initialState(settings, open.stored, clock.nowMs())
    private var isSnapshotStored = open.stored.snapshot != null
    private val waiters = Waiters()
    private val writer = DiskWriter(open.storage, ::sendNow, ::onStored, ::onWriteFailure)
    private var writing: Job? = null
    private var encoding: Job? = null
    private var timer: Job? = null
    private var timerAtMs = 0L

    @Volatile
    private var transport: VoterTransport? = null

    private val leadershipState = MutableStateFlow(leadershipOf(state))
    private val failureState = MutableStateFlow<String?>(null)

    /** Who leads, as far as this voter knows. */
    public val leadership: StateFlow<Leadership> = leadershipState.asStateFlow()

    /** Why the voter has stopped for good, or null. A process with a stopped voter must end with a broken invariant. */
    public val failure: StateFlow<String?> = failureState.asStateFlow()

    /** Returns [base] with a handler for the calls of other voters. */
    public fun handlers(base: LinkHandlers): LinkHandlers =
        base.with(voterChannel) { _, call -> control.run { onCall(call) } }

    /** Restores the state machine, joins the cluster, and forms one if the settings ask for it. */
    public suspend fun start(links: Links): Unit = start(linkTransport(links))

    internal suspend fun start(transport: VoterTransport) {
        log.info("Started as voter {}", id)
        control.run {
            check(this.transport == null) { "the replicated log was started already" }
            state.snapshot?.let { restore(it) }
            // What is known to be committed can be served before a leader is elected.
            replayedEntries(state).forEach(::applyEntry)
            this.transport = transport
            writing = writer.start(control.scope)
            schedule()
            if (settings.bootstrap) control.scope.launch { awaitFormation(transport) }
        }
    }

    /**
     * Proposes [command] and waits until it is applied here.
     *
     * @return the result of the state machine, or why there is none within [timeoutMs].
     */
    public suspend fun propose(command: ByteArray, timeoutMs: Long): Either<ProposeFailure, ByteArray> {
        require(command.size <= MAX_COMMAND_BYTES) { "a command of ${command.size} bytes exceeds $MAX_COMMAND_BYTES" }
        val result =
            control.run {
                (dispatch(Propose(command)) as? AcceptedAt)?.let { waiters.awaitProposal(it.index) }
            } ?: return ProposeFailure.NotLeader(leadership.value.leader).left()
        return withTimeoutOrNull(timeoutMs) { result.await() }
            ?: ProposeFailure.Undecided("the command was not committed within $timeoutMs ms").left()
    }

    /**
     * Returns whether this voter leads now, confirmed by a majority after the call. If so, everything that was
     * committed before the call is applied here.
     */
    public suspend fun confirmLeadership(timeoutMs: Long): Boolean {
        val confirmed =
            control.run {
                (dispatch(ConfirmLeadership) as? ConfirmedBy)?.let { reply ->
                    waiters.awaitRound(reply.round).also { waiters.onState(state) }
                }
            } ?: return false
        return withTimeoutOrNull(timeoutMs) { confirmed.await() } ?: false
    }

    /**
     * Says whether this voter leads and a majority has confirmed it by answering a message that was sent within the
     * last election timeout. Call it on the control thread.
     */
    public fun holdsQuorum(nowMs: Long): Boolean = failure.value == null && state.holdsQuorum(nowMs)

    /** Adds a voter and waits until it has caught up and votes. Repeating the call is harmless. */
    public suspend fun addVoter(id: VoterId, vm: VmId, address: Address, timeoutMs: Long): Either<String, Unit> =
        changeMembers(AddMember(Member(id, vm, address)), timeoutMs) { it.isVoter(id) }

    /** Removes a voter or learner. Repeating the call is harmless. */
    public suspend fun removeVoter(id: VoterId, timeoutMs: Long): Either<String, Unit> =
        changeMembers(RemoveMember(id), timeoutMs) { it.memberOrNull(id) == null }

    /**
     * Whether this voter leads with a quorum, or has heard a leader within the last election timeout. Read it on the
     * control thread.
     */
    public val isConnectedToCluster: Boolean
        get() {
            val nowMs = clock.nowMs()
            val isHeard = state.leader != null && nowMs - state.heardLeaderAtMs < state.timing.electionTimeoutMaxMs
            return isHeard || holdsQuorum(nowMs)
        }

    /** The newest membership that this voter knows, or null while it is blank. Call it on the control thread. */
    internal val membershipOrNull: Membership? get() = if (state.snapshot == null) null else state.membership

    /** Returns the members; `lastHeardMs` is the age of the last message, -1 if there is none or this is no leader. */
    public suspend fun status(): List<VoterStatus> = control.run { statusOf(state, clock.nowMs()) }

    /** Stops the voter after what waits for the disk is written. */
    public suspend fun close() {
        control.run { stop("this voter is stopping") }
        writing?.join() ?: open.storage.close()
        transport?.close?.invoke()
    }

    private suspend fun changeMembers(
        event: VoterEvent,
        timeoutMs: Long,
        condition: (Membership) -> Boolean,
    ): Either<String, Unit> {
        val outcome: Either<String, Deferred<Either<String, Unit>>> =
            control.run {
                when (val reply = dispatch(event)) {
                    is Refused -> reply.reason.left()
                    else -> waiters.awaitMembership(condition).also { waiters.onState(state) }.right()
                }
            }
        return outcome.fold({ it.left() }) { change ->
            withTimeoutOrNull(timeoutMs) { change.await() }
                ?: "the change was not complete within $timeoutMs ms; it may still happen".left()
        }
    }

    private fun onCall(call: VoterCall): VoterCallReply = when (call) {
        is Probe -> identityOf(state, settings, isSnapshotStored)
        is Envelope -> {
            if (transport != null) dispatch(MessageReceived(call))
            Received
        }
    }

    private suspend fun awaitFormation(transport: VoterTransport) {
        while (state.snapshot == null && failure.value == null) {
            settings.initialVoters()?.let { voters ->
                val others = voters.members - settings.vm
                val answers = others.mapNotNull { (vm, address) -> transport.probe(address)?.let { vm to it } }.toMap()
                initialMembershipOrNull(identityOf(state, settings, isSnapshotStored), voters, answers)
                    ?.let { dispatch(JoinInitial(it)) }
            }
            delay(FORMATION_PERIOD_MS)
        }
    }

    /** Handles [event] and the events that its actions cause. Runs on the control thread. */
    private fun dispatch(event: VoterEvent): RequestReply {
        if (failure.value != null) return Refused("the voter has stopped: ${failure.value}")
        return try {
            val result = step(state, event, Moment(clock.nowMs(), draw()))
            val former = state
            state = result.state
            // Entries of the new term can take the place of proposals, so that their proposers are answered first.
            if (former.role is Leader && state.term != former.term) waiters.fail("leadership was lost")
            result.actions.forEach(::perform)
            // Published first, because callers that wait for the state also read who leads.
            publish()
            waiters.onState(state)
            if (former.role is Leader && state.role !is Leader) waiters.fail("leadership was lost")
            schedule()
            result.reply ?: AcceptedAt(state.commit)
        } catch (e: Exception) {
            log.error("The voter {} met a broken invariant", id, e)
            stop("broken invariant: ${e.message}")
            Refused("the voter has stopped")
        }
    }

    private fun perform(action: Action) {
        when (action) {
            is Store, is StoreSnapshot -> writer.submit(action)
            is Send -> if (action.isAfterStore) writer.submit(action) else sendNow(action)
            is Apply -> action.entries.forEach(::applyEntry)
            is Restore -> restore(action.snapshot)
            // Launched, because a step must not start inside another one.
            is TakeSnapshot -> control.scope.launch { takeSnapshot() }
        }
    }

    private fun takeSnapshot() {
        if (!state.isSnapshotDue || encoding?.isActive == true) return
        val point = state.snapshotPoint
        val encode = machine.snapshot()
        encoding =
            control.scope.launch {
                val data = withContext(Dispatchers.Default) { encode() }
                dispatch(SnapshotTaken(point, data))
            }
    }

    private fun applyEntry(entry: LogEntry) {
        val command = entry.payload as? Command ?: return
        waiters.onApplied(entry.index, machine.apply(entry.index, command.bytes))
    }

    private fun restore(snapshot: Snapshot) {
        val index = snapshot.header.position.index
        if (index > LogIndex(0)) machine.restore(index, snapshot.data)
    }

    private fun sendNow(action: Send) {
        transport?.send?.invoke(action.address, action.envelope)
    }

    private fun onStored(event: Stored) {
        control.scope.launch {
            // A blank voter stores nothing before its first snapshot.
            isSnapshotStored = true
            dispatch(event)
        }
    }

    private fun onWriteFailure(cause: Throwable) {
        log.error("The voter {} cannot write to {} and stops", id, settings.dataDirectory, cause)
        transport?.close?.invoke()
        control.scope.launch { stop("cannot write to ${settings.dataDirectory}: $cause") }
    }

    private fun stop(reason: String) {
        if (failureState.value != null) return
        failureState.value = reason
        timer?.cancel()
        writer.finish()
        waiters.fail(reason)
        leadershipState.value = Leadership(state.term, false, null)
    }

    private fun publish() {
        val current = leadershipOf(state)
        if (current == leadershipState.value) return
        leadershipState.value = current
        log.info("Voter {}: term {}, leader {}", id, current.term, state.leader ?: "unknown")
    }

    /** Arranges for a [Tick] at the deadline of the state. A deadline that moves later is noticed by the old timer. */
    private fun schedule() {
        val due = state.deadlineMs
        if (failure.value != null || (timer?.isActive == true && timerAtMs <= due)) return
        timer?.cancel()
        timerAtMs = due
        timer =
            control.scope.launch {
                delay((due - clock.nowMs()).coerceAtLeast(0))
                timer = null
                if (state.deadlineMs <= clock.nowMs()) dispatch(Tick) else schedule()
            }
    }
}
