/*
 * Relays one request: it is routed, admitted, placed at a target and sent there, and the response is forwarded to the
 * caller. If that is not possible, the caller gets a local response that says why.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.TargetConnections
import fulmarshunt.target.fleet.UseOutcome
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How a request ended for its caller. */
internal sealed interface RelayOutcome {
    /** The entry VM itself responded. */
    data class Local(val response: LocalResponse) : RelayOutcome

    /** The response of a target was forwarded completely. */
    data object Relayed : RelayOutcome

    /** The response ended early, which the caller learns from the end of its connection. */
    data object Broken : RelayOutcome
}

/** The collaborators of [RequestRelay]. */
internal class RelayDependencies(
    val views: StateFlow<FleetView>,
    val fleet: Fleet,
    val control: ControlThread,
    val connections: TargetConnections,
    val adapter: ProtocolAdapter,
    val meters: RelayMeters,
    val clock: Clock,
    /** Returns a uniform random number in 0 until 1. */
    val nextRandom: () -> Double,
    /** Outlives requests; used to find out whether a target has crashed. */
    val background: CoroutineScope,
    val plannedStop: PlannedStop,
)

/** The time before the deadline that is reserved for the transfer of the response. */
private const val RESPONSE_TRANSFER_MS = 10L

/** How long the beginning of a body may take while no configuration says how long requests take. */
private const val DEFAULT_BODY_TIMEOUT_MS = 60_000L

/** A body that follows its head at once arrives within this time also on a busy VM. */
private const val LEAST_BODY_TIMEOUT_MS = 1_000L

/** The status promises that the request has not run. */
private val lateBody =
    LocalResponse(HttpResponseStatus.REQUEST_TIMEOUT, "the body has not arrived in time", isLast = true)

/** Statuses for which an idempotent request is sent to another target. */
private val SERVER_FAILURES = 500..599

/** Relays requests of callers to targets. Confined to the traffic thread. */
internal class RequestRelay(private val dependencies: RelayDependencies) {
    private val log = LogManager.getLogger(RequestRelay::class.java)
    private val notices = TargetNotices(dependencies)
    private val calls =
        TargetCalls(dependencies.connections, dependencies.adapter, dependencies.clock, notices::receive)
    private val admission = RequestAdmission(dependencies)
    private val crashes = CrashDetector(dependencies)

    /** Relays [request] and returns how it ended. */
    suspend fun run(request: CallerRequest): RelayOutcome {
        withTimeoutOrNull(bodyTimeoutMs(request)) { request.body.readBeginning() }
            ?: return RelayOutcome.Local(lateBody).also { logUnrouted(request, it) }
        bodyProblemOrNull(request)?.let { return it.also { outcome -> logUnrouted(request, outcome) } }
        if (request.body.isComplete) {
            request.connection.watchForEnd()
            return relay(request)
        }
        return coroutineScope {
            val reading = launch { request.body.readRest() }
            try {
                relay(request)
            } finally {
                reading.cancel()
            }
        }
    }

    private suspend fun relay(request: CallerRequest): RelayOutcome {
        val job = admission.admit(request).getOrElse { response ->
            return RelayOutcome.Local(response).also { logUnrouted(request, it) }
        }
        val placements = JobPlacements(dependencies.fleet, dependencies.control, dependencies.meters)
        dependencies.control.scope.launch { dependencies.fleet.repeats.recordRequest(job.service.id) }
        var outcome: RelayOutcome? = null
        try {
            val remainingMs = job.deadlineAtMs - dependencies.clock.nowMs()
            outcome = withTimeoutOrNull(remainingMs) { serveUntilStop(job, placements) } ?: timedOut(job)
            return outcome
        } finally {
            placements.endAll()
            logOutcome(job, outcome)
        }
    }

    /** Returns how long the beginning of a body may take: no longer than any request of its caller can. */
    private fun bodyTimeoutMs(request: CallerRequest): Long {
        val routes = dependencies.views.value.table?.configuration?.routes.orEmpty()
        val longestMs = routes.maxOfOrNull { it.timeoutMs } ?: DEFAULT_BODY_TIMEOUT_MS
        return minOf(request.metadata.callerTimeoutMs ?: longestMs, longestMs).coerceAtLeast(LEAST_BODY_TIMEOUT_MS)
    }

