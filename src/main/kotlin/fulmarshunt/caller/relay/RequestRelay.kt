/*
 * The life of one request: it is routed and admitted, gets a place at a target, is sent there, and its answer is passed
 * on; or its caller is told at once what happened instead.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.caller.fingerprintOf
import fulmarshunt.operator.serving.AccountKeys
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.operator.serving.serviceFor
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.TargetConnections
import fulmarshunt.target.fleet.UseOutcome
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How a request ended for its caller. */
internal sealed interface RelayOutcome {
    data class Own(val answer: LocalResponse) : RelayOutcome

    /** An answer of a target was passed on whole. */
    data class Relayed(val keepsOpen: Boolean) : RelayOutcome

    /** An answer broke off; the caller sees that by the end of its connection. */
    data object Broken : RelayOutcome
}

/** The parts of an entry VM that exchanges use. */
internal class RelayDependencies(
    val views: StateFlow<FleetView>,
    val fleet: Fleet,
    val control: ControlThread,
    val connections: TargetConnections,
    val adapter: ProtocolAdapter,
    val meters: RelayMeters,
    val clock: Clock,
    /** Uniform in 0 until 1. */
    val draw: () -> Double,
    /** Outlives requests; finds out whether a target has died. */
    val background: CoroutineScope,
)

/** Time that is left for the answer of a target to travel. */
private const val TRAVEL_MS = 10L

/** Failed statuses that an idempotent request is sent to another target for. */
private val SERVER_FAILURES = 500..599

/** Runs exchanges. Confined to the traffic thread. */
internal class RequestRelay(private val parts: RelayDependencies) {
    private val log = LogManager.getLogger(RequestRelay::class.java)
    private val calls = TargetCalls(parts.connections, parts.adapter)
    private val outputs = OutputEstimates()
    private val patience = PatienceHistory()

    suspend fun run(request: CallerRequest): RelayOutcome {
        request.body.readBeginning()
        if (request.body.isComplete) request.connection.watchForEnd()
        bodyProblemOrNull(request)?.let { return it.also { end -> logUnrouted(request, end) } }
        awaitConfiguration(request)
        val job = admit(request).getOrElse { answer ->
            return RelayOutcome.Own(answer).also { logUnrouted(request, it) }
        }
        val places = JobPlaces(parts.fleet, parts.control)
        parts.control.scope.launch { parts.fleet.recordRequest(job.service.id) }
        var end: RelayOutcome? = null
        try {
            end = withTimeoutOrNull(job.deadlineAtMs - parts.clock.nowMs()) { serve(job, places) } ?: timedOut(job)
            return end
        } finally {
            places.endAll()
            logEnd(job, end)
        }
    }

    /** A process that has just started gets its configuration within a moment, which is sooner than a return. */
    private suspend fun awaitConfiguration(request: CallerRequest) {
        if (parts.views.value.table != null) return
        val limitMs = ((request.facts.callerTimeoutMs ?: 0) * CONFIGURATION_WAIT_PART).toLong()
        withTimeoutOrNull(limitMs.coerceAtMost(MAX_CONFIGURATION_WAIT_MS)) { parts.views.first { it.table != null } }
    }

    private fun admit(request: CallerRequest): Either<LocalResponse, RelayJob> {
        val table = parts.views.value.table
            ?: return notRun("no configuration has arrived yet", NO_CONFIGURATION_MS).left()
        val host = request.head.headers().get(HttpHeaderNames.HOST).substringBefore(':')
        val route = table.routeOrNull(host, request.path)
            ?: return LocalResponse(HttpResponseStatus.NOT_FOUND, "no route leads there").left()
        val account = accountOf(table, route, request.facts.apiKey)
            .getOrElse { return it.left() }
        val id = request.facts.id ?: return LocalResponse(HttpResponseStatus.BAD_REQUEST, "the request has no id").left()
        val service = table.serviceOrNull(route.serviceFor(parts.draw()))
            ?: return notRun("the service of the route is not defined").left()
        val callerTimeoutMs = minOf(request.facts.callerTimeoutMs ?: route.timeoutMs, route.timeoutMs)
        val job = RelayJob(
            request,
            id,
            route,
            service,
            account?.account,
            account?.rank ?: route.rank,
            fingerprintOrNull(request, account, service),
            request.arrivedAtMs + callerTimeoutMs,
            request.arrivedAtMs + route.objectiveMs - patience.elapsedBeforeMs(route, request.facts.callerTimeoutMs),
            request.facts.generation?.let { outputs.expectedTokens(route.name, it) } ?: 0,
        )
        if (job.fingerprint in parts.views.value.refused) {
            log.warn("request refused id={} fingerprint={} reason=it crashed several targets", id, job.fingerprint)
            return notRun("the request has crashed several targets").left()
        }
        return job.right()
    }

