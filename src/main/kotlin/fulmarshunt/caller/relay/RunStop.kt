/*
 * Whether a run still works at a target: the target is asked to stop it, or an attempt proves that it has not run.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.left
import fulmarshunt.http.HttpConnection
import fulmarshunt.target.TargetInstance
import fulmarshunt.target.fleet.Placement
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("fulmarshunt.caller.relay.RunStop")

/** How long a target is asked to stop a silent run. Its caller waits; a target that is reached takes far less. */
internal const val SILENT_STOP_LIMIT_MS: Long = 250L

/** How long a leaving target is asked to stop a run, which includes the last copy of its memory. */
internal const val LAST_COPY_LIMIT_MS: Long = 3_000L

/** How long a target is asked about a stop that may have ended the stream of a run. */
internal const val UNCLEAR_STOP_LIMIT_MS: Long = 1_500L

/** The first delay before a target is asked again; each delay is twice the one before. */
private const val STOP_RETRY_MS = 50L
private const val MAX_STOP_RETRY_MS = 400L

/** The time in which most targets notice the end of a connection; a stop before would copy the run in vain. */
private const val CLOSE_NOTICE_MS = 100L

/** How long the last bytes of a stream may take from a target that has answered a later call. */
private const val LATE_INPUT_MS = 50L

/** The requests to stop [run] of [job] at its target. Confined to the traffic thread. */
internal class RunStop(
    private val dependencies: StreamDependencies,
    private val job: RelayJob,
    private val run: Placement,
    /** Whether a request for an earlier stay of the run at this target may still take effect. */
    isEarlierPending: Boolean,
    /** Called when the target has confirmed that it has stopped the run. */
    private val onStopped: () -> Unit,
) {
    private var record = StopRecord(hasUnclearAnswer = isEarlierPending)

    /** Completes when the target has confirmed that it has stopped the run. */
    private val confirmed = Job()

    /** Whether the run has come back to its target, so that another request would stop its new stay. */
    private var isRetired = false

    /** What is known of the stop. */
    val state: StopState get() = record.state

    /** Whether a request may still take effect. */
    val isPending: Boolean get() = record.isPending

    /**
     * Asks the target to stop the run and to copy its memory to that of [destination], again until the answer is clear
     * or [limitMs] have passed. A call that is in progress then goes on in [scope], so that its answer counts later.
     *
     * @param runningLimitMs how long the target is asked again after an answer that leaves the run at work.
     * @return the last answer.
     */
    suspend fun request(
        destination: Placement,
        limitMs: Long,
        scope: CoroutineScope,
        runningLimitMs: Long = limitMs,
    ): Either<MoveFailure, Moved> {
        val startedAtMs = dependencies.clock.nowMs()
        var last: Either<MoveFailure, Moved> = MoveFailure.NoResponse("no response within $limitMs ms").left()
        val calls = scope.async {
            var retryMs = STOP_RETRY_MS
            while (true) {
                last = requestOnce(destination)
                val retryLimitMs = if (last.leftOrNull() is MoveFailure.NoResponse) limitMs else runningLimitMs
                if (isFinal(last) || dependencies.clock.nowMs() + retryMs >= startedAtMs + retryLimitMs) break
                delay(retryMs)
                // An earlier call may have been answered meanwhile, and the run may go on at its target since.
                if (isRetired || state is StopState.Stopped) break
                retryMs = minOf(2 * retryMs, MAX_STOP_RETRY_MS)
            }
            last
        }
        withTimeoutOrNull(limitMs) {
            select {
                calls.onAwait {}
                confirmed.onJoin {}
            }
        }
        return last
    }

    /** Ends the requests, because the run begins a new stay at its target. */
    fun retire() {
        isRetired = true
    }

    /** Asks the target once, unless the run has begun a new stay there. */
    suspend fun requestOnce(destination: Placement): Either<MoveFailure, Moved> {
        if (isRetired) return MoveFailure.NoResponse("the run has a new stay at its target").left()
        record = record.sent()
        var answer: Either<MoveFailure, Moved> = MoveFailure.NoResponse("the call was cancelled").left()
        try {
            answer = dependencies.adapter.migrate(
                run.target.record.address,
                job.id,
                destination.target.record.address,
                true,
            )
        } finally {
            record = record.answered(answer, destination)
        }
        if (state is StopState.Stopped && confirmed.complete()) onStopped()
        return answer
    }

    /** Whether another request would get no other answer than [answer]. */
    private fun isFinal(answer: Either<MoveFailure, Moved>): Boolean = when (answer.leftOrNull()) {
        null, is MoveFailure.Stopped, is MoveFailure.Unreachable -> true
        // An earlier request may still be answered with the handle.
        MoveFailure.NoSuchRun -> !isPending
        MoveFailure.InProgress, is MoveFailure.NoResponse, is MoveFailure.Rejected -> false
    }
}

/** The requests to stop the run of [job] at each target where it was. Confined to the traffic thread. */
internal class RunStops(
    private val dependencies: StreamDependencies,
    private val job: RelayJob,
    /** Called when the target of a placement has confirmed that it has stopped the run. */
    private val onStopped: (Placement) -> Unit,
) {
    private val stops = mutableMapOf<TargetInstance, RunStop>()

    /** Returns the requests for a stay of the run at [placement] that begins now. */
    fun begin(placement: Placement): RunStop {
        val former = stops[placement.target.instance]
        former?.retire()
        val isEarlierPending = former?.isPending == true
        val stop = RunStop(dependencies, job, placement, isEarlierPending) { onStopped(placement) }
        stops[placement.target.instance] = stop
        return stop
    }

    /** Returns the requests for the last stay of the run at the target of [placement]. */
    fun at(placement: Placement): RunStop = stops[placement.target.instance] ?: begin(placement)
}

/** Whether a run goes on at its target, which has given [failure] as the answer to a stop. */
internal fun mayBeRunning(failure: MoveFailure?, isOpen: Boolean): Boolean =
    failure == MoveFailure.InProgress || (failure is MoveFailure.Rejected && isOpen)

/** Stops [run], which continues at [destination], in case its target does not stop it at the end of its connection. */
internal suspend fun stopAfterClose(job: RelayJob, stop: RunStop, run: Placement, destination: Placement) {
    if (job.service.engine?.canMigrate != true || run === destination) return
    delay(CLOSE_NOTICE_MS)
    val result = stop.requestOnce(destination)
    log.info("run stop requested request={} why=continued target={} result={}", job.id, run.target.id, result)
}

/** Waits a moment for the rest of a stream on [connection] whose run has ended at its target. */
internal suspend fun awaitLateInput(connection: HttpConnection) {
    if (connection.end == null && connection.isInboxEmpty) delay(LATE_INPUT_MS)
}

/** Whether the target of [placement] states that the continuation that broke off there does not run. */
internal suspend fun hasNoRun(job: RelayJob, stop: RunStop, placement: Placement, former: Placement): Boolean {
    if (job.service.engine?.canMigrate != true || placement === former) return false
    val answer =
        coroutineScope {
            stop.request(former, SILENT_STOP_LIMIT_MS, this).also { coroutineContext.cancelChildren() }
        }
    return answer.leftOrNull() == MoveFailure.NoSuchRun
}

/** Without a response, the request may wait in the socket of a target that is stopped, and run when it wakes. */
internal fun isProvenNotRun(result: Either<AttemptFailure, TargetResponse>): Boolean {
    val failure = result.leftOrNull()
    return failure is AttemptFailure.NotSent || failure is AttemptFailure.NoPath || failure is AttemptFailure.Refused
}