    /**
     * Serves [job]; if it has no response when the process ends, its caller is told whether it may have run. A request
     * whose body turns out to be unreadable while it waits is refused at once.
     */
    private suspend fun serveUntilStop(job: RelayJob, placements: JobPlacements): RelayOutcome = coroutineScope {
        val serving = async { serve(job, placements) }
        val unreadable = if (job.request.body.isComplete) null else launch { job.request.body.awaitProblem() }
        val outcome = select {
            serving.onAwait { it }
            dependencies.plannedStop.givenUp.onJoin { if (job.request.progress.hasBegun) null else stopped(job) }
            unreadable?.onJoin { if (job.mayBeAtTarget) null else bodyProblemOrNull(job.request) }
        }
        unreadable?.cancel()
        if (outcome != null) serving.cancel()
        outcome ?: serving.await()
    }

    /** Reads the whole body of [job] if only that tells whether it crashes targets; returns the response if it does. */
    private suspend fun judgeWholeBody(job: RelayJob): RelayOutcome? {
        if (!admission.needsWholeBody(job)) return null
        log.info("request read whole request={} readBytes={}", job.id, job.request.body.readBytes)
        if (!job.request.body.awaitEnd()) return notServed(job, "the body is too long to tell whether it is safe", null)
        return bodyProblemOrNull(job.request) ?: admission.refusalOrNull(job)?.let { refused(job, it) }
    }

    /** Waits for a target of [job]; on the left is the response if there is none, or if it must not be sent. */
    private suspend fun place(job: RelayJob, placements: JobPlacements): Either<RelayOutcome, Placement> {
        judgeWholeBody(job)?.let { return it.left() }
        val requestedAtMs = dependencies.clock.nowMs()
        val result = placements.place(job.toPlacementRequest(), placementTimeoutMs(job))
        job.waitedMs += dependencies.clock.nowMs() - requestedAtMs
        return when (result) {
            is PlacementResult.Placed -> result.placement.right()
            is PlacementResult.Full -> {
                recordRefusal(job, result.reason.name.lowercase())
                notServed(job, "no target has room", result).left()
            }
            PlacementResult.NoTarget -> {
                recordRefusal(job, "no_target")
                notServed(job, "no target is known", null).left()
            }
        }
    }

    private fun refused(job: RelayJob, refusal: LocalResponse): RelayOutcome =
        if (job.attempts.runs > 0) notServed(job, refusal.reason, null) else RelayOutcome.Local(refusal)

    private suspend fun serve(job: RelayJob, placements: JobPlacements): RelayOutcome {
        while (true) {
            val requestedAtMs = dependencies.clock.nowMs()
            val placement = place(job, placements).getOrElse { return it }
            // What crashes targets may have become known, or the end of the process planned, while the request waited.
            admission.refusalOrNull(job)?.let { refusal ->
                placements.end(placement, UseOutcome.ABANDONED)
                return refused(job, refusal)
            }
            if (admission.needsWholeBody(job)) {
                placements.end(placement, UseOutcome.ABANDONED)
                continue
            }
            recordWait(job, dependencies.clock.nowMs() - requestedAtMs)
            job.trace.append(" ${placement.target.id}")
            job.request.progress.target = placement.target.id
            job.triedTargets += placement.target.id
            val failure = attempt(job, placements, placement).fold({ it }, { return it })
            dependencies.meters.attemptFailed(failure::class.simpleName.orEmpty(), job.service.id.value)
            recordFailure(job, failure)
            log.info(
                "attempt failed request={} target={} failure={} mayHaveRun={}",
                job.id,
                placement.target.id,
                failure,
                job.attempts.runs > 0,
            )
            // The rest of a long body is read while the target has the request.
            bodyProblemOrNull(job.request)?.let { return it }
            val route = job.route
            val canSendAgain = job.request.body.canBeSent
            val step = nextStep(failure, route.repeatability, job.attempts, job.unsent, route.maxTargets) {
                // For a failed response, the repeat was taken before the response was discarded.
                canSendAgain && (failure is AttemptFailure.Failed || placements.tryRepeat(job))
            }
            if (step == NextStep.TRY_ANOTHER && canSendAgain) continue
            val problem = if (job.attempts.runs > 0) "the target failed" else "no target took the request"
            return notServed(job, "$problem: $failure", placements.shortage(job))
        }
    }

