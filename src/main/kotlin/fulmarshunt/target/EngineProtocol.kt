/*
 * The requests to engines and their outcomes. The HTTP encoding is in `target.http`.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.FencingNumber
import fulmarshunt.ServiceId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.caller.ChatMessage
import fulmarshunt.caller.FinishReason

/** A generation as sent to an engine; the ticket identifies it. */
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

/** The end of a stream from an engine. */
public sealed interface StreamEnd {
    /** The generation is complete with [tokens] tokens. */
    public data class Finished(public val tokens: Int, public val reason: FinishReason) : StreamEnd

    /** The engine refused the request or its port was closed; the request did not run. */
    public data class Refused(public val reason: String) : StreamEnd

    /** The connection failed or timed out; the generation may still run. */
    public data class Broken(public val reason: String) : StreamEnd

    /** The engine responds but does not know the generation. */
    public data object NotFound : StreamEnd

    /** The engine accepts no connection, or does not respond to the request for its generations. */
    public data object Gone : StreamEnd
}

/** An order to load [service], in place of [replaces] if the engine cannot hold one more. */
public data class EngineLoad(
    public val service: ServiceId,
    public val replaces: ServiceId?,
    public val fence: FencingNumber,
)

/** The reply of an engine to an order. */
public sealed interface OrderReply {
    /** The engine has accepted the order, now or earlier. */
    public data object Accepted : OrderReply

    /** The engine does not execute the order, for example because its fencing number is outdated. */
    public data class Refused(public val reason: String) : OrderReply

    /** No reply arrived; the engine may have accepted the order. */
    public data object NoReply : OrderReply
}

/** The calls that engines support. */
public class EngineClient(
    /** Starts a generation and passes its tokens to the callback until the stream ends. */
    public val start: suspend (Address, EngineGeneration, suspend (EngineToken) -> Unit) -> StreamEnd,
    /** Continues the stream of a running or finished generation at an offset. */
    public val resume: suspend (Address, TicketId, Int, suspend (EngineToken) -> Unit) -> StreamEnd,
    /** Cancels a generation; true if the engine confirmed that it no longer runs. */
    public val cancel: suspend (Address, TicketId) -> Boolean,
    /** Lists the running generations and the entry VMs that started them, or null if the engine does not respond. */
    public val list: suspend (Address) -> Map<TicketId, VmId>?,
    /** Orders an engine to load a service; the order may be sent again. */
    public val load: suspend (Address, EngineLoad) -> OrderReply,
)
