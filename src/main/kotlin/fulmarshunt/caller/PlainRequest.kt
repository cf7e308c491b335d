/*
 * A caller's call of a plain service and the events of the response. Front ends translate their protocol to these
 * types.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.IdempotencyKey
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.operator.Service
import fulmarshunt.target.PlainCall
import fulmarshunt.target.PlainResponseHead
import kotlinx.coroutines.flow.Flow

/** A call of a plain service by an authenticated client account. */
public class PlainRequest(
    public val id: RequestId,
    public val account: ClientAccountId,
    public val service: ServiceId,
    /** The decoded path below the service, with which rules are compared. */
    public val path: String,
    public val call: PlainCall,
    public val key: IdempotencyKey?,
) {
    /** The hash of service, method, path and body; computed only once, because bodies can be large. */
    public val fingerprint: Fingerprint by lazy {
        fingerprintOf(
            service.value.encodeToByteArray(),
            call.method.encodeToByteArray(),
            call.pathAndQuery.encodeToByteArray(),
            call.body,
        )
    }
}

/** What the caller receives: a start, bytes and a completion, or a failure at any point. */
public sealed interface PlainEvent

/** The status and the headers. */
public data class PlainStarted(public val head: PlainResponseHead) : PlainEvent

/** A part of the body. */
public class PlainBytes(public val bytes: ByteArray) : PlainEvent

/** The response is complete. */
public data object PlainCompleted : PlainEvent

/** The call failed; nothing more of the response follows. */
public data class PlainFailed(public val problem: RequestProblem) : PlainEvent

/** Serves a plain call; a front end collects the flow and cancels the collection when its caller disconnects. */
public typealias ServePlain = (PlainRequest) -> Flow<PlainEvent>

/** The methods that RFC 9110 defines as idempotent; a call with another one is not sent twice. */
private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")

/** Whether this call may be sent again although it may have run. */
public val PlainRequest.isIdempotent: Boolean get() = call.method in IDEMPOTENT_METHODS

/** Returns whether a rule of this service requires that [request] runs at most once. */
public fun Service?.isNonRepeatable(request: PlainRequest): Boolean = this?.nonRepeatable.orEmpty().any { rule ->
    (rule.method == "*" || rule.method == request.call.method) && request.path.startsWith(rule.pathPrefix)
}
