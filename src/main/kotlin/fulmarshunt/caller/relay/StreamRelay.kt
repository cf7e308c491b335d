/*
 * Forwards the events of one run, and continues the run at another target when its own is leaving, is lost or stalls.
 * The caller sees one stream: each event once, in order, from a single run.
 *
 * A run continues from a copy of its memory that its target keeps elsewhere, or is migrated explicitly: its memory is
 * first copied while it runs, then the run is stopped and what is new is copied.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Clock
import fulmarshunt.process.LimitedLog
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.UseOutcome
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The silence after which a run continues from its copy, as a multiple of the gap objective. */
private const val STALL_GAPS = 4
private const val MIN_STALL_MS = 600L

/** Silence is measured in waits of this length, so that a pause of this process falls into one of them. */
private const val SILENCE_WAIT_MS = 100L

/** The shortest wait; the event loop reads what has arrived at least once in it. */
private const val MIN_SILENCE_WAIT_MS = 20L

/** A wait that ends later than this did so because this process did not run. */
private const val MAX_LATENESS_MS = 100L

/**
 * How long after a continuation is sent a run stays at its former target, in case the new one refuses it. Both may work
 * on a run for 400 ms at most, and the end of a connection takes time to arrive.
 */
private const val HANDOVER_MS = 100L

/**
 * How long after its notice a leaving target may get the request again to continue there. Targets serve on for 2 s
 * or more after their notice was acknowledged, which other VMs may have heard earlier.
 */
private const val STAY_LIMIT_MS = 1_000L

/** How long the source may take to end the stream after the run was stopped. */
private const val STOPPED_STREAM_LIMIT_MS = 500L

/** The collaborators of [StreamRelay]. */
internal class StreamDependencies(
    val calls: TargetCalls,
    val adapter: ProtocolAdapter,
    val views: StateFlow<FleetView>,
    val placements: JobPlacements,
    val meters: RelayMeters,
    val clock: Clock,
    /** Outlives the stream. */
    val background: CoroutineScope,
    val plannedStop: PlannedStop,
)

/** A run at a target, with the placement of the copy of its memory. */
internal class Run(val response: TargetResponse, val placement: Placement, val copy: Placement?)

