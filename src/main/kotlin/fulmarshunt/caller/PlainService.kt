/*
 * Runs calls of plain services. A call that failed before any byte of its response arrived is sent again if its method
 * is idempotent, and otherwise only if no byte of it was sent. Calls that must run at most once are claimed first; see
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
import kotlinx.coroutines.Job

/** Sends a claim call to the voters; returns null if they did not reply. */
public typealias SendClaimCall = suspend (ClaimCall) -> ClaimReply?

/** The collaborators of [plainService]. */
public class PlainServiceDependencies(
    public val vm: VmId,
    public val clock: Clock,
    public val state: () -> SharedState,
    public val gate: CallerGate,
    public val admissions: Admissions,
    public val send: SendPlainCall,
    public val claims: SendClaimCall,
    /** Outlives requests; a claimed call is completed and recorded there even if its caller disconnects. */
    public val traffic: CoroutineScope,
    public val meters: CallerMeters = CallerMeters(),
    /** Completes when requests without a complete response are given up. */
    public val givenUp: Job = Job(),
    public val maxQueueWaitMs: Long = MAX_QUEUE_WAIT_MS,
)

/** Sends an event to the caller. */
internal typealias EmitPlainEvent = suspend (PlainEvent) -> Unit

private val problemEvents =
    ProblemEvents<PlainEvent>(::PlainFailed, ProblemKind.OUTCOME_UNKNOWN) { (it as? PlainFailed)?.problem }

/** Returns a service that runs plain calls. */
public fun plainService(dependencies: PlainServiceDependencies): ServePlain = { request ->
    val common = dependencies.run { ResponseDependencies(gate, givenUp, meters) }
    responseFlow(request.account, common, problemEvents) { response ->
        dependencies.serve(request, response)
    }
}

private suspend fun PlainServiceDependencies.serve(
    request: PlainRequest,
    response: OpenResponse<PlainEvent>,
): PlainEvent {
    gate.check(request.service, ServiceKind.PLAIN, request.fingerprint)?.let { return PlainFailed(it) }
    if (state().configuration.services[request.service].isNonRepeatable(request)) {
        return ClaimedCall(this, request, response).run()
    }
    val placements = PlacementSearch(this, request, response)
    while (true) {
        val grant = placements.next().fold({ return PlainFailed(it) }, { it })
        val outcome = runAt(grant, request, forwardTo(response.emit))
        if (outcome is PlainOutcome.Completed) return PlainCompleted.also { gate.reportSuccess(request.account) }
        val isRepeatable = outcome is PlainOutcome.Refused || request.isIdempotent
        val hasStarted = outcome is PlainOutcome.Broken && outcome.hasResponseStarted
        placements.recordFailure(grant, outcome.toProblem())
        if (!isRepeatable || hasStarted) return PlainFailed(outcome.toProblem())
    }
}

/** Runs a call at a granted target and reports its outcome. */
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

/** Finds placements for the attempts of one call until attempts or retries are used up. */
internal class PlacementSearch(
    private val dependencies: PlainServiceDependencies,
    private val request: PlainRequest,
    private val response: OpenResponse<PlainEvent>,
) {
    private val placements =
        PlacementRequests(
            request.toAdmissionRequest(dependencies),
            dependencies.admissions,
            dependencies.clock,
            dependencies.meters,
        )
    private var problem: RequestProblem? = null
    private var attempts = 0

    /** Returns a checked grant that may be used immediately, or why there is none. */
    suspend fun next(): Either<RequestProblem, PlacedGrant> {
        if (attempts >= MAX_ATTEMPTS) return checkNotNull(problem).left()
        if (attempts > 0 && !dependencies.gate.takeRetry(request.account)) {
            return checkNotNull(problem).left()
        }
        repeat(MAX_UNUSED_GRANTS) {
            val grant = placements.next().fold({ return (problem ?: it.toProblem()).left() }, { it })
            val reason = dependencies.admissions.use(grant)
            if (reason == null) {
                attempts++
                response.mayHaveRun = true
                dependencies.meters.attempt()
                return grant.right()
            }
            problem = problem ?: unavailable(reason)
        }
        return checkNotNull(problem).left()
    }

    /** Records that the attempt with [grant] failed with [failure]; an unknown outcome is not replaced. */
    fun recordFailure(grant: PlacedGrant, failure: RequestProblem) {
        placements.exclude(grant, isLost = failure.ran == RunState.UNKNOWN)
        if (problem?.ran != RunState.UNKNOWN) problem = failure
    }
}

private fun PlainRequest.toAdmissionRequest(dependencies: PlainServiceDependencies): AdmissionRequest =
    AdmissionRequest(
        ticket = TicketId(id.value),
        vm = dependencies.vm,
        account = account,
        service = service,
        promptTokens = 1,
        maxOutputTokens = 1,
        fingerprint = fingerprint,
        maxWaitMs = dependencies.maxQueueWaitMs,
    )

private fun forwardTo(emit: EmitPlainEvent): PlainResponseReceiver =
    PlainResponseReceiver(onHead = { emit(PlainStarted(it)) }, onBytes = { emit(PlainBytes(it)) })

internal fun PlainOutcome.toProblem(): RequestProblem = when (this) {
    is PlainOutcome.Refused -> unavailable(reason)
    is PlainOutcome.Broken -> RequestProblem(ProblemKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, reason)
    is PlainOutcome.Completed -> error("a completed call has no problem")
}
