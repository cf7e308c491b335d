/*
 * A caller's request for generated text and the events of the response. Front ends translate their protocol to these
 * types; nothing here depends on HTTP.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.Serializable

/** One message of a conversation. */
@Serializable
public data class ChatMessage(public val role: String, public val content: String)

/** A request for generated text by an authenticated client account. */
public data class GenerationRequest(
    public val id: RequestId,
    public val account: ClientAccountId,
    public val service: ServiceId,
    public val messages: List<ChatMessage>,
    public val maxOutputTokens: Int?,
    /** Whether the caller reads tokens as they arrive; then relayed tokens rule out another generation. */
    public val isStreamed: Boolean,
)

/** Why a generation ended. */
public enum class FinishReason {
    /** The model ended its output. */
    STOP,

    /** The output limit was reached. */
    LENGTH,
}

/** What the caller receives, in order: tokens, then one [GenerationCompleted] or [GenerationFailed]. */
public sealed interface GenerationEvent

/** One token; offsets start at 0 and have no gaps. */
public data class GeneratedToken(public val offset: Int, public val text: String) : GenerationEvent

/** All tokens were relayed. */
public data class GenerationCompleted(
    public val reason: FinishReason,
    public val promptTokens: Int,
    public val outputTokens: Int,
) : GenerationEvent

/** The generation failed; no more tokens follow. */
public data class GenerationFailed(public val problem: RequestProblem) : GenerationEvent

/** Serves a generation; a front end collects the flow and cancels the collection when its caller disconnects. */
public typealias Generate = (GenerationRequest) -> Flow<GenerationEvent>
