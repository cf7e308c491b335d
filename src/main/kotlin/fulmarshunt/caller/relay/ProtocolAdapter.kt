/*
 * The interface between the relay and the headers that callers and targets use. A protocol adapter supplies the
 * functions, so that the relay depends on no header names.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.PromptPartId
import fulmarshunt.RequestId
import fulmarshunt.TargetId
import fulmarshunt.target.fleet.StatedLoad
import io.netty.handler.codec.http.HttpHeaders

/** What a request says about the requested generation. */
public data class GenerationHints(
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    /** The caller's estimate; its median is right, but a single estimate is often far off. */
    public val expectedOutputTokens: Int?,
    /** The parts of the prompt in order. The last one belongs to this request or its session; others may be shared. */
    public val promptParts: List<PromptPartId> = emptyList(),
)

/** What the headers of a request say. */
public data class RequestMetadata(
    /** The id of the request, or null if the caller sent none or an unusable one. */
    public val id: RequestId?,
    public val apiKey: String?,
    /** How long the caller waits, counted from the arrival of the request. */
    public val callerTimeoutMs: Long?,
    public val generation: GenerationHints?,
)

/** The point at which a run continues after it has left its target or its target was lost. */
public data class ResumePoint(
    /** The target that holds, or held, the memory of the run. */
    public val holder: Address,
    public val handle: String,
    public val lastEventId: Long?,
)

/** What the system adds to a request for one target. */
public data class Dispatch(
    public val target: TargetId,
    /** How long the target may work on the request. */
    public val remainingTimeMs: Long,
    public val account: ClientAccountId?,
    /** From 0 for the most urgent to 9; null for plain services. */
    public val priority: Int?,
    /** The address at which the target keeps a copy of the memory of the run. */
    public val copyAt: Address?,
    public val resume: ResumePoint?,
    public val allowsCallerResume: Boolean,
)

/** What the headers of a response say. */
public data class ResponseMetadata(
    /** The id of the request that the response belongs to. */
    public val request: String?,
    /** Whether the response proves that it comes from a target. */
    public val isStamped: Boolean,
    /** Whether the target states that it has not run the request. */
    public val isNotRun: Boolean,
    /** How long the target wants no other request from this VM. */
    public val retryAfterMs: Long? = null,
    /** Whether the target states that it is leaving. */
    public val isLeaving: Boolean = false,
    /** The requests in a second that the target takes from all entry VMs together, or null without a limit. */
    public val limitPerS: Double? = null,
    /** The refusals in a second after which the target fails, or null if it is not brittle. */
    public val refusalsPerS: Double? = null,
    /** What the target says of its load, or why that cannot be right; null if it says nothing. */
    public val load: Either<String, StatedLoad>? = null,
)

/** The memory of a run has been copied completely to another target. */
public data class Moved(public val handle: String, public val eventsMade: Long?)

/** Why a run was not migrated. */
public sealed interface MoveFailure {
    /** No connection to the target could be opened. */
    public data class Unreachable(public val reason: String) : MoveFailure

    /** The target was asked and did not respond. */
    public data class NoResponse(public val reason: String) : MoveFailure

    /** The target has no such run, so that it has ended there. */
    public data object NoSuchRun : MoveFailure

    /** The run exists, and another migration of it is in progress. */
    public data object InProgress : MoveFailure

    /** The run has stopped and can continue at its target from [handle]. */
    public data class Stopped(public val handle: String) : MoveFailure

    /** The target responded in another way, which does not tell whether it works on the run. */
    public data class Rejected(public val status: Int) : MoveFailure
}

/** The functions that translate between the relay and the protocol of callers and targets. */
public class ProtocolAdapter(
    public val readRequest: (HttpHeaders) -> RequestMetadata,
    /** Returns the headers for a target, without those that concern only the caller's connection or the system. */
    public val toTargetHeaders: (HttpHeaders, Dispatch) -> HttpHeaders,
    /** Returns the headers of a response that concern the caller. */
    public val toCallerHeaders: (HttpHeaders) -> HttpHeaders,
    public val readResponse: (HttpHeaders) -> ResponseMetadata,
    /** Copies the run at the first address to the second; the run stops if this is the last copy. */
    public val migrate: suspend (Address, RequestId, Address, isLast: Boolean) -> Either<MoveFailure, Moved>,
    /** Returns the handle of the copy of a run that a target keeps under the id of its request. */
    public val copyHandle: (RequestId) -> String,
)
