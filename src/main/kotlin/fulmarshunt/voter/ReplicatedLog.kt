/*
 * The replicated log of one voter. It passes messages, timer ticks and requests to the step function and performs the
 * resulting actions. The state is confined to the control thread; disk and network access run on other threads.
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

/** The maximum size of a command, so that a batch with one command fits a frame. */
private const val MAX_COMMAND_BYTES = 1_024 * 1_024

/** A write that takes this many of the longest election timeouts counts as hanging. */
private const val HANG_ELECTION_TIMEOUTS = 2

/** How often a blank voter with the bootstrap flag requests the ids of the other initial voters. */
private const val FORMATION_PERIOD_MS = 250L

/** A log of commands that is replicated to a majority of the voters, and the state machine that applies them. */
public class ReplicatedLog internal constructor(
    private val settings: VoterSettings,
    private val machine: ReplicatedStateMachine,
    private val control: ControlThread,
    private val clock: Clock,
    private val openStorage: OpenStorage,
    private val nextRandom: () -> Double,
) {
    private val log = LogManager.getLogger(ReplicatedLog::class.java)

    /** The id of this voter, created together with its data directory. */
    public val id: VoterId = openStorage.stored.id

    private var state: VoterState = initialState(settings, openStorage.stored, clock.nowMs(), nextRandom())
    private var isSnapshotStored = openStorage.stored.snapshot != null
    private val waiters = Waiters()
    private val writer = DiskWriter(
        openStorage.storage,
        clock,
        DiskWriterEvents(
            send = ::sendNow,
            onStored = ::onStored,
            onFull = { cause -> control.scope.launch { disk.block(cause.message.orEmpty()) } },
            onFailure = ::onWriteFailure,
        ),
    )
    private var writerJob: Job? = null
    private var encodingJob: Job? = null
    private var timerJob: Job? = null
    private var timerAtMs = 0L

    @Volatile
    private var transport: VoterTransport? = null

    private val leadershipState = MutableStateFlow(leadershipOf(state))
    private val failureState = MutableStateFlow<String?>(null)
    private val disk = DiskMonitor(
        control.scope,
        clock,
        "${settings.dataDirectory}",
        hangLimitMs = HANG_ELECTION_TIMEOUTS * settings.electionTimeoutMaxMs,
        periodMs = settings.electionTimeoutMinMs,
    ) { dispatch(DiskBlocked) }

    /** The leader, as far as this voter knows. */
    public val leadership: StateFlow<Leadership> = leadershipState.asStateFlow()

    /** Why the voter has stopped permanently, or null. The process must then end as with a broken invariant. */
    public val failure: StateFlow<String?> = failureState.asStateFlow()

    /** Why the disk takes no writes at the moment, or null. The voter goes on by itself once it does. */
    public val diskProblem: StateFlow<String?> get() = disk.problem

    /** Returns [base] with a handler for the calls of other voters. */
    public fun handlers(base: LinkHandlers): LinkHandlers =
        base.with(voterChannel) { _, call -> control.run { onCall(call) } }

    /** Restores the state machine, joins the cluster, and forms a new one if the settings allow it. */
    public suspend fun start(links: Links): Unit = start(linkTransport(links))

    internal suspend fun start(transport: VoterTransport) {
        log.info("Started as voter {}", id)
        control.run {
            check(this.transport == null) { "the replicated log was started already" }
            state.snapshot?.let { restore(it) }
            // Entries that are known to be committed can be served before a leader is elected.
            replayedEntries(state).forEach(::applyEntry)
            this.transport = transport
            writerJob = writer.start(control.scope)
            schedule()
            if (settings.bootstrap) control.scope.launch { awaitFormation(transport) }
        }
    }

    /**
     * Proposes [command] and waits until it is applied here.
     *
     * @return the result of the state machine, or why there was none within [timeoutMs].
     */
    public suspend fun propose(command: ByteArray, timeoutMs: Long): Either<ProposeFailure, ByteArray> {
        require(command.size <= MAX_COMMAND_BYTES) { "a command of ${command.size} bytes exceeds $MAX_COMMAND_BYTES" }
        val outcome: Either<ProposeFailure, Deferred<Either<ProposeFailure, ByteArray>>> =
            control.run {
                when (val reply = dispatch(Propose(command))) {
                    is AcceptedAt -> waiters.awaitProposal(reply.index).right()
                    is Refused -> failureOf(reply, leadership.value).left()
                    is ConfirmedBy -> error("a proposal is not confirmed by a round")
                }
            }
        return outcome.fold({ it.left() }) { result ->
            withTimeoutOrNull(timeoutMs) { result.await() }
                ?: ProposeFailure.Undecided("the command was not committed within $timeoutMs ms").left()
        }
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
     * Returns whether this voter leads and a majority has replied to a message that it sent within the last election
     * timeout. Call it on the control thread.
     */
    public fun holdsQuorum(nowMs: Long): Boolean = failure.value == null && state.holdsQuorum(nowMs)

    /** Adds a voter and waits until it has caught up and votes. The call is idempotent. */
    public suspend fun addVoter(id: VoterId, vm: VmId, address: Address, timeoutMs: Long): Either<String, Unit> =
        changeMembers(AddMember(Member(id, vm, address)), timeoutMs) { it.isVoter(id) }

    /** Removes a voter or learner. The call is idempotent. */
    public suspend fun removeVoter(id: VoterId, timeoutMs: Long): Either<String, Unit> =
        changeMembers(RemoveMember(id), timeoutMs) { it.memberOrNull(id) == null }

    /**
     * Whether this voter leads with a quorum, or has received a message of a leader within the last election timeout.
     * Read it on the control thread.
     */
    public val isConnectedToCluster: Boolean
        get() {
            val nowMs = clock.nowMs()
            val isFollowing =
                state.leader != null && nowMs - state.lastLeaderContactAtMs < state.timing.electionTimeoutMaxMs
            return isFollowing || holdsQuorum(nowMs)
        }

    /** The latest membership that this voter knows, or null while it is blank. Read it on the control thread. */
    internal val membershipOrNull: Membership? get() = if (state.snapshot == null) null else state.membership

    /** Returns the members; `lastHeardMs` is the age of the last reply, -1 if there is none or this is no leader. */
    public suspend fun status(): List<VoterStatus> = control.run { statusOf(state, clock.nowMs()) }

    /** Stops the voter after all queued writes have completed. */
    public suspend fun close() {
        control.run { stop("this voter is stopping") }
        writerJob?.join() ?: openStorage.storage.close()
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
                val replies = others.mapNotNull { (vm, address) -> transport.probe(address)?.let { vm to it } }.toMap()
                initialMembershipOrNull(identityOf(state, settings, isSnapshotStored), voters, replies)
                    ?.let { dispatch(JoinInitial(it)) }
            }
            delay(FORMATION_PERIOD_MS)
        }
    }

    /** Handles [event] and performs the resulting actions. Runs on the control thread. */
    private fun dispatch(event: VoterEvent): RequestReply {
        if (failure.value != null) return Refused("the voter has stopped: ${failure.value}")
        return try {
            val result = step(state, event, StepContext(clock.nowMs(), nextRandom()))
            val previous = state
            state = result.state
            // Entries of the new term can replace proposals, so that pending proposals fail before they are applied.
            if (previous.role is Leader && state.term != previous.term) waiters.fail("leadership was lost")
            result.actions.forEach(::perform)
            // Published first, because callers that are resumed by the state also read the leadership.
            publish()
            waiters.onState(state)
            if (previous.role is Leader && state.role !is Leader) waiters.fail("leadership was lost")
            schedule()
            result.reply ?: AcceptedAt(state.commit)
        } catch (e: Exception) {
            log.error("Voter {} found a broken invariant", id, e)
            stop("broken invariant: ${e.message}")
            Refused("the voter has stopped")
        }
    }

    private fun perform(action: Action) {
        when (action) {
            is Store, is StoreSnapshot -> {
                writer.submit(action)
                disk.watch(writer)
            }
            is Send -> if (action.isAfterStore) writer.submit(action) else sendNow(action)
            is Apply -> action.entries.forEach(::applyEntry)
            is Restore -> restore(action.snapshot)
            // Launched, because a step must not start within another step.
            is TakeSnapshot -> control.scope.launch { takeSnapshot() }
        }
    }

    private fun takeSnapshot() {
        if (!state.isSnapshotDue || encodingJob?.isActive == true) return
        val point = state.snapshotPoint
        val encode = machine.snapshot()
        encodingJob =
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
            disk.unblock()
            dispatch(event)
        }
    }

    private fun onWriteFailure(cause: Throwable) {
        log.error("Voter {} cannot write to {} and stops", id, settings.dataDirectory, cause)
        transport?.close?.invoke()
        control.scope.launch { stop("cannot write to ${settings.dataDirectory}: $cause") }
    }

    private fun stop(reason: String) {
        if (failureState.value != null) return
        failureState.value = reason
        timerJob?.cancel()
        disk.stop()
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

    /** Schedules a [Tick] at the deadline of the state. If the deadline moves later, the old timer reschedules. */
    private fun schedule() {
        val deadlineMs = state.deadlineMs
        if (failure.value != null || (timerJob?.isActive == true && timerAtMs <= deadlineMs)) return
        timerJob?.cancel()
        timerAtMs = deadlineMs
        timerJob =
            control.scope.launch {
                delay((deadlineMs - clock.nowMs()).coerceAtLeast(0))
                timerJob = null
                if (state.deadlineMs <= clock.nowMs()) dispatch(Tick) else schedule()
            }
    }
}

private fun failureOf(refused: Refused, leadership: Leadership): ProposeFailure = if (leadership.isLeader) {
    ProposeFailure.Refused(refused.reason)
} else {
    ProposeFailure.NotLeader(leadership.leader)
}
