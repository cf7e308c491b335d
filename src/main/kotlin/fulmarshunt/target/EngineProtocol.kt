/*
 * What an engine is asked and how an attempt to run a generation ends. The HTTP encoding is in `target.http`.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.FencingNumber
import fulmarshunt.ServiceId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.caller.ChatMessage
import fulmarshunt.caller.FinishReason

/** A generation as an engine receives it; the ticket names the generation. */
public data class EngineGeneration(
    public val ticket: TicketId,
    public val service: ServiceId,
    public val messages: List<ChatMessage>,
    public val maxTokens: Int,
    public val priority: Int,
    public val fence: FencingNumber,
    public val entryVm: VmId,
)

/** One token of an engine's stream. */
public data class EngineToken(public val offset: Int, public val text: String)

/** How a stream from an engine ended. */
public sealed interface StreamEnd {
    /** The generation is complete with [tokens] tokens. */
    public data class Finished(public val tokens: Int, public val reason: FinishReason) : StreamEnd

    /** The engine, or its closed port, refused the request; it did not run. */
    public data class Refused(public val reason: String) : StreamEnd

    /** The connection failed or went silent; the generation may still run. */
    public data class Broken(public val reason: String) : StreamEnd

    /** The engine answers but does not know the generation. */
    public data object NotFound : StreamEnd

    /** The engine takes no connection, or does not answer the question about its generations. */
    public data object Gone : StreamEnd
}

/** An order to load [service], in place of [replaces] if the engine has no room for one more. */
public data class EngineLoad(
    public val service: ServiceId,
    public val replaces: ServiceId?,
    public val fence: FencingNumber,
)

/** What became of an order to an engine. */
public sealed interface OrderReply {
    /** The engine has taken the order, now or earlier. */
    public data object Accepted : OrderReply

    /** The engine does not carry the order out, for example because its fencing number is old. */
    public data class Refused(public val reason: String) : OrderReply

    /** No answer arrived; the engine may have taken the order. */
    public data object NoReply : OrderReply
}

/** What can be asked of engines. */
public class EngineClient(
    /** Starts a generation and passes its tokens on until the stream ends. */
    public val start: suspend (Address, EngineGeneration, suspend (EngineToken) -> Unit) -> StreamEnd,
    /** Continues the stream of a running or finished generation at an offset. */
    public val resume: suspend (Address, TicketId, Int, suspend (EngineToken) -> Unit) -> StreamEnd,
    /** Cancels a generation; true if the engine confirmed that it no longer runs. */
    public val cancel: suspend (Address, TicketId) -> Boolean,
    /** Lists the running generations and the entry VMs that started them, or null if the engine does not answer. */
    public val list: suspend (Address) -> Map<TicketId, VmId>?,
    /** Orders an engine to load a service; the same order may be given again. */
    public val load: suspend (Address, EngineLoad) -> OrderReply,
)