/** Forwards the stream of one run to its caller. */
internal class StreamRelay(
    private val job: RelayJob,
    private val dependencies: StreamDependencies,
    private val caller: CallerStream,
    run: Run,
) {
    private val log = LogManager.getLogger(StreamRelay::class.java)

    /** The run at its current target. */
    var current: Run = run
        private set

    private val framer = EventFramer()
    private val repeatLog = LimitedLog(log)

    /** The number of events that were forwarded. */
    val events: Long get() = framer.events

    /** Whether the run can continue at another target, which needs the whole body. */
    private val canBeContinued = job.request.body.isRepeatable

    private var isLeaving = false
    private var leavingSinceMs = 0L

    /** Whether the run, once stopped, may continue at its current target. */
    private val mayStay: Boolean
        get() = !isLeaving || dependencies.clock.nowMs() - leavingSinceMs <= STAY_LIMIT_MS
    private var copyRefusals = 0
    private var copyRefusedAtMs = 0L
    private val migration = RunMigration(job, dependencies) { current }
    private val startedAtMs = dependencies.clock.nowMs()
    private var lastEventAtMs = 0L

    /** How long the run was waited for since its last event or its continuation; other bytes are no progress. */
    private var silentMs = 0L
    private val pace = EventPace(dependencies.placements::recordEvents)
    private var isSoundRecorded = false

    /** Whether bytes arrived while the run was to be stopped, so that nothing was done. */
    private var hasLateInput = false

    private val stops = RunStops(dependencies, job) { placement ->
        if (current.placement === placement) current.response.connection.wake()
    }

    /** The requests to stop the run at its current target. */
    private var stop: RunStop = stops.begin(run.placement)

    /** Whether a continuation that failed may have reached its target, which may still run the request. */
    private var mayRunElsewhere = false

    private val grant = ContinuationGrant(dependencies, job)

    /** Whether the end mark of the stream arrived while what was left of it was forwarded. */
    private var hasEndMarkArrived = false

    /** Whether continuing the stopped run at its current target and from its copies has failed. */
    private var isStoppedGivenUp = false

    private sealed interface Next {
        class Piece(val content: HttpContent) : Next

        data object Ended : Next

        data object Stalled : Next

        data object TransferDue : Next
    }

    /** Forwards events until the stream ends, and returns whether it is complete. */
    suspend fun forward(): Boolean = coroutineScope {
        var watcher = watchTarget(this, current.response.target)
        try {
            var isComplete: Boolean? = null
            while (isComplete == null) {
                val previous = current.placement.target.instance
                isComplete = when (val next = if (hasEndMarkArrived) Next.Ended else next()) {
                    is Next.Piece -> forward(next.content, this)
                    Next.TransferDue -> transfer(this)
                    Next.Stalled -> null.also { continueFromCopy("stalled", this) }
                    Next.Ended -> continueOrEnd(this)
                }
                if (current.placement.target.instance != previous) {
                    watcher.cancel()
                    watcher = watchTarget(this, current.response.target)
                }
            }
            if (isComplete) {
                caller.send(LastHttpContent.EMPTY_LAST_CONTENT, hasEvent = events > 0)
                current.response.finish()
            }
            isComplete
        } finally {
            // A copy that is still being made is no longer needed.
            coroutineContext.cancelChildren()
            framer.discardRest()
        }
    }

    /**
     * Continues the run of a stream that has ended, or that its target has stopped.
     *
     * @param isWhole whether the stream ended in order and after a whole event.
     * @return null if the run continues, true if the stream turns out to be complete, and false if it is not.
     */
    private suspend fun continueOrEnd(scope: CoroutineScope, isWhole: Boolean = false): Boolean? {
        val lost = current
        val connection = lost.response.connection
        val isClosedHere = connection.isClosed
        val hasEndMark = !lost.response.endsWithConnection
        val currentEnd = { streamEndOf(isWhole || hasEndMarkArrived, hasEndMark, stop.state) }
        if (currentEnd() == StreamEnd.UNCLEAR) askAboutStop(scope)
        val end = currentEnd()
        dependencies.meters.streamEnded(end.name, hasEndMark)
        if (end == StreamEnd.COMPLETE) return true
        val hasContinued = if (end == StreamEnd.STOPPED) {
            continueStopped("lost")
        } else {
            continueFromCopy("lost", scope) || continueFromDestination(scope)
        }
        if (hasContinued) return null
        if (hasEndMarkArrived) return true
        log.warn(
            "stream ended early request={} target={} lastId={} end={} closedHere={} endMark={} stop={} proof={}",
            job.id,
            lost.placement.target.id,
            framer.lastEventId,
            connection.end,
            isClosedHere,
            hasEndMark,
            stop.state,
            end,
        )
        return false
    }

    /** Asks the target again whether it has stopped the run. */
    private suspend fun askAboutStop(scope: CoroutineScope) {
        val placement = migration.destination ?: current.copy ?: return
        val answer = stop.request(placement, UNCLEAR_STOP_LIMIT_MS, scope)
        log.info(
            "run stop requested request={} why=unclear target={} result={} state={}",
            job.id,
            current.placement.target.id,
            answer,
            stop.state,
        )
    }

    private suspend fun next(): Next {
        val isInterrupted = { isTransferDue() || stop.state is StopState.Stopped }
        val nextOf = { piece: HttpContent? ->
            when {
                piece != null -> Next.Piece(piece)
                isTransferDue() -> Next.TransferDue
                else -> Next.Ended
            }
        }
        if (isTransferDue()) return Next.TransferDue
        val canContinue = canBeContinued && !mayRunElsewhere && current.copy != null && copyRefusals == 0 &&
            framer.lastEventId != null
        if (!canContinue) {
            val startedAtMs = dependencies.clock.nowMs()
            val piece = current.response.nextPieceOrNull(isInterrupted)
            silentMs += dependencies.clock.nowMs() - startedAtMs
            return nextOf(piece)
        }
        val limitMs = maxOf(MIN_STALL_MS, STALL_GAPS * job.route.gapObjectiveMs)
        while (true) {
            val waitMs = silenceWaitMs(limitMs)
            val startedAtMs = dependencies.clock.nowMs()
            var hasReturned = false
            val piece = withTimeoutOrNull(waitMs) {
                current.response.nextPieceOrNull(isInterrupted).also { hasReturned = true }
            }
            val waitedMs = dependencies.clock.nowMs() - startedAtMs
            // After a pause of this process, bytes of the target may wait in the socket.
            val isTimely = waitedMs <= waitMs + MAX_LATENESS_MS
            if (isTimely) silentMs += minOf(waitedMs, waitMs)
            if (hasReturned || current.response.connection.end != null || isInterrupted()) {
                return nextOf(piece)
            }
            if (isTimely && isStalled(limitMs)) return Next.Stalled
        }
    }

    private fun isStalled(limitMs: Long): Boolean = silentMs >= limitMs && allowsMove()

    /** Returns how long the next wait for a piece takes at most if a run is silent after [limitMs]. */
    private fun silenceWaitMs(limitMs: Long): Long {
        val isSilent = silentMs >= limitMs
        return if (isSilent) SILENCE_WAIT_MS else (limitMs - silentMs).coerceIn(MIN_SILENCE_WAIT_MS, SILENCE_WAIT_MS)
    }

    /** Called for each piece, so that the transfer step is computed only for a leaving target. */
    private fun isTransferDue(): Boolean =
        isLeaving && canBeContinued && !mayRunElsewhere && framer.lastEventId != null && !framer.hasEventWithoutId &&
            current.response.connection.end == null && stop.state !is StopState.Stopped &&
            allowsMove() && transferStep() != TransferStep.NONE

    /** Whether the planned end of the process leaves time to stop the run and go on with it elsewhere. */
    private fun allowsMove(): Boolean {
        val nowMs = dependencies.clock.nowMs()
        if (!dependencies.plannedStop.hasBegun) return true
        val expectedEvents = job.expectedOutputTokens / (job.service.engine?.tokensPerEvent ?: 1).coerceAtLeast(1)
        val eventMs = (nowMs - startedAtMs) / events.coerceAtLeast(1)
        return dependencies.plannedStop.allowsMove((expectedEvents - events).coerceAtLeast(0) * eventMs, nowMs)
    }

    private fun transferStep(): TransferStep = nextTransferStep(
        TransferState(
            isSourceLeaving = isLeaving,
            hasUsableCopy = current.copy?.let(dependencies.views.value::isUsable) == true,
            copyRefusals = copyRefusals,
            sinceRefusalMs = dependencies.clock.nowMs() - copyRefusedAtMs,
            canMigrate = job.service.engine?.canMigrate == true,
            migration = migration.state,
        ),
    )

    /**
     * Forwards the events that [content] completes. A stream that ends inside an event was broken off, and one whose
     * event has no end is treated in the same way.
     *
     * @return true at the end of a complete stream, false at that of another, and null before.
     */
    private suspend fun forward(content: HttpContent, scope: CoroutineScope): Boolean? {
        val isLast = content is LastHttpContent
        val eventsBefore = framer.events
        val repeatedBefore = framer.repeatedEvents
        val completeEvents = framer.appendOrNull(content.content())
        if (framer.repeatedEvents > repeatedBefore) {
            val count = framer.repeatedEvents - repeatedBefore
            repeatLog.log(
                Level.WARN,
                "events repeated request=${job.id} target=${current.placement.target.id} " +
                    "lastId=${framer.lastEventId} count=$count",
            )
        }
        if (framer.events > eventsBefore) {
            pace.record(current.placement, framer.events - eventsBefore, silentMs, dependencies.clock.nowMs())
            recordEvents(isFirst = eventsBefore == 0L)
        }
        if (completeEvents != null) {
            caller.send(DefaultHttpContent(completeEvents), hasEvent = events > 0)
        }
        if (framer.isUnusable || (isLast && framer.hasIncompleteEvent)) {
            log.warn(
                "stream broken off request={} target={} lastId={} ended={} gap={}",
                job.id,
                current.placement.target.id,
                framer.lastEventId,
                isLast,
                framer.hasGap,
            )
            framer.discardRest()
            current.response.abandon()
            return continueOrEnd(scope)
        }
        return if (isLast) continueOrEnd(scope, isWhole = true) else null
    }

    private fun recordEvents(isFirst: Boolean) {
        val nowMs = dependencies.clock.nowMs()
        if (isFirst) {
            dependencies.placements.started(current.placement, nowMs - current.response.sentAtMs)
            job.firstEventAfterMs = nowMs - job.request.arrivedAtMs
            dependencies.meters.firstByte(job.service.id.value, nowMs - job.request.arrivedAtMs)
        } else {
            job.longestGapMs = maxOf(job.longestGapMs, nowMs - lastEventAtMs)
        }
        job.request.progress.events = events
        lastEventAtMs = nowMs
        silentMs = 0
        if (!isSoundRecorded && events >= SOUND_EVENTS) {
            isSoundRecorded = true
            dependencies.placements.recordSound(job.causes.parts)
        }
    }

    /** Makes the next step of the transfer from a leaving target, by its copy or by a migration. */
    private suspend fun transfer(scope: CoroutineScope): Boolean? {
        when (transferStep()) {
            TransferStep.CONTINUE_FROM_COPY -> if (!continueFromCopy("leaving", null)) wakeForRetry(scope)
            TransferStep.START_MOVE -> migration.start(scope)
            TransferStep.FINISH_MOVE -> finishMigration(scope)
            TransferStep.NONE -> Unit
        }
        return null
    }

    private fun wakeForRetry(scope: CoroutineScope) {
        val source = current
        scope.launch {
            delay(COPY_RETRY_MS)
            source.response.connection.wake()
        }
    }

    /** Continues from the copy; the run is stopped first, with calls in [stopScope], unless that is null. */
    private suspend fun continueFromCopy(why: String, stopScope: CoroutineScope?): Boolean {
        hasLateInput = false
        val copy = current.copy ?: return false
        val lastEventId = framer.lastEventId
        if (!canBeContinued || lastEventId == null || framer.hasEventWithoutId) return false
        val resume = ResumePoint(copy.target.record.address, dependencies.adapter.copyHandle(job.id), lastEventId)
        val hasContinued = stopAndContinueAt(copy, resume, "copy", why, stopScope)
        if (!hasContinued && !hasLateInput) {
            copyRefusals += 1
            copyRefusedAtMs = dependencies.clock.nowMs()
        }
        return hasContinued
    }

    /** Continues from what a migration had copied when the target was lost. */
    private suspend fun continueFromDestination(stopScope: CoroutineScope?): Boolean {
        val placement = migration.destination ?: return false
        if (framer.hasEventWithoutId) return false
        val handle = migration.takeHandleOrNull() ?: return false
        val source = current.response.target.record.address
        return stopAndContinueAt(placement, ResumePoint(source, handle, framer.lastEventId), "move", "lost", stopScope)
    }

    /**
     * Continues at [placement] a run that is silent, or whose connection has ended, once its target has stopped it or
     * does not respond. The target may be alive: it may have preempted the run, or be cut off on one side only. Without
     * [stopScope], and if the target was asked before the connection ended, it is not asked first.
     */
    private suspend fun stopAndContinueAt(
        placement: Placement,
        resume: ResumePoint,
        how: String,
        why: String,
        stopScope: CoroutineScope?,
    ): Boolean {
        val wasAsked = stop.state != StopState.NotRequested && current.response.connection.end != null
        // The target has the run, as far as is known.
        if (wasAsked && stop.state == StopState.Refused) return false
        if (stopScope == null || wasAsked || job.service.engine?.canMigrate != true) {
            return continueAt(placement, resume, how, why)
        }
        if (!grant.tryTake(placement, how, mayRunElsewhere)) return false
        val source = current
        migration.interrupt()
        val answer = stop.request(placement, SILENT_STOP_LIMIT_MS, stopScope)
        val failure = answer.leftOrNull()
        if (failure == MoveFailure.NoSuchRun) awaitLateInput(source.response.connection)
        val isOpen = source.response.connection.end == null
        log.info(
            "run stop requested request={} why={} target={} result={} state={}",
            job.id,
            why,
            source.placement.target.id,
            answer,
            stop.state,
        )
        if (stop.state is StopState.Stopped) return continueStopped(why).also { grant.giveBack() }
        // The run may have ended just before it was to be stopped; the rest of its stream has then arrived.
        hasLateInput = failure == MoveFailure.NoSuchRun && isOpen && !source.response.connection.isInboxEmpty
        if (hasLateInput || mayBeRunning(failure, isOpen)) {
            grant.giveBack()
            return false
        }
        return sendContinuation(placement, resume.copy(lastEventId = framer.lastEventId), how, why)
    }

    /** Continues a run that its target has stopped: at the destination of its memory, there, or from an older copy. */
    private suspend fun continueStopped(why: String): Boolean {
        val stopped = stop.state as? StopState.Stopped
        if (stopped == null || isStoppedGivenUp) return false
        val source = current
        if (source.response.connection.end == null) forwardRemainingEvents()
        if (hasEndMarkArrived) return false
        source.response.abandon()
        val resume = ResumePoint(source.placement.target.record.address, stopped.handle, framer.lastEventId)
        val hasContinued = (stopped.copiedTo?.let { continueAt(it, resume, "move", why) } ?: false) ||
            (mayStay && continueAt(source.placement, resume, "stay", why)) ||
            continueFromCopy(why, null) ||
            (stopped.copiedTo == null && continueFromDestination(null))
        isStoppedGivenUp = !hasContinued
        return hasContinued
    }

    private suspend fun finishMigration(scope: CoroutineScope) {
        val placement = migration.destination
        if (placement == null || !grant.tryTake(placement, "move", mayRunElsewhere)) {
            migration.abandon("the run may not continue at the destination")
            return
        }
        val source = current.placement
        val sourceStop = stop
        val answer = sourceStop.request(placement, LAST_COPY_LIMIT_MS, scope, SILENT_STOP_LIMIT_MS)
        continueStopped("leaving")
        grant.giveBack()
        // Another migration would end in the same way, and each one takes from the budget of repeats.
        if (current.placement === source) migration.abandon("last copy: $answer, state: ${sourceStop.state}")
    }

    /** Forwards the events that were generated before the run was stopped. */
    private suspend fun forwardRemainingEvents() {
        withTimeoutOrNull(STOPPED_STREAM_LIMIT_MS) {
            while (!framer.isUnusable) {
                val piece = current.response.nextPieceOrNull() ?: break
                framer.appendOrNull(piece.content())?.let { caller.send(DefaultHttpContent(it), hasEvent = events > 0) }
                if (piece !is LastHttpContent) continue
                hasEndMarkArrived = !current.response.endsWithConnection && !framer.hasIncompleteEvent
                break
            }
        }
    }

    /** Continues from [resume] at [placement]. The former target is asked to stop the run soon after, not before. */
    private suspend fun continueAt(placement: Placement, resume: ResumePoint, how: String, why: String): Boolean {
        if (!grant.tryTake(placement, how, mayRunElsewhere)) return false
        val former = current.placement
        val formerStop = stop
        val hasContinued = sendContinuation(placement, resume, how, why)
        val isAsked = formerStop.state is StopState.Stopped || formerStop.isPending
        if ((hasContinued || mayRunElsewhere) && !isAsked) {
            dependencies.background.launch { stopAfterClose(job, formerStop, former, placement) }
        }
        return hasContinued
    }

    /** Sends the request to [placement] to continue from [resume]; the new response replaces the current one. */
    private suspend fun sendContinuation(
        placement: Placement,
        resume: ResumePoint,
        how: String,
        why: String,
    ): Boolean {
        val startedAtMs = dependencies.clock.nowMs()
        grant.use()
        val copy = if (placement !== current.placement) dependencies.placements.placeCopy(placement) else null
        val dispatch = dispatchOf(job, placement.target, copy?.target, resume, dependencies.clock.nowMs())
        val former = current
        val formerStop = stop
        var handover: Job? = null
        // The target may let the run wait. Nothing else can be done for it, so that only the deadline ends the wait.
        val result = coroutineScope {
            dependencies.calls.open(job, placement.target, dispatch, this) {
                handover = dependencies.background.launch {
                    delay(HANDOVER_MS)
                    former.response.abandon()
                    if (formerStop.state !is StopState.Stopped) {
                        dependencies.background.launch { stopAfterClose(job, formerStop, former.placement, placement) }
                    }
                }
            }
        }
        val response = result.getOrNull()
        val isSuccess = response != null && response.head.status().code() == HTTP_OK
        log.info(
            "run continued request={} how={} why={} from={} to={} lastId={} success={} result={} tookMs={} " +
                "formerEnd={} silentMs={} formerStop={} earlierMayRun={}",
            job.id, how, why, current.placement.target.id, placement.target.id, resume.lastEventId, isSuccess,
            result.fold({ it.toString() }, { it.head.status().toString() }),
            dependencies.clock.nowMs() - startedAtMs,
            current.response.connection.end ?: "OPEN", silentMs, stop.state, mayRunElsewhere,
        )
        dependencies.meters.continued(how, isSuccess)
        if (response == null || !isSuccess) {
            response?.abandon()
            copy?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
            if (!isProvenNotRun(result) &&
                !hasNoRun(job, stops.at(placement), placement, current.placement)
            ) {
                mayRunElsewhere = true
                current.response.abandon()
            }
            // Until it is known that the new target has no run, the time limit of the handover goes on.
            handover?.cancel()
            return false
        }
        handover?.cancel()
        current.response.abandon()
        if (placement !== current.placement) dependencies.placements.end(current.placement, UseOutcome.ABANDONED)
        current.copy?.takeIf { it !== placement }?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
        framer.resume()
        if (placement === current.copy) dependencies.placements.promote(placement)
        val isSameTarget = placement.target.instance == current.placement.target.instance
        current = Run(response, placement, copy)
        stop = stops.begin(placement)
        job.trace.append(" $how:${placement.target.id}")
        job.request.progress.target = placement.target.id
        silentMs = 0
        hasLateInput = false
        isStoppedGivenUp = false
        hasEndMarkArrived = false
        if (!isSameTarget) {
            isLeaving = false
            copyRefusals = 0
        }
        migration.reset(placement, isSameTarget)
        return true
    }

    private fun watchTarget(scope: CoroutineScope, target: KnownTarget): Job = scope.launch {
        dependencies.views.first { view ->
            view.targets[target.id]?.let { it.record.phase != TargetPhase.READY } ?: true
        }
        isLeaving = true
        leavingSinceMs = dependencies.clock.nowMs()
        log.info("target leaves request={} target={} lastId={}", job.id, target.id, framer.lastEventId)
        current.response.connection.wake()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}

/** Returns false for a copy at a target that is leaving as well, because the run would have to leave it at once. */
private fun FleetView.isUsable(copy: Placement): Boolean =
    !isDrained(copy) && targets[copy.target.id]?.record?.phase == TargetPhase.READY