    /** Sends the request to one target; returns the failure if nothing was forwarded to the caller. */
    private suspend fun attempt(
        job: RelayJob,
        placements: JobPlacements,
        placement: Placement,
    ): Either<AttemptFailure, RelayOutcome> = coroutineScope {
        val copy = if (wantsCopy(job)) placements.placeCopy(placement) else null
        val nowMs = dependencies.clock.nowMs()
        val dispatch = dispatchOf(job, placement.target, copy?.target, null, nowMs)
        val opened = calls.open(job, placement.target, dispatch, this) { job.mayBeAtTarget = true }
        opened.fold(
            { failure ->
                job.mayBeAtTarget = failure is AttemptFailure.Lost
                copy?.let { placements.end(it, UseOutcome.ABANDONED) }
                placements.end(placement, useOutcomeOf(failure))
                if (failure is AttemptFailure.Lost) {
                    crashes.reportIfCrashed(job, placement.target, events = 0, failure.isEndedByTarget)
                }
                failure.left()
            },
            { response ->
                var isFinished = false
                try {
                    val outcome = relay(job, placements, Run(response, placement, copy))
                    isFinished = true
                    outcome
                } finally {
                    // The caller has disconnected or the deadline has passed: the target must stop its work.
                    if (!isFinished) response.abandon()
                }
            },
        )
    }

    private suspend fun relay(
        job: RelayJob,
        placements: JobPlacements,
        run: Run,
    ): Either<AttemptFailure, RelayOutcome> {
        val status = run.response.head.status().code()
        if (status in SERVER_FAILURES && mayRepeat(job, placements)) {
            run.response.abandon()
            placements.end(run.placement, UseOutcome.FAILED_BY_STATUS)
            return AttemptFailure.Failed(status).left()
        }
        val head = callerHead(run.response.head, dependencies.adapter, job.request.isHead)
        // The response to HEAD has no events, and no body whose end could be marked.
        return if (job.isStream && status == HttpResponseStatus.OK.code() && !job.request.isHead) {
            relayStream(job, placements, run, head)
        } else {
            relayPlain(job, placements, run, head)
        }
    }

    private suspend fun relayStream(
        job: RelayJob,
        placements: JobPlacements,
        run: Run,
        head: HttpResponse,
    ): Either<AttemptFailure, RelayOutcome> {
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        HttpUtil.setTransferEncodingChunked(head, true)
        val streamDependencies = StreamDependencies(
            calls,
            dependencies.adapter,
            dependencies.views,
            placements,
            dependencies.meters,
            dependencies.clock,
            dependencies.background,
            dependencies.plannedStop,
        )
        val stream = CallerStream(job.request, head)
        val relay = StreamRelay(job, streamDependencies, stream, run)
        var isComplete = false
        var isEndedByTarget = false
        try {
            isComplete = relay.forward()
        } finally {
            stream.discard()
            isEndedByTarget = relay.current.response.connection.isEndedByPeer
            if (!isComplete) relay.current.response.abandon()
        }
        placements.end(relay.current.placement, if (isComplete) UseOutcome.SUCCEEDED else UseOutcome.FAILED)
        if (isComplete) {
            admission.recordStream(job, relay.events)
        }
        // The end of the connection alone does not tell a response that is complete from a crash.
        if (isComplete && relay.events > 0 && !relay.current.response.endsWithConnection) {
            placements.recordSound(job.causes.parts)
        } else if (!isComplete || relay.events < SOUND_EVENTS) {
            crashes.reportIfCrashed(job, relay.current.placement.target, relay.events, isEndedByTarget)
        }
        return when {
            isComplete -> RelayOutcome.Relayed.right()
            job.request.progress.hasBegun -> RelayOutcome.Broken.right()
            else -> AttemptFailure.Lost("the stream ended before its first event").left()
        }
    }

