/*
 * The JSON bodies of the chat/completions interface, in the format that common client libraries read. Fields that are
 * not listed are ignored.
 */
package fulmarshunt.caller.http

import fulmarshunt.caller.ChatMessage
import fulmarshunt.caller.FinishReason
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

internal val callerJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = true
    }

@Serializable
internal class ChatCompletionRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens")
    val maxTokens: Int? = null,
    @SerialName("max_completion_tokens")
    val maxCompletionTokens: Int? = null,
)

@Serializable
internal class ChatCompletion(
    val id: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage?,
    @SerialName("object")
    val type: String = "chat.completion",
)

@Serializable
internal class ChatCompletionChunk(
    val id: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
    @SerialName("object")
    val type: String = "chat.completion.chunk",
)

@Serializable
internal class Choice(
    val index: Int = 0,
    val message: ChatMessage? = null,
    val delta: Delta? = null,
    @SerialName("finish_reason")
    val finishReason: String? = null,
)

@Serializable
internal class Delta(val role: String? = null, val content: String? = null)

@Serializable
internal class Usage(
    @SerialName("prompt_tokens")
    val promptTokens: Int,
    @SerialName("completion_tokens")
    val completionTokens: Int,
    @SerialName("total_tokens")
    val totalTokens: Int,
)

/** A problem body as RFC 9457 describes it; `error` repeats it in the format that chat client libraries read. */
@Serializable
internal class ProblemBody(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val ran: String,
    @SerialName("retry_after_ms")
    val retryAfterMs: Long?,
    val error: ErrorBody,
)

@Serializable
internal class ErrorBody(val message: String, val type: String, val code: String)

internal val FinishReason.label: String
    get() =
        when (this) {
            FinishReason.STOP -> "stop"
            FinishReason.LENGTH -> "length"
        }
