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
import fulmarshunt.http.HttpPipe
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.UseEnd
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
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
 * After this time, a run is stopped without a second copy. Targets leave as soon as 1.5 s after their notice, and a
 * second copy can wait behind three first ones of 0.3 s each.
 */
private const val SECOND_COPY_LIMIT_MS = 600L

/** How long the source may take to close a stream after the run was stopped there. */
private const val STOPPED_STREAM_LIMIT_MS = 500L

/** What a stream relay uses. */
internal class StreamParts(
    val calls: TargetCalls,
    val dialect: Dialect,
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
    private val caller: HttpPipe,
    run: Run,
) {
    private val log = LogManager.getLogger(StreamRelay::class.java)

    /** Where the run is now. */
    var current: Run = run
        private set

    private val framer = EventFramer()
    private var isLeaving = false
    private var isCopyTried = false
    private var moving: Moving = Moving.NONE
    private var destination: Placement? = null

    private enum class Moving { NONE, COPYING, COPIED, GIVEN_UP }

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
                    Next.Ended -> if (continueFromCopy("lost")) null else false
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
        val canContinue = current.copy != null && !isCopyTried && framer.lastId != null
        val stallMs = maxOf(MIN_STALL_MS, STALL_GAPS * job.route.gapObjectiveMs)
        var isStalled = false
        val piece =
            if (canContinue) {
                withTimeoutOrNull(stallMs) { current.answer.nextPieceOrNull(isInterrupted) }
                    .also { isStalled = it == null && current.answer.pipe.end == null && !mustAct() }
            } else {
                current.answer.nextPieceOrNull(isInterrupted)
            }
        return when {
            piece != null -> Next.Piece(piece)
            isStalled -> Next.Stalled
            current.answer.pipe.end == null && mustAct() -> Next.Act
            else -> Next.Ended
        }
    }

    private fun mustAct(): Boolean {
        if (!isLeaving || framer.lastId == null || framer.hasUnnumbered) return false
        return hasUsableCopy() || (canMove() && (moving == Moving.NONE || moving == Moving.COPIED))
    }

    /** A copy at a target that leaves as well would have to be left at once. */
    private fun hasUsableCopy(): Boolean {
        val copy = current.copy ?: return false
        return !isCopyTried && parts.views.value.targets[copy.target.id]?.record?.phase == TargetPhase.READY
    }

    private fun canMove() = job.service.engine?.canMove == true

    /** Passes on what a piece completes; returns true at the end of the stream. */
    private suspend fun take(content: HttpContent): Boolean? {
        val isLast = content is LastHttpContent
        val isFirst = framer.events == 0L
        val whole = framer.feedOrNull(content.content())
        if (whole != null) {
            if (isFirst) noteFirst()
            caller.send(DefaultHttpContent(whole))
        }
        if (!isLast) return null
        val rest = framer.takeRest()
        if (rest.isReadable) caller.put(DefaultHttpContent(rest)) else rest.release()
        caller.send(LastHttpContent.EMPTY_LAST_CONTENT)
        current.answer.finish()
        return true
    }

    private fun noteFirst() {
        parts.places.started(current.placement)
        parts.meters.firstByte(job.service.id.value, parts.clock.nowMs() - job.request.arrivedAtMs)
    }

    /** The target leaves: the run goes on from its copy, or is moved. */
    private suspend fun leave(scope: CoroutineScope): Boolean? {
        when {
            hasUsableCopy() -> continueFromCopy("leaving")
            moving == Moving.NONE -> startMove(scope)
            moving == Moving.COPIED -> finishMove()
        }
        return null
    }

    private suspend fun continueFromCopy(why: String): Boolean {
        val copy = current.copy ?: return false
        val lastId = framer.lastId
        if (isCopyTried || lastId == null || framer.hasUnnumbered) return false
        isCopyTried = true
        val resume = ResumePoint(copy.target.record.address, parts.dialect.copyHandle(job.id), lastId)
        return continueAt(copy, resume, "copy", why).also { if (it) parts.places.promote(copy) }
    }

    private suspend fun startMove(scope: CoroutineScope) {
        val tokens = (job.request.facts.generation?.promptTokens ?: 0) + job.expectedOutputTokens
        val place = parts.places.placeMoved(current.placement, tokens)
        if (place == null) {
            moving = Moving.GIVEN_UP
            log.warn("move refused request={} target={} reason=no other target", job.id, current.placement.target.id)
            return
        }
        destination = place
        moving = Moving.COPYING
        val source = current
        scope.launch {
            val result = copyWhileRunning(source.answer.target.record.address, place.target.record.address)
            if (current !== source) return@launch
            val from = source.placement.target.id
            log.info("run copied request={} from={} to={} result={}", job.id, from, place.target.id, result)
            result.fold({ giveUpMove("copy failed: ${it.reason}") }, { moving = Moving.COPIED })
            source.answer.pipe.wake()
        }
    }

    /**
     * Copies the run without stopping it. Copies from one target queue behind each other, so that the last one, for
     * which the run stops, would wait for the first ones of other runs; a second copy waits in its place.
     */
    private suspend fun copyWhileRunning(source: Address, destination: Address): Either<MoveFailure, Moved> {
        val startedAtMs = parts.clock.nowMs()
        val first = parts.dialect.move(source, job.id, destination, false)
        val isInTime = parts.clock.nowMs() - startedAtMs < SECOND_COPY_LIMIT_MS
        return if (first.isRight() && isInTime) parts.dialect.move(source, job.id, destination, false) else first
    }

    private fun giveUpMove(reason: String) {
        moving = Moving.GIVEN_UP
        log.warn("move failed request={} from={} reason={}", job.id, current.placement.target.id, reason)
        destination?.let { parts.places.end(it, UseEnd.ABANDONED) }
        destination = null
        parts.meters.continued("move", false)
    }

    private suspend fun finishMove() {
        val place = destination ?: return
        val source = current.answer.target.record.address
        val moved = parts.dialect.move(source, job.id, place.target.record.address, true)
        when (moved) {
            is Either.Right -> {
                drainStopped()
                val resume = ResumePoint(source, moved.value.handle, framer.lastId)
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
            copy?.let { parts.places.end(it, UseEnd.ABANDONED) }
            return false
        }
        current.answer.abandon()
        if (place !== current.placement) parts.places.end(current.placement, UseEnd.ABANDONED)
        current.copy?.takeIf { it !== place }?.let { parts.places.end(it, UseEnd.ABANDONED) }
        framer.dropRest()
        current = Run(answer, place, copy)
        job.trace.append(" $how:${place.target.id}")
        isLeaving = false
        isCopyTried = false
        moving = Moving.NONE
        destination = null
        return true
    }

    private fun watchTarget(scope: CoroutineScope, target: KnownTarget): Job = scope.launch {
        parts.views.first { view -> view.targets[target.id]?.let { it.record.phase != TargetPhase.READY } ?: true }
        isLeaving = true
        log.info("target leaves request={} target={} lastId={}", job.id, target.id, framer.lastId)
        current.answer.pipe.wake()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