    private suspend fun relayPlain(
        job: RelayJob,
        placements: JobPlacements,
        run: Run,
        head: HttpResponse,
    ): Either<AttemptFailure, RelayOutcome> {
        val result = forward(run.response, job.request.connection, head) {
            job.request.progress.hasBegun = true
            head.announceEndOf(job.request)
            dependencies.meters.firstByte(job.service.id.value, dependencies.clock.nowMs() - job.request.arrivedAtMs)
        }
        run.copy?.let { placements.end(it, UseOutcome.ABANDONED) }
        if (result == ForwardResult.COMPLETE) {
            run.response.finish()
            val isFailure = run.response.head.status().code() in SERVER_FAILURES
            if (run.response.head.status().codeClass() == HttpStatusClass.SUCCESS) {
                admission.recordDuration(job)
                // A body that the caller was still sending would count as time of the target.
                if (job.request.body.isRepeatable && job.service.engine == null) {
                    placements.answered(run.placement, run.response.headAfterMs)
                }
                if (!run.response.endsWithConnection) {
                    placements.recordSound(job.causes.parts)
                    if (job.service.engine == null) placements.recordServed(job.causes.whole)
                }
            }
            placements.end(run.placement, if (isFailure) UseOutcome.FAILED_BY_STATUS else UseOutcome.SUCCEEDED)
            return RelayOutcome.Relayed.right()
        }
        val isEndedByTarget = run.response.connection.isEndedByPeer
        run.response.abandon()
        placements.end(run.placement, UseOutcome.FAILED)
        crashes.reportIfCrashed(job, run.placement.target, events = 0, isEndedByTarget)
        return when (result) {
            ForwardResult.BROKEN_BEFORE -> AttemptFailure.Lost("the response ended early").left()
            else -> RelayOutcome.Broken.right()
        }
    }

    private suspend fun mayRepeat(job: RelayJob, placements: JobPlacements): Boolean =
        job.route.repeatability == Repeatability.IDEMPOTENT &&
            job.request.body.isRepeatable &&
            job.attempts.runs + 1 < job.route.maxTargets &&
            placements.tryRepeat(job)

    private fun wantsCopy(job: RelayJob): Boolean =
        job.isStream && job.request.body.isRepeatable && job.service.engine?.canBackUp == true &&
            job.expectedOutputTokens >= COPY_MIN_OUTPUT_TOKENS

    private fun recordWait(job: RelayJob, waitedMs: Long) {
        dependencies.meters.placed(job.service.id.value, waitedMs)
        dependencies.meters.waited(job.service.id.value, job.rank, waitedMs)
    }

    private fun recordRefusal(job: RelayJob, reason: String) =
        dependencies.meters.placementRefused(job.service.id.value, job.rank, reason)

    private fun recordFailure(job: RelayJob, failure: AttemptFailure) {
        val attempts = job.attempts
        when (failure) {
            is AttemptFailure.NotSent -> job.unsent += 1
            is AttemptFailure.NoPath -> job.unsent += UNSENT_WITHOUT_PATH
            is AttemptFailure.Refused -> job.attempts = attempts.copy(arrivals = attempts.arrivals + 1)
            is AttemptFailure.Lost, is AttemptFailure.Failed ->
                job.attempts = AttemptCounts(attempts.runs + 1, attempts.arrivals + 1)
        }
    }

    /** Returns the response when no target remains to be tried: "not run" only if none can have run the request. */
    private fun notServed(job: RelayJob, reason: String, full: PlacementResult.Full?): RelayOutcome =
        RelayOutcome.Local(
            if (job.attempts.runs > 0) {
                LocalResponse(HttpResponseStatus.BAD_GATEWAY, "$reason, and a target may have run the request")
            } else {
                notRun(reason, retryDelayMs(job, full, dependencies.clock.nowMs(), dependencies.nextRandom()))
            },
        )

    private fun stopped(job: RelayJob): RelayOutcome = RelayOutcome.Local(
        if (job.mayBeAtTarget || job.attempts.runs > 0) {
            LocalResponse(HttpResponseStatus.BAD_GATEWAY, "this VM stops, and a target may have run the request")
        } else {
            notRun("this VM stops", retryDelayMs(job, null, dependencies.clock.nowMs(), dependencies.nextRandom()))
        },
    )

