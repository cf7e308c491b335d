/*
 * Passes on the events of one run, and lets the run go on at another target when its own is about to leave, is lost or
 * stalls. The caller sees one stream: each event once, in order, from a single run.
 *
 * A run goes on from a copy of its memory that its target keeps elsewhere, or is moved explicitly: first copied while
 * it runs, then stopped and copied again, which takes only what is new.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.http.HttpConnection
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
import org.apache.logging.log4j.LogManager

/** The silence after which a run goes on from its copy: several times the longest pause that is on time. */
private const val STALL_GAPS = 4
private const val MIN_STALL_MS = 600L

/** How long the target that goes on may take until its answer begins. */
private const val CONTINUE_LIMIT_MS = 1_500L

/**
 * A run is stopped for its last copy once a copy takes less than this, so that its caller notices no pause. Copies from
 * one target queue behind each other, and a target that leaves has many to make.
 */
private const val QUICK_COPY_MS = 100L

/** A copy that is never quick ends with its target, and the run goes on from what was copied. */
private const val MAX_COPIES = 20

/** How long the source may take to close a stream after the run was stopped there. */
private const val STOPPED_STREAM_LIMIT_MS = 500L

/** What a stream relay uses. */
internal class StreamParts(
    val calls: TargetCalls,
    val adapter: ProtocolAdapter,
    val views: StateFlow<FleetView>,
    val places: JobPlaces,
    val meters: RelayMeters,
    val clock: Clock,
)

/** A run at a target, with the place of its copy. */
internal class Run(val answer: OpenedAnswer, val placement: Placement, val copy: Placement?)

