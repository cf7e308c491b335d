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
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.ServiceKind
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseReceiver
import fulmarshunt.target.SendPlainCall
import kotlinx.coroutines.CoroutineScope

/** Asks the voters about a claim; null if they did not answer. */
public typealias AskClaims = suspend (ClaimCall) -> ClaimReply?

/** The collaborators of [plainService]. */
public class PlainServiceDependencies(
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

private val problemEvents = ProblemEvents<PlainEvent>(::PlainFailed) { (it as? PlainFailed)?.problem }

/** Returns a service that answers plain calls. */
public fun plainService(parts: PlainServiceDependencies): ServePlain = { request ->
    answerFlow(request.account, parts.gate, parts.meters, problemEvents) { emit -> parts.serve(request, emit) }
}

private suspend fun PlainServiceDependencies.serve(request: PlainRequest, emit: EmitPlain): PlainEvent {
    gate.check(request.service, ServiceKind.PLAIN, request.fingerprint)?.let { return PlainFailed(it) }
    if (state().configuration.services[request.service].isNonRepeatable(request)) {
        return ClaimedCall(this, request, emit).run()
    }
    val places = PlaceSearch(this, request)
    while (true) {
        val grant = places.next().fold({ return PlainFailed(it) }, { it })
        val end = runAt(grant, request, passOn(emit))
        if (end is PlainOutcome.Completed) return PlainCompleted.also { gate.reportSuccess(request.account) }
        val isRepeatable = end is PlainOutcome.Refused || request.isIdempotent
        val hasStarted = end is PlainOutcome.Broken && end.hasResponseStarted
        places.failed(grant, end.toProblem())
        if (!isRepeatable || hasStarted) return PlainFailed(end.toProblem())
    }
}

/** Runs a call at a granted target and reports its end. */
internal suspend fun PlainServiceDependencies.runAt(
    grant: PlacedGrant,
    request: PlainRequest,
    receiver: PlainResponseReceiver,
): PlainOutcome {
    var outcome = TicketOutcome.CANCELLED
    try {
        val end = send(grant.granted.address, request.call, receiver)
        outcome =
            when (end) {
                is PlainOutcome.Completed -> TicketOutcome.FINISHED
                is PlainOutcome.Refused -> TicketOutcome.REFUSED
                is PlainOutcome.Broken -> TicketOutcome.LOST
            }
        return end
    } finally {
        admissions.end(grant, 0, outcome)
    }
}

/** Finds places for the attempts of one call and stops when attempts or retries are used up. */
internal class PlaceSearch(private val parts: PlainServiceDependencies, private val request: PlainRequest) {
    private val places = PlaceRequests(request.toAdmissionRequest(parts), parts.admissions, parts.clock, parts.meters)
    private var problem: RequestProblem? = null
    private var attempts = 0

    /** Returns a grant that was checked and may be used at once, or why there is none. */
    suspend fun next(): Either<RequestProblem, PlacedGrant> {
        if (attempts >= MAX_ATTEMPTS) return checkNotNull(problem).left()
        if (attempts > 0 && !parts.gate.takeRetry(request.account)) {
            return checkNotNull(problem).left()
        }
        repeat(MAX_UNUSED_GRANTS) {
            val grant = places.next().fold({ return (problem ?: it.toProblem()).left() }, { it })
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
        places.exclude(grant, isLost = why.ran == RunState.UNKNOWN)
        if (problem?.ran != RunState.UNKNOWN) problem = why
    }
}

private fun PlainRequest.toAdmissionRequest(parts: PlainServiceDependencies): AdmissionRequest = AdmissionRequest(
    ticket = TicketId(id.value),
    vm = parts.vm,
    account = account,
    service = service,
    promptTokens = 1,
    maxOutputTokens = 1,
    fingerprint = fingerprint,
    maxWaitMs = parts.maxQueueWaitMs,
)

private fun passOn(emit: EmitPlain): PlainResponseReceiver =
    PlainResponseReceiver(onHead = { emit(PlainStarted(it)) }, onBytes = { emit(PlainBytes(it)) })

internal fun PlainOutcome.toProblem(): RequestProblem = when (this) {
    is PlainOutcome.Refused -> unavailable(reason)
    is PlainOutcome.Broken -> RequestProblem(ProblemKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, reason)
    is PlainOutcome.Completed -> error("an answered call has no problem")
}
