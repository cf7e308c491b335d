/*
 * Forwards the events of one run, and continues the run at another target when its own is leaving, is lost or stalls.
 * The caller sees one stream: each event once, in order, from a single run.
 *
 * A run continues from a copy of its memory that its target keeps elsewhere, or is migrated explicitly: its memory is
 * first copied while it runs, then the run is stopped and what is new is copied.
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

/** The silence after which a run continues from its copy, as a multiple of the gap objective. */
private const val STALL_GAPS = 4
private const val MIN_STALL_MS = 600L

/** How long the target at which a run continues may take to respond. */
private const val CONTINUE_LIMIT_MS = 1_500L

/**
 * A run is stopped for its last copy once a copy takes less than this, so that its caller notices no pause. Copies from
 * one target are queued, and a leaving target has many to make.
 */
private const val QUICK_COPY_MS = 100L

/** The maximum number of copies. If none is quick, the target may end first; the run continues from what was copied. */
private const val MAX_COPIES = 20

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
)

/** A run at a target, with the placement of the copy of its memory. */
internal class Run(val response: TargetResponse, val placement: Placement, val copy: Placement?)

/** Forwards the stream of one run to its caller. */
internal class StreamRelay(
    private val job: RelayJob,
    private val dependencies: StreamDependencies,
    private val caller: HttpConnection,
    run: Run,
) {
    private val log = LogManager.getLogger(StreamRelay::class.java)

    /** The run at its current target. */
    var current: Run = run
        private set

    private val framer = EventFramer()

    /** The number of events that were forwarded. */
    val events: Long get() = framer.events

    private var isLeaving = false
    private var copyRefusals = 0
    private var copyRefusedAtMs = 0L
    private var migration: MigrationState = MigrationState.NONE
    private var destination: Placement? = null

    /** The handle of the copy at [destination], if there is one; a run whose target is lost continues from it. */
    private var destinationHandle: String? = null
    private var lastEventAtMs = 0L

    /** How long the run was waited for since its last event or its continuation; other bytes are no progress. */
    private var silentMs = 0L
    private var isSoundRecorded = false

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
                val previous = current
                isComplete = when (val next = next()) {
                    is Next.Piece -> forward(next.content)
                    Next.TransferDue -> transfer(this)
                    Next.Stalled -> null.also { continueFromCopy("stalled") }
                    Next.Ended -> continueOrEnd()
                }
                if (current !== previous) {
                    watcher.cancel()
                    watcher = watchTarget(this, current.response.target)
                }
            }
            isComplete
        } finally {
            // A copy that is still being made is no longer needed.
            coroutineContext.cancelChildren()
            framer.discardRest()
        }
    }

    /** Continues the run of a lost stream; returns null if that succeeds, and false if the stream ends incomplete. */
    private suspend fun continueOrEnd(): Boolean? =
        if (continueFromCopy("lost") || continueFromDestination()) null else false

    private suspend fun next(): Next {
        val isInterrupted = { isTransferDue() }
        if (isTransferDue()) return Next.TransferDue
        val canContinue = current.copy != null && copyRefusals == 0 && framer.lastEventId != null
        val limitMs = maxOf(MIN_STALL_MS, STALL_GAPS * job.route.gapObjectiveMs)
        val startedAtMs = dependencies.clock.nowMs()
        var isStalled = false
        val piece =
            if (canContinue) {
                withTimeoutOrNull((limitMs - silentMs).coerceAtLeast(1)) {
                    current.response.nextPieceOrNull(isInterrupted)
                }
                    .also { isStalled = it == null && current.response.connection.end == null && !isTransferDue() }
            } else {
                current.response.nextPieceOrNull(isInterrupted)
            }
        silentMs += dependencies.clock.nowMs() - startedAtMs
        return when {
            piece != null -> Next.Piece(piece)
            isStalled -> Next.Stalled
            current.response.connection.end == null && isTransferDue() -> Next.TransferDue
            else -> Next.Ended
        }
    }

    /** Called for each piece, so that the transfer step is computed only for a leaving target. */
    private fun isTransferDue(): Boolean =
        isLeaving && framer.lastEventId != null && !framer.hasEventWithoutId && transferStep() != TransferStep.NONE

    private fun transferStep(): TransferStep = nextTransferStep(
        TransferState(
            isSourceLeaving = isLeaving,
            hasUsableCopy = hasUsableCopy(),
            copyRefusals = copyRefusals,
            sinceRefusalMs = dependencies.clock.nowMs() - copyRefusedAtMs,
            canMigrate = job.service.engine?.canMigrate == true,
            migration = migration,
        ),
    )

    /** Returns false for a copy at a target that is leaving as well, because the run would have to leave it at once. */
    private fun hasUsableCopy(): Boolean {
        val copy = current.copy ?: return false
        return !isDrained(copy) && dependencies.views.value.targets[copy.target.id]?.record?.phase == TargetPhase.READY
    }

    private fun isDrained(placement: Placement): Boolean =
        placement.target.record.domain in dependencies.views.value.drained

    /**
     * Forwards the events that [content] completes. A stream that ends inside an event was broken off, and one whose
     * event has no end is treated in the same way.
     *
     * @return true at the end of a complete stream, false at that of another, and null before.
     */
    private suspend fun forward(content: HttpContent): Boolean? {
        val isLast = content is LastHttpContent
        val eventsBefore = framer.events
        val completeEvents = framer.appendOrNull(content.content())
        if (framer.events > eventsBefore) recordEvents(isFirst = eventsBefore == 0L)
        if (completeEvents != null) {
            caller.send(DefaultHttpContent(completeEvents))
        }
        if (framer.isEventTooLong || (isLast && framer.hasIncompleteEvent)) {
            log.warn(
                "stream broken off request={} target={} lastId={} ended={}",
                job.id,
                current.placement.target.id,
                framer.lastEventId,
                isLast,
            )
            framer.discardRest()
            current.response.abandon()
            return continueOrEnd()
        }
        if (!isLast) return null
        caller.send(LastHttpContent.EMPTY_LAST_CONTENT)
        current.response.finish()
        return true
    }

    private fun recordEvents(isFirst: Boolean) {
        val nowMs = dependencies.clock.nowMs()
        if (isFirst) {
            dependencies.placements.started(current.placement)
            job.firstEventAfterMs = nowMs - job.request.arrivedAtMs
            dependencies.meters.firstByte(job.service.id.value, nowMs - job.request.arrivedAtMs)
        } else {
            job.longestGapMs = maxOf(job.longestGapMs, nowMs - lastEventAtMs)
        }
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
            TransferStep.CONTINUE_FROM_COPY -> if (!continueFromCopy("leaving")) wakeForRetry(scope)
            TransferStep.START_MOVE -> startMigration(scope)
            TransferStep.FINISH_MOVE -> finishMigration()
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

    private suspend fun continueFromCopy(why: String): Boolean {
        val copy = current.copy ?: return false
        val lastEventId = framer.lastEventId
        if (lastEventId == null || framer.hasEventWithoutId) return false
        val resume = ResumePoint(copy.target.record.address, dependencies.adapter.copyHandle(job.id), lastEventId)
        val hasContinued = continueAt(copy, resume, "copy", why)
        if (hasContinued) {
            dependencies.placements.promote(copy)
        } else {
            copyRefusals += 1
            copyRefusedAtMs = dependencies.clock.nowMs()
        }
        return hasContinued
    }

    /** Continues from what a migration had copied when the target was lost. */
    private suspend fun continueFromDestination(): Boolean {
        val placement = destination ?: return false
        val handle = destinationHandle ?: return false
        if (framer.hasEventWithoutId) return false
        destinationHandle = null
        val source = current.response.target.record.address
        return continueAt(placement, ResumePoint(source, handle, framer.lastEventId), "move", "lost")
    }

    private suspend fun startMigration(scope: CoroutineScope) {
        val tokens = (job.request.metadata.generation?.promptTokens ?: 0) + job.expectedOutputTokens
        val placement = dependencies.placements.placeForMigration(current.placement, tokens)
        if (placement == null) {
            migration = MigrationState.GIVEN_UP
            log.warn("move refused request={} target={} reason=no other target", job.id, current.placement.target.id)
            return
        }
        destination = placement
        migration = MigrationState.COPYING
        val source = current
        scope.launch {
            val result = copyWhileRunning(source, placement.target.record.address)
            if (current !== source) return@launch
            val from = source.placement.target.id
            log.info("run copied request={} from={} to={} result={}", job.id, from, placement.target.id, result)
            result.fold({ abandonMigration("copy failed: ${it.reason}") }, { migration = MigrationState.COPIED })
            source.response.connection.wake()
        }
    }

    /** Copies the run repeatedly while it runs, until little remains to be copied; the first copy takes longest. */
    private suspend fun copyWhileRunning(source: Run, destination: Address): Either<MoveFailure, Moved> {
        var copied = copyOnce(source, destination)
        var copies = 1
        while (copied.isRight() && copies < MAX_COPIES) {
            val startedAtMs = dependencies.clock.nowMs()
            copied = copyOnce(source, destination)
            copies += 1
            if (dependencies.clock.nowMs() - startedAtMs < QUICK_COPY_MS) break
        }
        return copied
    }

    /** Copies the current state of the run. The copy is not used if the run has continued elsewhere meanwhile. */
    private suspend fun copyOnce(source: Run, destination: Address): Either<MoveFailure, Moved> =
        dependencies.adapter.migrate(source.response.target.record.address, job.id, destination, false)
            .onRight { if (current === source) destinationHandle = it.handle }

    private fun abandonMigration(reason: String) {
        migration = MigrationState.GIVEN_UP
        log.warn(
            "move failed request={} from={} copied={} reason={}",
            job.id,
            current.placement.target.id,
            destinationHandle != null,
            reason,
        )
        // A copy is kept, because the run can continue from it if its target is lost.
        if (destinationHandle == null) releaseDestination()
        dependencies.meters.continued("move", false)
    }

    private fun releaseDestination() {
        destination?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
        destination = null
        destinationHandle = null
    }

    private suspend fun finishMigration() {
        val placement = destination ?: return
        val source = current.response.target.record.address
        val result = dependencies.adapter.migrate(source, job.id, placement.target.record.address, true)
        when (result) {
            is Either.Right -> {
                forwardRemainingEvents()
                val resume = ResumePoint(source, result.value.handle, framer.lastEventId)
                destinationHandle = null
                if (!continueAt(placement, resume, "move", "leaving")) {
                    abandonMigration("the destination did not continue")
                }
            }
            is Either.Left -> {
                val handle = result.value.handle
                abandonMigration("last copy failed: ${result.value.reason}")
                if (handle != null) {
                    forwardRemainingEvents()
                    val resume = ResumePoint(source, handle, framer.lastEventId)
                    continueAt(current.placement, resume, "stay", "move failed")
                }
            }
        }
    }

    /** Forwards the events that were generated before the run was stopped. */
    private suspend fun forwardRemainingEvents() {
        withTimeoutOrNull(STOPPED_STREAM_LIMIT_MS) {
            while (!framer.isEventTooLong) {
                val piece = current.response.nextPieceOrNull() ?: break
                framer.appendOrNull(piece.content())?.let { caller.send(DefaultHttpContent(it)) }
            }
        }
    }

    /** Sends the request to [placement] to continue from [resume]; the new response replaces the current one. */
    private suspend fun continueAt(placement: Placement, resume: ResumePoint, how: String, why: String): Boolean {
        if (isDrained(placement)) {
            // The failure domain may have been drained after the copy was made.
            log.warn("run not continued request={} how={} to={} reason=drained", job.id, how, placement.target.id)
            return false
        }
        if (!dependencies.placements.tryContinue(placement)) {
            log.warn("run not continued request={} how={} to={} reason=pause/budget", job.id, how, placement.target.id)
            return false
        }
        val startedAtMs = dependencies.clock.nowMs()
        val copy = if (placement !== current.placement) dependencies.placements.placeCopy(placement) else null
        val dispatch = dispatchOf(job, placement.target, copy?.target, resume, dependencies.clock.nowMs())
        // A body that is still arriving cannot be sent again.
        val result =
            if (job.request.body.isRepeatable) {
                withTimeoutOrNull(CONTINUE_LIMIT_MS) {
                    coroutineScope { dependencies.calls.open(job, placement.target, dispatch, this) }
                }
            } else {
                null
            }
        val response = result?.getOrNull()
        val isSuccess = response != null && response.head.status().code() == HTTP_OK
        log.info(
            "run continued request={} how={} why={} from={} to={} lastId={} success={} result={} tookMs={}",
            job.id, how, why, current.placement.target.id, placement.target.id, resume.lastEventId, isSuccess,
            result?.fold({ it.toString() }, { it.head.status().toString() }) ?: "no response",
            dependencies.clock.nowMs() - startedAtMs,
        )
        dependencies.meters.continued(how, isSuccess)
        if (response == null || !isSuccess) {
            response?.abandon()
            copy?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
            return false
        }
        current.response.abandon()
        if (placement !== current.placement) dependencies.placements.end(current.placement, UseOutcome.ABANDONED)
        current.copy?.takeIf { it !== placement }?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
        framer.discardRest()
        current = Run(response, placement, copy)
        job.trace.append(" $how:${placement.target.id}")
        isLeaving = false
        copyRefusals = 0
        silentMs = 0
        migration = MigrationState.NONE
        if (destination === placement) destination = null
        releaseDestination()
        return true
    }

    private fun watchTarget(scope: CoroutineScope, target: KnownTarget): Job = scope.launch {
        dependencies.views.first { view ->
            view.targets[target.id]?.let { it.record.phase != TargetPhase.READY } ?: true
        }
        isLeaving = true
        log.info("target leaves request={} target={} lastId={}", job.id, target.id, framer.lastEventId)
        current.response.connection.wake()
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