    private fun accountOf(table: RoutingTable, route: Route, apiKey: String?): Either<LocalResponse, AccountKeys?> {
        val account = apiKey?.let { table.accountOrNull(it) }
        if (account != null || route.isPublic || !table.hasAccounts) return account.right()
        return LocalResponse(HttpResponseStatus.UNAUTHORIZED, "the key is not known").left()
    }

    private fun fingerprintOrNull(request: CallerRequest, account: AccountKeys?, service: ServiceProfile) =
        if (service.engine == null || !request.body.isRepeatable) {
            null
        } else {
            fingerprintOf(
                request.head.method().name().encodeToByteArray(),
                request.head.uri().encodeToByteArray(),
                account?.account?.value.orEmpty().encodeToByteArray(),
                request.body.beginning,
            )
        }

    private suspend fun serve(job: RelayJob, places: JobPlaces): RelayOutcome {
        while (true) {
            val askedAtMs = parts.clock.nowMs()
            val result = places.place(job.ask(), waitLimitMs(job))
            job.waitedMs += parts.clock.nowMs() - askedAtMs
            val placement = when (result) {
                is PlacementResult.Placed -> result.placement
                is PlacementResult.Full -> return notServed(job, "no target has room", result)
                PlacementResult.NoTarget -> return notServed(job, "no target is known", null)
            }
            parts.meters.placed(job.service.id.value, parts.clock.nowMs() - askedAtMs)
            job.trace.append(" ${placement.target.id}")
            job.tried += placement.target.id
            val failure = attempt(job, places, placement).fold({ it }, { return it })
            parts.meters.attemptFailed(failure::class.simpleName.orEmpty(), job.service.id.value)
            log.info("attempt failed request={} target={} failure={}", job.id, placement.target.id, failure)
            note(job, failure)
            // The rest of a long body is read while the target has the request.
            bodyProblemOrNull(job.request)?.let { return it }
            val route = job.route
            val canSendAgain = job.request.body.isRepeatable
            val step = nextStep(failure, route.repeatability, job.soFar, job.unsent, route.maxTargets) {
                // For a failure that a target answered, the repeat was taken before its answer was dropped.
                canSendAgain && (failure is AttemptFailure.Failed || places.tryRepeat(job))
            }
            if (step == NextStep.TRY_ANOTHER && canSendAgain) continue
            val problem = if (job.soFar.runs > 0) "the target failed" else "no target took the request"
            return notServed(job, "$problem: $failure", null)
        }
    }

    /** Sends the request to one target; returns the failure if nothing was passed on to the caller. */
    private suspend fun attempt(
        job: RelayJob,
        places: JobPlaces,
        placement: Placement,
    ): Either<AttemptFailure, RelayOutcome> = coroutineScope {
        val copy = if (wantsCopy(job)) places.placeCopy(placement) else null
        val nowMs = parts.clock.nowMs()
        val dispatch = dispatchOf(job, placement.target, copy?.target, null, nowMs)
        val opened = calls.open(job, placement.target, dispatch, this)
        opened.fold(
            { failure ->
                copy?.let { places.end(it, UseOutcome.ABANDONED) }
                places.end(placement, useEndOf(failure))
                if (failure is AttemptFailure.Lost) suspectIfDead(job, placement.target)
                failure.left()
            },
            { answer ->
                var isFinished = false
                try {
                    val end = relay(job, places, Run(answer, placement, copy))
                    isFinished = true
                    end
                } finally {
                    // The caller has left or its time is up: the target must not work on.
                    if (!isFinished) answer.abandon()
                }
            },
        )
    }

