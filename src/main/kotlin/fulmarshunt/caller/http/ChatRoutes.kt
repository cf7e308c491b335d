/*
 * The chat/completions interface: decodes the request, collects the events of the generation and encodes them as JSON
 * or as server-sent events. The status is sent with the first event, so that the response to a request that did not run
 * is a problem and not an empty stream.
 */
package fulmarshunt.caller.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.ClientAccountId
import fulmarshunt.Clock
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.caller.Authenticate
import fulmarshunt.caller.ChatMessage
import fulmarshunt.caller.Generate
import fulmarshunt.caller.GeneratedToken
import fulmarshunt.caller.GenerationCompleted
import fulmarshunt.caller.GenerationEvent
import fulmarshunt.caller.GenerationFailed
import fulmarshunt.caller.GenerationRequest
import fulmarshunt.caller.ProblemKind
import fulmarshunt.caller.RequestProblem
import fulmarshunt.caller.RunState
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import java.util.UUID

/** The maximum size of a request body. */
internal const val MAX_BODY_BYTES: Long = 1_048_576

/** The number of events buffered for a slow caller; while the buffer is full, nothing is read from the engine. */
private const val STREAM_BUFFER_EVENTS = 64

/** A caller that accepts no data for this long is treated as disconnected, so that its slot at the target is freed. */
internal const val SLOW_CALLER_LIMIT_MS = 30_000L

private const val MS_PER_SECOND = 1_000L

/** Adds the chat/completions interface, which is served by [generate]. */
public fun Route.chatRoutes(authenticate: Authenticate, generate: Generate, wallClock: Clock) {
    post("/v1/chat/completions") {
        call.readGenerationRequest(authenticate).fold(
            { call.respondProblem(it) },
            { call.respondGeneration(it, generate, wallClock.nowMs() / MS_PER_SECOND) },
        )
    }
}

internal fun ApplicationCall.readAccount(authenticate: Authenticate): Either<RequestProblem, ClientAccountId> {
    val key = request.header(HttpHeaders.Authorization)?.removePrefix("Bearer ")?.trim()
    return key?.let(authenticate)?.right()
        ?: problem(ProblemKind.UNAUTHENTICATED, "send the API key as \"Authorization: Bearer KEY\"").left()
}

/** Returns the complete body, or a problem if it is too large. */
internal suspend fun ApplicationCall.readBody(): Either<RequestProblem, ByteArray> {
    val bytes = receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray()
    if (bytes.size <= MAX_BODY_BYTES) return bytes.right()
    return problem(ProblemKind.MALFORMED, "the body is larger than $MAX_BODY_BYTES bytes").left()
}

private suspend fun ApplicationCall.readGenerationRequest(
    authenticate: Authenticate,
): Either<RequestProblem, GenerationRequest> {
    val account = readAccount(authenticate).fold({ return it.left() }, { it })
    val body = readBody().fold({ return it.left() }, { it })
    val chat =
        try {
            callerJson.decodeFromString(ChatCompletionRequest.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            return problem(ProblemKind.MALFORMED, e.message.orEmpty().lineSequence().first()).left()
        }
    val limit = chat.maxCompletionTokens ?: chat.maxTokens
    if (limit != null && limit <= 0) return problem(ProblemKind.MALFORMED, "max_tokens must be positive").left()
    if (chat.messages.isEmpty()) return problem(ProblemKind.MALFORMED, "messages must not be empty").left()
    return GenerationRequest(
        id = RequestId(UUID.randomUUID().toString()),
        account = account,
        service = ServiceId(chat.model),
        messages = chat.messages,
        maxOutputTokens = limit,
        isStreamed = chat.stream,
    ).right()
}

private fun problem(kind: ProblemKind, detail: String): RequestProblem = RequestProblem(kind, RunState.NOT_RUN, detail)

private suspend fun ApplicationCall.respondGeneration(
    request: GenerationRequest,
    generate: Generate,
    createdS: Long,
): Unit = coroutineScope {
    val events = generate(request).buffer(STREAM_BUFFER_EVENTS).produceIn(this)
    val first = events.receive()
    if (first is GenerationFailed) {
        respondProblem(first.problem)
    } else if (request.isStreamed) {
        respondBytesWriter(ContentType.Text.EventStream) {
            val encoder = ChunkEncoder(request, createdS)
            writeEvent(encoder.encode(first))
            var last = first
            for (event in events) {
                last = event
                writeEvent(encoder.encode(event))
            }
            if (last !is GenerationFailed) writeEvent("[DONE]")
        }
    } else {
        val all = mutableListOf(first)
        for (event in events) all += event
        respondComplete(request, all, createdS)
    }
}

private suspend fun ByteWriteChannel.writeEvent(data: String) {
    withTimeout(SLOW_CALLER_LIMIT_MS) {
        writeStringUtf8("data: $data\n\n")
        flush()
    }
}

private class ChunkEncoder(private val request: GenerationRequest, private val createdS: Long) {
    private var isFirst = true

    fun encode(event: GenerationEvent): String = when (event) {
        is GeneratedToken -> chunk(Choice(delta = Delta(role = takeRole(), content = event.text)))
        is GenerationCompleted -> chunk(Choice(delta = Delta(), finishReason = event.reason.label), event.usage())
        is GenerationFailed -> callerJson.encodeToString(ProblemBody.serializer(), event.problem.toBody())
    }

    private fun takeRole(): String? = if (isFirst) "assistant".also { isFirst = false } else null

    private fun chunk(choice: Choice, usage: Usage? = null): String = callerJson.encodeToString(
        ChatCompletionChunk.serializer(),
        ChatCompletionChunk(request.id.value, createdS, request.service.value, listOf(choice), usage),
    )
}

private suspend fun ApplicationCall.respondComplete(
    request: GenerationRequest,
    events: List<GenerationEvent>,
    createdS: Long,
) {
    when (val last = events.last()) {
        is GenerationFailed -> respondProblem(last.problem)
        is GeneratedToken -> error("generation ${request.id} ended without an outcome")
        is GenerationCompleted -> {
            val text = events.filterIsInstance<GeneratedToken>().joinToString("") { it.text }
            val choice = Choice(message = ChatMessage("assistant", text), finishReason = last.reason.label)
            val body = ChatCompletion(request.id.value, createdS, request.service.value, listOf(choice), last.usage())
            respondText(callerJson.encodeToString(ChatCompletion.serializer(), body), ContentType.Application.Json)
        }
    }
}

private fun GenerationCompleted.usage(): Usage = Usage(promptTokens, outputTokens, promptTokens + outputTokens)
