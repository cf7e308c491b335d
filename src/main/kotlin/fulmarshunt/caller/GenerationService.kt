/*
 * Runs a request for generated text: asks for a place at a target, starts the generation there and relays its tokens in
 * order, each once. A stream that breaks is resumed at the next offset; an attempt that certainly produced nothing for
 * the caller is replaced by another one. When the caller leaves, the generation is cancelled at the engine.
 */
package fulmarshunt.caller

import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.AdmissionReply
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.Granted
import fulmarshunt.entry.Noted
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.target.EngineClient
import fulmarshunt.target.EngineGeneration
import fulmarshunt.target.EngineToken
import fulmarshunt.target.StreamEnd
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import net.openhft.hashing.LongHashFunction

/** Asks for a place at a target and waits for the answer. */
public typealias RequestAdmission = suspend (AdmissionRequest) -> AdmissionReply

/** Reports the end of an admitted attempt with the number of tokens that arrived. */
public typealias ReportEnd = suspend (AdmissionRequest, Granted, Int, TicketOutcome) -> Unit

/** The collaborators of [generationService]. */
public class GenerationParts(
    public val vm: VmId,
    public val admit: RequestAdmission,
    public val reportEnd: ReportEnd,
    public val engine: EngineClient,
)

/** The number of times that a broken stream is resumed without a new token before its engine counts as dead. */
internal const val MAX_FRUITLESS_RESUMES: Int = 3

private const val MAX_ATTEMPTS = 3
private const val MAX_WAIT_MS = 10_000L
private const val DEFAULT_MAX_TOKENS = 4_096
private const val CHARS_PER_TOKEN = 4
private const val DEFAULT_RETRY_AFTER_MS = 1_000L

/** Returns a service that answers requests for generated text. */
public fun generationService(parts: GenerationParts): Generate = { request -> generate(parts, request) }

private fun generate(parts: GenerationParts, request: GenerationRequest): Flow<GenerationEvent> = flow {
    val relay = Relay(this)
    var failure: RequestProblem? = null
    for (attempt in 1..MAX_ATTEMPTS) {
        val admission = request.toAdmissionRequest(parts.vm, attempt)
        val granted =
            when (val reply = parts.admit(admission)) {
                is Granted -> reply
                is Rejected -> return@flow emit(GenerationFailed(reply.toProblem()))
                is Noted -> error("a request for admission was answered like a report")
            }
        val end = parts.runAttempt(request, admission, granted, relay)
        if (end is StreamEnd.Finished) {
            return@flow emit(GenerationCompleted(end.reason, admission.promptTokens, end.tokens))
        }
        failure = end.toProblem(relay.next)
        if (relay.next > 0) break
    }
    emit(GenerationFailed(checkNotNull(failure)))
}

/** Passes on each token once and in order; a token that was passed on before is dropped. */
private class Relay(private val collector: FlowCollector<GenerationEvent>) {
    /** The offset of the next token that the caller needs. */
    var next = 0
        private set

    suspend fun accept(token: EngineToken) {
        check(token.offset <= next) { "the engine skipped from offset $next to ${token.offset}" }
        if (token.offset < next) return
        next++
        collector.emit(GeneratedToken(token.offset, token.text))
    }
}

private suspend fun GenerationParts.runAttempt(
    request: GenerationRequest,
    admission: AdmissionRequest,
    granted: Granted,
    relay: Relay,
): StreamEnd {
    var outcome = TicketOutcome.CANCELLED
    try {
        val end = streamWithResumes(request, admission, granted, relay)
        outcome =
            when (end) {
                is StreamEnd.Finished -> TicketOutcome.FINISHED
                is StreamEnd.Refused -> TicketOutcome.REFUSED
                is StreamEnd.Broken, is StreamEnd.Gone -> TicketOutcome.LOST
            }
        return end
    } finally {
        // The caller's coroutine may be cancelled already; the engine and the owner of the pool must still hear of it.
        withContext(NonCancellable) {
            if (outcome == TicketOutcome.CANCELLED || outcome == TicketOutcome.LOST) {
                engine.cancel(granted.address, admission.ticket)
            }
            reportEnd(admission, granted, relay.next, outcome)
        }
    }
}

private suspend fun GenerationParts.streamWithResumes(
    request: GenerationRequest,
    admission: AdmissionRequest,
    granted: Granted,
    relay: Relay,
): StreamEnd {
    var end = engine.start(granted.address, request.toEngineGeneration(admission, granted, vm), relay::accept)
    var fruitless = 0
    while (end is StreamEnd.Broken && fruitless < MAX_FRUITLESS_RESUMES) {
        val before = relay.next
        end = resumeOnce(granted.address, admission.ticket, relay)
        if (relay.next > before) fruitless = 0 else fruitless++
    }
    return end
}

private suspend fun GenerationParts.resumeOnce(address: Address, ticket: TicketId, relay: Relay): StreamEnd =
    when (val end = engine.resume(address, ticket, relay.next, relay::accept)) {
        // A closed port on a resume says that the engine is gone, not that the request did not run.
        is StreamEnd.Refused -> StreamEnd.Gone
        else -> end
    }

private fun GenerationRequest.toAdmissionRequest(vm: VmId, attempt: Int): AdmissionRequest {
    val text = messages.joinToString("\n") { "${it.role}:${it.content}" }
    return AdmissionRequest(
        ticket = TicketId("${id.value}.$attempt"),
        vm = vm,
        account = account,
        service = service,
        promptTokens = text.length / CHARS_PER_TOKEN + 1,
        maxOutputTokens = maxOutputTokens ?: DEFAULT_MAX_TOKENS,
        fingerprint = Fingerprint(LongHashFunction.xx3().hashChars("$service\n$text").toULong().toString(HEX)),
        maxWaitMs = MAX_WAIT_MS,
    )
}

private const val HEX = 16

private fun GenerationRequest.toEngineGeneration(
    admission: AdmissionRequest,
    granted: Granted,
    vm: VmId,
): EngineGeneration = EngineGeneration(
    ticket = admission.ticket,
    service = service,
    messages = messages,
    maxTokens = granted.maxOutputTokens,
    priority = granted.priority,
    fence = granted.fence,
    entryVm = vm,
)

private fun Rejected.toProblem(): RequestProblem =
    RequestProblem(ProblemKind.OVERLOADED, RunState.NOT_RUN, "no place at a target (${reason.name})", retryAfterMs)

private fun StreamEnd.toProblem(relayedTokens: Int): RequestProblem = when (this) {
    is StreamEnd.Refused ->
        RequestProblem(ProblemKind.UNAVAILABLE, RunState.NOT_RUN, reason, DEFAULT_RETRY_AFTER_MS)
    is StreamEnd.Broken ->
        RequestProblem(ProblemKind.GENERATION_LOST, RunState.UNKNOWN, "after $relayedTokens tokens: $reason")
    is StreamEnd.Gone ->
        RequestProblem(
            ProblemKind.GENERATION_LOST,
            RunState.UNKNOWN,
            "after $relayedTokens tokens the target was gone",
        )
    is StreamEnd.Finished -> error("a finished generation has no problem")
}