    private suspend fun relay(job: RelayJob, places: JobPlaces, run: Run): Either<AttemptFailure, RelayOutcome> {
        val status = run.answer.response.status().code()
        if (status in SERVER_FAILURES && mayRepeat(job, places)) {
            run.answer.abandon()
            places.end(run.placement, UseOutcome.FAILED)
            return AttemptFailure.Failed(status).left()
        }
        val keepsOpen = HttpUtil.isKeepAlive(job.request.head)
        val head = callerHead(run.answer.response, parts.adapter, keepsOpen, job.request.isHead)
        return if (job.isStream && status == HttpResponseStatus.OK.code()) {
            relayStream(job, places, run, head, keepsOpen).right()
        } else {
            relayPlain(job, places, run, head, keepsOpen)
        }
    }

    private suspend fun relayStream(
        job: RelayJob,
        places: JobPlaces,
        run: Run,
        head: HttpResponse,
        keepsOpen: Boolean,
    ): RelayOutcome {
        val caller = job.request.connection
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        HttpUtil.setTransferEncodingChunked(head, true)
        job.hasAnswered = true
        caller.send(head)
        val streamParts = StreamParts(calls, parts.adapter, parts.views, places, parts.meters, parts.clock)
        val relay = StreamRelay(job, streamParts, caller, run)
        var isComplete = false
        try {
            isComplete = relay.passOn()
        } finally {
            if (!isComplete) relay.current.answer.abandon()
        }
        places.end(relay.current.placement, if (isComplete) UseOutcome.SUCCEEDED else UseOutcome.FAILED)
        if (isComplete) noteLength(job, relay.events)
        if (!isComplete) suspectIfDead(job, relay.current.placement.target)
        return if (isComplete) RelayOutcome.Relayed(keepsOpen) else RelayOutcome.Broken
    }

    private suspend fun relayPlain(
        job: RelayJob,
        places: JobPlaces,
        run: Run,
        head: HttpResponse,
        keepsOpen: Boolean,
    ): Either<AttemptFailure, RelayOutcome> {
        val passed = passOn(run.answer, job.request.connection, head) {
            job.hasAnswered = true
            parts.meters.firstByte(job.service.id.value, parts.clock.nowMs() - job.request.arrivedAtMs)
        }
        run.copy?.let { places.end(it, UseOutcome.ABANDONED) }
        if (passed == Passed.COMPLETE) {
            run.answer.finish()
            val isFailure = run.answer.response.status().code() in SERVER_FAILURES
            places.end(run.placement, if (isFailure) UseOutcome.FAILED else UseOutcome.SUCCEEDED)
            return RelayOutcome.Relayed(keepsOpen).right()
        }
        run.answer.abandon()
        places.end(run.placement, UseOutcome.FAILED)
        return when (passed) {
            Passed.BROKEN_BEFORE -> AttemptFailure.Lost("the answer broke off").left()
            else -> RelayOutcome.Broken.right()
        }
    }

    private fun noteLength(job: RelayJob, events: Long) {
        val facts = job.request.facts.generation ?: return
        outputs.note(job.route.name, facts, events * (job.service.engine?.tokensPerEvent ?: 1))
    }

    private suspend fun mayRepeat(job: RelayJob, places: JobPlaces): Boolean =
        job.route.repeatability == Repeatability.IDEMPOTENT &&
            job.request.body.isRepeatable &&
            job.soFar.runs + 1 < job.route.maxTargets &&
            places.tryRepeat(job)

    private fun wantsCopy(job: RelayJob): Boolean =
        job.isStream && job.service.engine?.canBackUp == true && job.expectedOutputTokens >= COPY_MIN_OUTPUT_TOKENS

    private fun note(job: RelayJob, failure: AttemptFailure) {
        val soFar = job.soFar
        when (failure) {
            is AttemptFailure.NotSent -> job.unsent += 1
            is AttemptFailure.Refused -> job.soFar = soFar.copy(arrivals = soFar.arrivals + 1)
            is AttemptFailure.Lost, is AttemptFailure.Failed ->
                job.soFar = AttemptsSoFar(soFar.runs + 1, soFar.arrivals + 1)
        }
    }

    /** A target that takes no connection right after it lost a request has probably died of it. */
    private fun suspectIfDead(job: RelayJob, target: KnownTarget) {
        val request = job.fingerprint ?: return
        parts.background.launch {
            val connection = parts.connections.open(target.record.address, mayBeStale = false)
            connection.fold(
                { reason ->
                    log.warn(
                        "target died request={} target={} fingerprint={} reason={}",
                        job.id,
                        target.id,
                        request,
                        reason,
                    )
                    parts.control.run { parts.fleet.recordCrash(CrashReport(request, target.id, target.record.startedAtMs)) }
                },
                { it.close() },
            )
        }
    }

