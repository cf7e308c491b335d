/*
 * The engine protocol over HTTP. Each attempt uses a connection of its own: a kept one may have been forgotten by
 * a device on the way, and a failed reuse would leave open whether the request arrived.
 */
package fulmarshunt.target.http

import fulmarshunt.Address
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.caller.ChatMessage
import fulmarshunt.caller.FinishReason
import fulmarshunt.target.EngineClient
import fulmarshunt.target.EngineGeneration
import fulmarshunt.target.EngineLoad
import fulmarshunt.target.EngineToken
import fulmarshunt.target.OrderReply
import fulmarshunt.target.StreamEnd
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.ConnectException

/** The silence on a stream after which its connection is given up and the generation resumed on a new one. */
internal const val STREAM_SILENCE_MS: Long = 2_000

private const val CONNECT_TIMEOUT_MS = 1_000L
private const val COMMAND_TIMEOUT_MS = 2_000L

internal val engineJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

@Serializable
internal class GenerationBody(
    @SerialName("generation_id")
    val generationId: String,
    val service: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens")
    val maxTokens: Int,
    val priority: Int,
    @SerialName("fencing_number")
    val fencingNumber: Long,
    @SerialName("entry_vm")
    val entryVm: String,
)

@Serializable
internal class StreamEvent(val offset: Int, val token: String? = null, val finish: String? = null)

@Serializable
internal class RunningGeneration(
    @SerialName("generation_id")
    val generationId: String,
    @SerialName("entry_vm")
    val entryVm: String,
)

@Serializable
internal class LoadOrderBody(
    val order: String,
    val service: String,
    val replaces: String?,
    @SerialName("fencing_number")
    val fencingNumber: Long,
)

/** Returns an engine client over HTTP that gives a stream up after [silenceMs] without a byte. */
public fun httpEngineClient(silenceMs: Long = STREAM_SILENCE_MS): EngineClient {
    val http = engineHttpClient()
    return EngineClient(
        start = { address, generation, onToken ->
            http.stream(silenceMs, onToken) {
                method = HttpMethod.Post
                url("http://$address/v1/generations")
                contentType(ContentType.Application.Json)
                setBody(engineJson.encodeToString(GenerationBody.serializer(), generation.toBody()))
            }
        },
        resume = { address, ticket, offset, onToken ->
            http.stream(silenceMs, onToken) {
                method = HttpMethod.Get
                url("http://$address/v1/generations/${ticket.value}?from=$offset")
            }
        },
        cancel = { address, ticket ->
            http.command { delete("http://$address/v1/generations/${ticket.value}").status }
                ?.let { it == HttpStatusCode.NotFound || it.value in SUCCESS_STATUSES } ?: false
        },
        list = { address ->
            http.command { get("http://$address/v1/generations").bodyAsText() }?.let { text ->
                engineJson
                    .decodeFromString<List<RunningGeneration>>(text)
                    .associate { TicketId(it.generationId) to VmId(it.entryVm) }
            }
        },
        load = { address, load ->
            val status = http.command {
                post("http://$address/v1/engine/orders") {
                    header(HttpHeaders.Connection, "close")
                    contentType(ContentType.Application.Json)
                    setBody(engineJson.encodeToString(LoadOrderBody.serializer(), load.toBody()))
                }.status.value
            }
            when (status) {
                null -> OrderReply.NoReply
                in SUCCESS_STATUSES -> OrderReply.Accepted
                else -> OrderReply.Refused("status $status")
            }
        },
    )
}

private val SUCCESS_STATUSES = 200..299
private val REFUSAL_STATUSES = setOf(HttpStatusCode.Conflict, HttpStatusCode.ServiceUnavailable)

internal fun engineHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    engine {
        requestTimeout = 0
        maxConnectionsCount = 10_000
        endpoint.maxConnectionsPerRoute = 10_000
    }
    install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MS }
}

private fun EngineGeneration.toBody(): GenerationBody =
    GenerationBody(ticket.value, service.value, messages, maxTokens, priority, fence.value, entryVm.value)

private fun EngineLoad.toBody(): LoadOrderBody = LoadOrderBody("load", service.value, replaces?.value, fence.value)

private suspend fun HttpClient.stream(
    silenceMs: Long,
    onToken: suspend (EngineToken) -> Unit,
    request: HttpRequestBuilder.() -> Unit,
): StreamEnd = try {
    coroutineScope {
        val watchdog =
            launch {
                delay(CONNECT_TIMEOUT_MS + silenceMs)
                throw IOException("no response within $silenceMs ms")
            }
        prepareRequest {
            request()
            header(HttpHeaders.Connection, "close")
        }.execute { response ->
            watchdog.cancel()
            readStream(response, silenceMs, onToken)
        }
    }
} catch (e: CancellationException) {
    throw e
} catch (e: ConnectException) {
    StreamEnd.Refused("no connection: ${e.message}")
} catch (e: Exception) {
    StreamEnd.Broken(e.message ?: e.javaClass.simpleName)
}

private suspend fun readStream(
    response: HttpResponse,
    silenceMs: Long,
    onToken: suspend (EngineToken) -> Unit,
): StreamEnd {
    if (response.status == HttpStatusCode.NotFound) return StreamEnd.NotFound
    if (response.status in REFUSAL_STATUSES) return StreamEnd.Refused("status ${response.status.value}")
    if (response.status != HttpStatusCode.OK) return StreamEnd.Broken("status ${response.status.value}")
    val body = response.bodyAsChannel()
    while (true) {
        val line = withTimeoutOrNull(silenceMs) { body.readLine() ?: END_OF_STREAM }
        if (line == null) return StreamEnd.Broken("silent for $silenceMs ms")
        if (line == END_OF_STREAM) return StreamEnd.Broken("the stream ended early")
        if (!line.startsWith(DATA_PREFIX)) continue
        val event =
            try {
                engineJson.decodeFromString(StreamEvent.serializer(), line.substring(DATA_PREFIX.length))
            } catch (e: SerializationException) {
                return StreamEnd.Broken("an event cannot be read: ${e.message}")
            }
        if (event.token != null) onToken(EngineToken(event.offset, event.token))
        if (event.finish != null) return StreamEnd.Finished(event.offset, finishReasonOf(event.finish))
    }
}

private const val DATA_PREFIX = "data:"

/** A line that no event stream contains, because lines end at a line feed. */
private const val END_OF_STREAM = "\n"

private fun finishReasonOf(label: String): FinishReason =
    if (label == "length") FinishReason.LENGTH else FinishReason.STOP

private suspend fun <T> HttpClient.command(block: suspend HttpClient.() -> T): T? = try {
    withTimeoutOrNull(COMMAND_TIMEOUT_MS) { block() }
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    null
}