/** Passes on one stream. */
internal class StreamRelay(
    private val job: RelayJob,
    private val parts: StreamParts,
    private val caller: HttpConnection,
    run: Run,
) {
    private val log = LogManager.getLogger(StreamRelay::class.java)

    /** Where the run is now. */
    var current: Run = run
        private set

    private val framer = EventFramer()

    /** The events that were passed on. */
    val events: Long get() = framer.events

    private var isLeaving = false
    private var copyRefusals = 0
    private var copyRefusedAtMs = 0L
    private var moving: MigrationState = MigrationState.NONE
    private var destination: Placement? = null

    /** Names the copy at [destination] once there is one; a run whose target is lost can go on from it. */
    private var destinationHandle: String? = null
    private var lastEventAtMs = 0L

    private sealed interface Next {
        class Piece(val content: HttpContent) : Next

        data object Ended : Next

        data object Stalled : Next

        data object Act : Next
    }

    /** Passes events on until the stream ends, and says whether it is complete. */
    suspend fun passOn(): Boolean = coroutineScope {
        var watcher = watchTarget(this, current.answer.target)
        try {
            var isComplete: Boolean? = null
            while (isComplete == null) {
                val former = current
                isComplete = when (val next = next()) {
                    is Next.Piece -> take(next.content)
                    Next.Act -> leave(this)
                    Next.Stalled -> null.also { continueFromCopy("stalled") }
                    Next.Ended -> if (continueFromCopy("lost") || continueFromDestination()) null else false
                }
                if (current !== former) {
                    watcher.cancel()
                    watcher = watchTarget(this, current.answer.target)
                }
            }
            isComplete
        } finally {
            // A copy that is still being made no longer matters.
            coroutineContext.cancelChildren()
            framer.dropRest()
        }
    }

    private suspend fun next(): Next {
        val isInterrupted = { mustAct() }
        if (mustAct()) return Next.Act
        val canContinue = current.copy != null && copyRefusals == 0 && framer.lastId != null
        val stallMs = maxOf(MIN_STALL_MS, STALL_GAPS * job.route.gapObjectiveMs)
        var isStalled = false
        val piece =
            if (canContinue) {
                withTimeoutOrNull(stallMs) { current.answer.nextPieceOrNull(isInterrupted) }
                    .also { isStalled = it == null && current.answer.connection.end == null && !mustAct() }
            } else {
                current.answer.nextPieceOrNull(isInterrupted)
            }
        return when {
            piece != null -> Next.Piece(piece)
            isStalled -> Next.Stalled
            current.answer.connection.end == null && mustAct() -> Next.Act
            else -> Next.Ended
        }
    }

    /** Asked for each piece, so that the step is worked out only for a target that leaves. */
    private fun mustAct(): Boolean =
        isLeaving && framer.lastId != null && !framer.hasUnnumbered && transferStep() != TransferStep.NONE

    private fun transferStep(): TransferStep = nextTransfer(
        TransferState(
            isSourceLeaving = isLeaving,
            hasUsableCopy = hasUsableCopy(),
            copyRefusals = copyRefusals,
            sinceRefusalMs = parts.clock.nowMs() - copyRefusedAtMs,
            canMigrate = job.service.engine?.canMigrate == true,
            migrate = moving,
        ),
    )

    /** A copy at a target that leaves as well would have to be left at once. */
    private fun hasUsableCopy(): Boolean {
        val copy = current.copy ?: return false
        return !isDrained(copy) && parts.views.value.targets[copy.target.id]?.record?.phase == TargetPhase.READY
    }

    private fun isDrained(place: Placement): Boolean = place.target.record.domain in parts.views.value.drained

    /** Passes on what a piece completes; returns true at the end of the stream. */
    private suspend fun take(content: HttpContent): Boolean? {
        val isLast = content is LastHttpContent
        val isFirst = framer.events == 0L
        val whole = framer.feedOrNull(content.content())
        if (whole != null) {
            noteEvents(isFirst)
            caller.send(DefaultHttpContent(whole))
        }
        if (!isLast) return null
        val rest = framer.takeRest()
        if (rest.isReadable) caller.put(DefaultHttpContent(rest)) else rest.release()
        caller.send(LastHttpContent.EMPTY_LAST_CONTENT)
        current.answer.finish()
        return true
    }

    private fun noteEvents(isFirst: Boolean) {
        val nowMs = parts.clock.nowMs()
        if (isFirst) {
            parts.places.started(current.placement)
            job.firstEventAfterMs = nowMs - job.request.arrivedAtMs
            parts.meters.firstByte(job.service.id.value, nowMs - job.request.arrivedAtMs)
        } else {
            job.longestGapMs = maxOf(job.longestGapMs, nowMs - lastEventAtMs)
        }
        lastEventAtMs = nowMs
    }

    /** The target leaves: the run goes on from its copy, or is moved. */
    private suspend fun leave(scope: CoroutineScope): Boolean? {
        when (transferStep()) {
            TransferStep.CONTINUE_FROM_COPY -> if (!continueFromCopy("leaving")) wakeForRetry(scope)
            TransferStep.START_MOVE -> startMove(scope)
            TransferStep.FINISH_MOVE -> finishMove()
            TransferStep.NONE -> Unit
        }
        return null
    }

    private fun wakeForRetry(scope: CoroutineScope) {
        val source = current
        scope.launch {
            delay(COPY_RETRY_MS)
            source.answer.connection.wake()
        }
    }

    private suspend fun continueFromCopy(why: String): Boolean {
        val copy = current.copy ?: return false
        val lastId = framer.lastId
        if (lastId == null || framer.hasUnnumbered) return false
        val resume = ResumePoint(copy.target.record.address, parts.adapter.copyHandle(job.id), lastId)
        val hasContinued = continueAt(copy, resume, "copy", why)
        if (hasContinued) {
            parts.places.promote(copy)
        } else {
            copyRefusals += 1
            copyRefusedAtMs = parts.clock.nowMs()
        }
        return hasContinued
    }

    /** The target is lost before the run was stopped there: what was copied until then is enough to go on. */
    private suspend fun continueFromDestination(): Boolean {
        val place = destination ?: return false
        val handle = destinationHandle ?: return false
        if (framer.hasUnnumbered) return false
        destinationHandle = null
        val source = current.answer.target.record.address
        return continueAt(place, ResumePoint(source, handle, framer.lastId), "move", "lost")
    }

    private suspend fun startMove(scope: CoroutineScope) {
        val tokens = (job.request.facts.generation?.promptTokens ?: 0) + job.expectedOutputTokens
        val place = parts.places.placeForMigration(current.placement, tokens)
        if (place == null) {
            moving = MigrationState.GIVEN_UP
            log.warn("move refused request={} target={} reason=no other target", job.id, current.placement.target.id)
            return
        }
        destination = place
        moving = MigrationState.COPYING
        val source = current
        scope.launch {
            val result = copyWhileRunning(source, place.target.record.address)
            if (current !== source) return@launch
            val from = source.placement.target.id
            log.info("run copied request={} from={} to={} result={}", job.id, from, place.target.id, result)
            result.fold({ giveUpMove("copy failed: ${it.reason}") }, { moving = MigrationState.COPIED })
            source.answer.connection.wake()
        }
    }

    /** Copies the run without stopping it until little is left to copy; the first copy takes the most. */
    private suspend fun copyWhileRunning(source: Run, destination: Address): Either<MoveFailure, Moved> {
        var copied = copyOnce(source, destination)
        var copies = 1
        while (copied.isRight() && copies < MAX_COPIES) {
            val startedAtMs = parts.clock.nowMs()
            copied = copyOnce(source, destination)
            copies += 1
            if (parts.clock.nowMs() - startedAtMs < QUICK_COPY_MS) break
        }
        return copied
    }

    /** Copies the run as it is now. A copy that ends after the run has gone on elsewhere is of no use. */
    private suspend fun copyOnce(source: Run, destination: Address): Either<MoveFailure, Moved> =
        parts.adapter.migrate(source.answer.target.record.address, job.id, destination, false)
            .onRight { if (current === source) destinationHandle = it.handle }

    private fun giveUpMove(reason: String) {
        moving = MigrationState.GIVEN_UP
        log.warn(
            "move failed request={} from={} copied={} reason={}",
            job.id,
            current.placement.target.id,
            destinationHandle != null,
            reason,
        )
        // What has been copied serves a run whose target is lost.
        if (destinationHandle == null) dropDestination()
        parts.meters.continued("move", false)
    }

    private fun dropDestination() {
        destination?.let { parts.places.end(it, UseOutcome.ABANDONED) }
        destination = null
        destinationHandle = null
    }

    private suspend fun finishMove() {
        val place = destination ?: return
        val source = current.answer.target.record.address
        val moved = parts.adapter.migrate(source, job.id, place.target.record.address, true)
        when (moved) {
            is Either.Right -> {
                drainStopped()
                val resume = ResumePoint(source, moved.value.handle, framer.lastId)
                destinationHandle = null
                if (!continueAt(place, resume, "move", "leaving")) giveUpMove("the destination did not go on")
            }
            is Either.Left -> {
                val handle = moved.value.handle
                giveUpMove("last copy failed: ${moved.value.reason}")
                if (handle != null) {
                    drainStopped()
                    continueAt(current.placement, ResumePoint(source, handle, framer.lastId), "stay", "move failed")
                }
            }
        }
    }

    /** Passes on the events that were made before the run was stopped. */
    private suspend fun drainStopped() {
        withTimeoutOrNull(STOPPED_STREAM_LIMIT_MS) {
            while (true) {
                val piece = current.answer.nextPieceOrNull() ?: break
                framer.feedOrNull(piece.content())?.let { caller.send(DefaultHttpContent(it)) }
            }
        }
    }

    /** Sends the request to [place] to go on from [resume]; the former answer is dropped once the new one begins. */
    private suspend fun continueAt(place: Placement, resume: ResumePoint, how: String, why: String): Boolean {
        if (isDrained(place)) {
            // The domain can have been drained after the copy was made.
            log.warn("run not continued request={} how={} to={} reason=drained", job.id, how, place.target.id)
            return false
        }
        val startedAtMs = parts.clock.nowMs()
        val copy = if (place !== current.placement) parts.places.placeCopy(place) else null
        val dispatch = dispatchOf(job, place.target, copy?.target, resume, parts.clock.nowMs())
        // A body that is still arriving cannot be sent again.
        val result =
            if (job.request.body.isRepeatable) {
                withTimeoutOrNull(CONTINUE_LIMIT_MS) {
                    coroutineScope { parts.calls.open(job, place.target, dispatch, this) }
                }
            } else {
                null
            }
        val answer = result?.getOrNull()
        val isSuccess = answer != null && answer.response.status().code() == HTTP_OK
        log.info(
            "run continued request={} how={} why={} from={} to={} lastId={} success={} result={} tookMs={}",
            job.id, how, why, current.placement.target.id, place.target.id, resume.lastEventId, isSuccess,
            result?.fold({ it.toString() }, { it.response.status().toString() }) ?: "no answer",
            parts.clock.nowMs() - startedAtMs,
        )
        parts.meters.continued(how, isSuccess)
        if (answer == null || !isSuccess) {
            answer?.abandon()
            copy?.let { parts.places.end(it, UseOutcome.ABANDONED) }
            return false
        }
        current.answer.abandon()
        if (place !== current.placement) parts.places.end(current.placement, UseOutcome.ABANDONED)
        current.copy?.takeIf { it !== place }?.let { parts.places.end(it, UseOutcome.ABANDONED) }
        framer.dropRest()
        current = Run(answer, place, copy)
        job.trace.append(" $how:${place.target.id}")
        isLeaving = false
        copyRefusals = 0
        moving = MigrationState.NONE
        if (destination === place) destination = null
        dropDestination()
        return true
    }

    private fun watchTarget(scope: CoroutineScope, target: KnownTarget): Job = scope.launch {
        parts.views.first { view -> view.targets[target.id]?.let { it.record.phase != TargetPhase.READY } ?: true }
        isLeaving = true
        log.info("target leaves request={} target={} lastId={}", job.id, target.id, framer.lastId)
        current.answer.connection.wake()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