    /** The answer when no target is left to try: "not run" only if none can have run the request. */
    private fun notServed(job: RelayJob, reason: String, full: PlacementResult.Full?): RelayOutcome = RelayOutcome.Own(
        if (job.soFar.runs > 0) {
            LocalResponse(HttpResponseStatus.BAD_GATEWAY, "$reason, and a target may have run the request")
        } else {
            notRun(reason, returnAfterMs(job, full, parts.clock.nowMs(), parts.draw()))
        },
    )

    private fun timedOut(job: RelayJob): RelayOutcome = if (job.hasAnswered) {
        RelayOutcome.Broken
    } else {
        RelayOutcome.Own(LocalResponse(HttpResponseStatus.GATEWAY_TIMEOUT, "time is up"))
    }

    private fun bodyProblemOrNull(request: CallerRequest): RelayOutcome? = when (request.body.problem) {
        null -> null
        BodyProblem.CONNECTION_ENDED -> RelayOutcome.Broken
        BodyProblem.TOO_LONG ->
            RelayOutcome.Own(
                LocalResponse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long", isLast = true),
            )
        BodyProblem.MALFORMED ->
            RelayOutcome.Own(LocalResponse(HttpResponseStatus.BAD_REQUEST, "the body cannot be read", isLast = true))
    }

    private fun logUnrouted(request: CallerRequest, end: RelayOutcome) {
        val answer = (end as? RelayOutcome.Own)?.answer
        answer?.let { parts.meters.refused(it) }
        log.info(
            "request ended id={} outcome=unrouted status={} reason={} path={} revision={}",
            request.facts.id,
            answer?.status?.code(),
            answer?.reason ?: "the caller left",
            request.path,
            parts.views.value.revision,
        )
    }

    private fun logEnd(job: RelayJob, end: RelayOutcome?) {
        val elapsedMs = parts.clock.nowMs() - job.request.arrivedAtMs
        val outcome = when (end) {
            null -> "caller-left"
            is RelayOutcome.Own -> "own"
            is RelayOutcome.Relayed -> "relayed"
            RelayOutcome.Broken -> "broken"
        }
        val answer = (end as? RelayOutcome.Own)?.answer
        parts.meters.ended(outcome, job.service.id.value, elapsedMs)
        log.info(
            "request ended id={} outcome={} status={} reason={} route={} service={} account={} targets=[{}] " +
                "runs={} waitedMs={} firstMs={} gapMs={} tookMs={} retryAfterMs={} revision={}",
            job.id, outcome, answer?.status?.code(), answer?.reason, job.route.name, job.service.id, job.account,
            job.trace.trim(), job.soFar.runs, job.waitedMs, job.firstEventAfterMs, job.longestGapMs, elapsedMs,
            answer?.retryAfterMs, parts.views.value.revision,
        )
    }

    private companion object {
        /** A caller is told to come back this soon while the first configuration is on its way. */
        const val NO_CONFIGURATION_MS = 800L

        /** The part of a caller's patience, and the time, for which its request waits for the first configuration. */
        const val CONFIGURATION_WAIT_PART = 0.4
        const val MAX_CONFIGURATION_WAIT_MS = 3_000L

        /** Shorter generations are over before a copy would help. */
        const val COPY_MIN_OUTPUT_TOKENS = 64
    }
}

private fun useEndOf(failure: AttemptFailure): UseOutcome = when (failure) {
    is AttemptFailure.NotSent -> UseOutcome.UNREACHABLE
    is AttemptFailure.Refused -> UseOutcome.REFUSED
    is AttemptFailure.Lost, is AttemptFailure.Failed -> UseOutcome.FAILED
}

/** Returns what is added to [job] for [target]. */
internal fun dispatchOf(
    job: RelayJob,
    target: KnownTarget,
    copyAt: KnownTarget?,
    resume: ResumePoint?,
    nowMs: Long,
): Dispatch = Dispatch(
    target = target.id,
    remainingTimeMs = (job.deadlineAtMs - nowMs - TRAVEL_MS).coerceAtLeast(1),
    account = job.account,
    priority = if (job.service.engine == null) null else priorityOf(job.rank),
    copyAt = copyAt?.record?.address,
    resume = resume,
    allowsCallerResume = job.route.isResumable,
)
