/*
 * Runs a request for generated text: requests a placement at a target, runs an attempt there and relays its tokens in
 * order, each once. An attempt of which the caller has received nothing is replaced by another one within the retry
 * budget. Responses that are not streamed are buffered until they are complete, so that they can be replaced at any
 * time.
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
import fulmarshunt.entry.RejectReason
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.ServiceKind
import fulmarshunt.target.EngineClient
import fulmarshunt.target.StreamEnd
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import net.openhft.hashing.LongHashFunction

/** The time that a request may spend in queues, summed over all its attempts. */
public const val MAX_QUEUE_WAIT_MS: Long = 30_000

/** Each attempt runs at a different target; a third failure suggests that the cause is the request or a wider fault. */
internal const val MAX_ATTEMPTS: Int = 3

/** Grants that have become unusable have run nothing and are replaced up to this number. */
internal const val MAX_UNUSED_GRANTS: Int = 5

private const val DEFAULT_MAX_TOKENS = 4_096
private const val CHARS_PER_TOKEN = 4
private const val RETRY_AFTER_MS = 1_000L

/** Engines cache prompts in blocks of about 16 tokens; longer steps keep the number of hashes small. */
private const val PREFIX_STEP_CHARS = 256
private const val MAX_PREFIX_HASHES = 64

/** The collaborators of [generationService]. */
public class GenerationDependencies(
    public val vm: VmId,
    public val clock: Clock,
    public val state: () -> SharedState,
    public val gate: CallerGate,
    public val admissions: Admissions,
    public val engine: EngineClient,
    /** Outlives requests; cancels generations whose caller has disconnected. */
    public val traffic: CoroutineScope,
    public val meters: CallerMeters = CallerMeters(),
    /** Completes when requests without a complete response are given up. */
    public val givenUp: Job = Job(),
    public val maxQueueWaitMs: Long = MAX_QUEUE_WAIT_MS,
)

private val problemEvents =
    ProblemEvents<GenerationEvent>(::GenerationFailed, ProblemKind.GENERATION_LOST) {
        (it as? GenerationFailed)?.problem
    }

/** Returns a service that runs requests for generated text. */
public fun generationService(dependencies: GenerationDependencies): Generate = { request ->
    val common = dependencies.run { ResponseDependencies(gate, givenUp, meters) }
    responseFlow(request.account, common, problemEvents) { response ->
        GenerationRun(dependencies, request, response).run()
    }
}

/** Runs one request through its attempts. */
private class GenerationRun(
    private val dependencies: GenerationDependencies,
    private val request: GenerationRequest,
    private val response: OpenResponse<GenerationEvent>,
) {
    private val admission = request.toAdmissionRequest(dependencies)
    private val placements =
        PlacementRequests(admission, dependencies.admissions, dependencies.clock, dependencies.meters)

    suspend fun run(): GenerationEvent {
        var problem: RequestProblem? = null
        var attempts = 0
        var unused = 0
        while (attempts < MAX_ATTEMPTS && unused < MAX_UNUSED_GRANTS) {
            val grant = place(isRetry = attempts > 0).fold({ return GenerationFailed(problem ?: it) }, { it })
            val reason = dependencies.admissions.use(grant)
            if (reason != null) {
                unused++
                problem = problem ?: unavailable(reason)
                continue
            }
            attempts++
            response.mayHaveRun = true
            dependencies.meters.attempt()
            val relay = TokenRelay(request.isStreamed, response.emit)
            val end = GenerationAttempt(dependencies, request, grant, relay).run()
            if (end is StreamEnd.Finished) {
                dependencies.gate.reportSuccess(request.account)
                relay.flush()
                return GenerationCompleted(end.reason, admission.promptTokens, end.tokens)
            }
            problem = moreSevere(problem, end.toProblem(relay.nextOffset))
            placements.exclude(grant, isLost = end !is StreamEnd.Refused)
            if (relay.hasRelayed) break
        }
        return GenerationFailed(checkNotNull(problem))
    }

    /** Waits for a placement and checks the quarantine before and after the wait. */
    private suspend fun place(isRetry: Boolean): Either<RequestProblem, PlacedGrant> {
        quarantineOrNull()?.let { return it.left() }
        if (isRetry && !dependencies.gate.takeRetry(request.account)) return unavailable("no retry remains").left()
        val grant = placements.next().fold({ return it.toProblem().left() }, { it })
        val quarantine = quarantineOrNull() ?: return grant.right()
        dependencies.admissions.end(grant, 0, TicketOutcome.UNUSED)
        return quarantine.left()
    }

    private fun quarantineOrNull(): RequestProblem? =
        dependencies.gate.check(request.service, ServiceKind.MODEL, admission.fingerprint)
}

/** Returns [later], unless only [earlier] says that the request may have run, which stays true. */
private fun moreSevere(earlier: RequestProblem?, later: RequestProblem): RequestProblem =
    if (earlier?.ran == RunState.UNKNOWN && later.ran == RunState.NOT_RUN) earlier else later

private fun GenerationRequest.toAdmissionRequest(dependencies: GenerationDependencies): AdmissionRequest {
    val text = messages.joinToString("\n") { "${it.role}:${it.content}" }
    val service = dependencies.state().configuration.services[service]
    return AdmissionRequest(
        ticket = TicketId(id.value),
        vm = dependencies.vm,
        account = account,
        service = this.service,
        promptTokens = text.length / CHARS_PER_TOKEN + 1,
        maxOutputTokens = maxOutputTokens ?: service?.defaultMaxTokens ?: DEFAULT_MAX_TOKENS,
        prefixHashes = prefixHashes(text),
        fingerprint = fingerprint(),
        maxWaitMs = dependencies.maxQueueWaitMs,
    )
}

/** Returns the hashes of the prefixes of [text] in steps of [PREFIX_STEP_CHARS], shortest first. */
internal fun prefixHashes(text: String): List<Long> {
    val steps = (text.length / PREFIX_STEP_CHARS).coerceAtMost(MAX_PREFIX_HASHES)
    return (1..steps).map { LongHashFunction.xx3().hashChars(text, 0, it * PREFIX_STEP_CHARS) }
}

internal fun Rejected.toProblem(): RequestProblem {
    val kind = if (reason == RejectReason.OVERLOADED) ProblemKind.OVERLOADED else ProblemKind.UNAVAILABLE
    return RequestProblem(kind, RunState.NOT_RUN, "no placement at a target (${reason.name})", retryAfterMs)
}

internal fun unavailable(reason: String): RequestProblem =
    RequestProblem(ProblemKind.UNAVAILABLE, RunState.NOT_RUN, reason, RETRY_AFTER_MS)

private fun StreamEnd.toProblem(relayedTokens: Int): RequestProblem = when (this) {
    is StreamEnd.Refused -> unavailable(reason)
    is StreamEnd.Broken ->
        RequestProblem(ProblemKind.GENERATION_LOST, RunState.UNKNOWN, "after $relayedTokens tokens: $reason")
    is StreamEnd.NotFound ->
        RequestProblem(
            ProblemKind.GENERATION_LOST,
            RunState.UNKNOWN,
            "after $relayedTokens tokens the target did not know the generation",
        )
    is StreamEnd.Gone ->
        RequestProblem(
            ProblemKind.GENERATION_LOST,
            RunState.UNKNOWN,
            "after $relayedTokens tokens the target was gone",
        )
    is StreamEnd.Finished -> error("a finished generation has no problem")
}
