/*
 * What the relay needs to know of the headers that callers and targets use. An adapter supplies the functions, so that
 * the relay knows no names.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.RequestId
import fulmarshunt.TargetId
import io.netty.handler.codec.http.HttpHeaders

/** What a request says about the generation it asks for. */
public data class GenerationHints(
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    /** The caller's estimate, right at the median and often far off. */
    public val expectedOutputTokens: Int?,
)

/** What the headers of a request say. */
public data class RequestMetadata(
    /** Null if the caller sent none, or none that can be used. */
    public val id: RequestId?,
    public val apiKey: String?,
    /** How long the caller waits, from the request on. */
    public val callerTimeoutMs: Long?,
    public val generation: GenerationHints?,
)

/** Where a run that has left its target, or whose target is lost, goes on. */
public data class ResumePoint(
    /** The target that holds the memory of the run, or held it before. */
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
    /** Where the target keeps a copy of the memory of the run. */
    public val copyAt: Address?,
    public val resume: ResumePoint?,
    public val allowsCallerResume: Boolean,
)

/** What the headers of an answer say. */
public data class ResponseMetadata(
    /** The request that the answer belongs to. */
    public val request: String?,
    /** Whether the answer proves that it comes from a target. */
    public val isStamped: Boolean,
    /** Whether the target says that it has not run the request. */
    public val isNotRun: Boolean,
    public val retryAfterS: Double?,
)

/** The memory of a run is complete at another target. */
public data class Moved(public val handle: String, public val eventsMade: Long?)

/** Why a run was not moved. With a [handle], it has stopped and can go on at its target. */
public data class MoveFailure(public val reason: String, public val handle: String?)

/** The adapter's functions. */
public class ProtocolAdapter(
    public val readRequest: (HttpHeaders) -> RequestMetadata,
    /** Returns the headers for a target, without those that concern only the caller's connection or the system. */
    public val toTargetHeaders: (HttpHeaders, Dispatch) -> HttpHeaders,
    /** Returns the headers of an answer that concern the caller. */
    public val toCallerHeaders: (HttpHeaders) -> HttpHeaders,
    public val readResponse: (HttpHeaders) -> ResponseMetadata,
    /** Copies the run at the first address to the second; the run stops if it is the last copy. */
    public val migrate: suspend (Address, RequestId, Address, isLast: Boolean) -> Either<MoveFailure, Moved>,
    /** Names the copy of a run that a target keeps under the id of its request. */
    public val copyHandle: (RequestId) -> String,
)