    private fun timedOut(job: RelayJob): RelayOutcome {
        val reason = "the caller timeout has passed"
        return when {
            job.request.progress.hasBegun -> RelayOutcome.Broken
            job.mayBeAtTarget || job.attempts.runs > 0 ->
                RelayOutcome.Local(LocalResponse(HttpResponseStatus.GATEWAY_TIMEOUT, reason))
            else -> {
                val delayMs = retryDelayMs(job, null, dependencies.clock.nowMs(), dependencies.nextRandom())
                RelayOutcome.Local(notRun("$reason, and no target was sent the request", delayMs))
            }
        }
    }

    private fun bodyProblemOrNull(request: CallerRequest): RelayOutcome? = when (request.body.problem) {
        null -> null
        BodyProblem.CONNECTION_ENDED -> RelayOutcome.Broken
        BodyProblem.TOO_LONG ->
            RelayOutcome.Local(
                LocalResponse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long", isLast = true),
            )
        BodyProblem.MALFORMED ->
            RelayOutcome.Local(LocalResponse(HttpResponseStatus.BAD_REQUEST, "the body cannot be read", isLast = true))
    }

    private fun logUnrouted(request: CallerRequest, outcome: RelayOutcome) {
        val response = (outcome as? RelayOutcome.Local)?.response
        response?.let { dependencies.meters.refused(it) }
        log.info(
            "request ended id={} outcome=unrouted status={} reason={} path={} revision={} version={}",
            request.metadata.id,
            response?.status?.code(),
            response?.reason ?: "the caller left",
            request.path,
            dependencies.views.value.revision,
            dependencies.views.value.version,
        )
    }

    private fun logOutcome(job: RelayJob, outcome: RelayOutcome?) {
        val elapsedMs = dependencies.clock.nowMs() - job.request.arrivedAtMs
        val label = when (outcome) {
            null -> "caller-left"
            is RelayOutcome.Local -> "own"
            RelayOutcome.Relayed -> "relayed"
            RelayOutcome.Broken -> "broken"
        }
        val response = (outcome as? RelayOutcome.Local)?.response
        dependencies.meters.ended(label, job.service.id.value, elapsedMs)
        log.info(
            "request ended id={} outcome={} status={} reason={} route={} service={} account={} targets=[{}] " +
                "runs={} waitedMs={} firstMs={} events={} gapMs={} tookMs={} retryAfterMs={} " +
                "revision={} version={}",
            job.id, label, response?.status?.code(), response?.reason, job.route.name, job.service.id, job.account,
            job.trace.trim(), job.attempts.runs, job.waitedMs, job.firstEventAfterMs, job.request.progress.events,
            job.longestGapMs, elapsedMs, response?.retryAfterMs, dependencies.views.value.revision,
            dependencies.views.value.version,
        )
    }

    private companion object {
        /** Shorter generations end before a copy would help. */
        const val COPY_MIN_OUTPUT_TOKENS = 64
    }
}

private fun useOutcomeOf(failure: AttemptFailure): UseOutcome = when (failure) {
    is AttemptFailure.NotSent -> UseOutcome.UNREACHABLE
    is AttemptFailure.NoPath -> UseOutcome.ABANDONED
    is AttemptFailure.Refused -> UseOutcome.REFUSED
    is AttemptFailure.Lost -> UseOutcome.FAILED
    is AttemptFailure.Failed -> UseOutcome.FAILED_BY_STATUS
}

/** Returns what is added to [job] when it is sent to [target]. */
internal fun dispatchOf(
    job: RelayJob,
    target: KnownTarget,
    copyAt: KnownTarget?,
    resume: ResumePoint?,
    nowMs: Long,
): Dispatch = Dispatch(
    target = target.id,
    remainingTimeMs = (job.deadlineAtMs - nowMs - RESPONSE_TRANSFER_MS).coerceAtLeast(1),
    account = job.account,
    priority = if (job.service.engine == null) null else priorityOf(job.rank),
    copyAt = copyAt?.record?.address,
    resume = resume,
    allowsCallerResume = job.route.isResumable,
)
