/*
 * Runs calls of plain services. A call that failed before any byte of its answer is sent again if its method is
 * idempotent, and otherwise only if no byte of it was sent. Calls that must run at most once are claimed first; see
 * `ClaimedCall.kt`.
 */
package fulmarshunt.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.LostAttempt
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.ServiceKind
import fulmarshunt.target.PlainEnd
import fulmarshunt.target.PlainReceiver
import fulmarshunt.target.SendPlainCall
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.channelFlow

/** Asks the voters about a claim; null if they did not answer. */
public typealias AskClaims = suspend (ClaimCall) -> ClaimReply?

/** The collaborators of [plainService]. */
public class PlainParts(
    public val vm: VmId,
    public val clock: Clock,
    public val state: () -> SharedState,
    public val gate: CallerGate,
    public val admissions: Admissions,
    public val send: SendPlainCall,
    public val claims: AskClaims,
    /** Outlives requests; a claimed call is completed and recorded there even if its caller leaves. */
    public val traffic: CoroutineScope,
    public val meters: CallerMeters = CallerMeters(),
    public val maxQueueWaitMs: Long = MAX_QUEUE_WAIT_MS,
)

/** Passes events to the caller. */
internal typealias EmitPlain = suspend (PlainEvent) -> Unit

/** Returns a service that answers plain calls. */
public fun plainService(parts: PlainParts): ServePlain = { request ->
    channelFlow {
        var outcome = "cancelled"
        try {
            val last = parts.serve(request, ::send)
            outcome = if (last is PlainFailed) last.problem.kind.slug else "finished"
            send(last)
        } finally {
            parts.meters.request(outcome)
        }
    }
}

private suspend fun PlainParts.serve(request: PlainRequest, emit: EmitPlain): PlainEvent {
    gate.enter(request.account)?.let { return PlainFailed(it) }
    try {
        gate.check(request.service, ServiceKind.PLAIN, request.fingerprint())?.let { return PlainFailed(it) }
        if (state().configuration.services[request.service].isNonRepeatable(request)) {
            return ClaimedCall(this, request, emit).run()
        }
        val places = PlaceSearch(this, request)
        while (true) {
            val grant = places.next().fold({ return PlainFailed(it) }, { it })
            val end = runAt(grant, request, passOn(emit))
            if (end is PlainEnd.Answered) return PlainCompleted.also { gate.reportSuccess(request.account) }
            val isRepeatable = end is PlainEnd.Refused || request.isIdempotent
            val hasStarted = end is PlainEnd.Broken && end.hasAnswerStarted
            places.failed(grant, end.toProblem())
            if (!isRepeatable || hasStarted) return PlainFailed(end.toProblem())
        }
    } finally {
        gate.leave(request.account)
    }
}

/** Runs a call at a granted target and reports its end. */
internal suspend fun PlainParts.runAt(grant: PlacedGrant, request: PlainRequest, receiver: PlainReceiver): PlainEnd {
    var outcome = TicketOutcome.CANCELLED
    try {
        val end = send(grant.granted.address, request.call, receiver)
        outcome =
            when (end) {
                is PlainEnd.Answered -> TicketOutcome.FINISHED
                is PlainEnd.Refused -> TicketOutcome.REFUSED
                is PlainEnd.Broken -> TicketOutcome.LOST
            }
        return end
    } finally {
        admissions.end(grant, 0, outcome)
    }
}

/** Finds places for the attempts of one call and stops when attempts or retries are used up. */
internal class PlaceSearch(private val parts: PlainParts, private val request: PlainRequest) {
    private val excluded = mutableListOf<TargetId>()
    private val lost = mutableListOf<LostAttempt>()
    private var problem: RequestProblem? = null
    private var queuedMs = 0L
    private var asked = 0
    private var attempts = 0

    /** Returns a grant that was checked and may be used at once, or why there is none. */
    suspend fun next(): Either<RequestProblem, PlacedGrant> {
        if (attempts >= MAX_ATTEMPTS) return checkNotNull(problem).left()
        if (attempts > 0 && !parts.gate.takeRetry(request.account)) {
            return checkNotNull(problem).left()
        }
        repeat(MAX_UNUSED_GRANTS) {
            val startMs = parts.clock.nowMs()
            val reply = parts.admissions.admit(admission())
            queuedMs += parts.clock.nowMs() - startMs
            val grant = reply.fold({ return (problem ?: it.toProblem()).left() }, { it })
            parts.meters.queuedMs(queuedMs)
            val obstacle = parts.admissions.use(grant)
            if (obstacle == null) {
                attempts++
                parts.meters.attempt()
                return grant.right()
            }
            problem = problem ?: unavailable(obstacle)
        }
        return checkNotNull(problem).left()
    }

    /** Notes that the attempt with [grant] failed; an unknown outcome is kept. */
    fun failed(grant: PlacedGrant, why: RequestProblem) {
        excluded += grant.granted.target
        if (why.ran == RunState.UNKNOWN) lost += grant.toLostAttempt()
        if (problem?.ran != RunState.UNKNOWN) problem = why
    }

    private fun admission(): AdmissionRequest = AdmissionRequest(
        ticket = TicketId("${request.id}.${++asked}"),
        vm = parts.vm,
        account = request.account,
        service = request.service,
        promptTokens = 1,
        maxOutputTokens = 1,
        fingerprint = request.fingerprint(),
        waitedMs = queuedMs,
        maxWaitMs = parts.maxQueueWaitMs,
        excluded = excluded.toList(),
        lost = lost.toList(),
    )
}

private fun passOn(emit: EmitPlain): PlainReceiver =
    PlainReceiver(onHead = { emit(PlainStarted(it)) }, onBytes = { emit(PlainBytes(it)) })

internal fun PlainEnd.toProblem(): RequestProblem = when (this) {
    is PlainEnd.Refused -> unavailable(reason)
    is PlainEnd.Broken -> RequestProblem(ProblemKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, reason)
    is PlainEnd.Answered -> error("an answered call has no problem")
}
