/*
 * The calls of plain services and their outcomes. The HTTP encoding is in `target.http`.
 */
package fulmarshunt.target

import fulmarshunt.Address

/** A call as a plain service receives it. */
public class PlainCall(
    /** The HTTP method in upper case. */
    public val method: String,
    /** The path relative to the service and the query, percent-encoded. */
    public val pathAndQuery: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
)

/** The status and headers of a response. */
public data class PlainResponseHead(
    public val status: Int,
    public val contentType: String?,
    public val headers: List<Pair<String, String>> = emptyList(),
)

/** How a call of a plain service ended. */
public sealed interface PlainOutcome {
    /** The complete response arrived. */
    public data object Completed : PlainOutcome

    /** No connection could be opened, so no byte of the call was sent. */
    public data class Refused(public val reason: String) : PlainOutcome

    /** The connection failed; the call may have been executed. */
    public data class Broken(public val reason: String, public val hasResponseStarted: Boolean) : PlainOutcome
}

/** Receives a response in pieces. */
public class PlainResponseReceiver(
    public val onHead: suspend (PlainResponseHead) -> Unit,
    public val onBytes: suspend (ByteArray) -> Unit,
)

/** Sends a call on a connection of its own and passes the response to the receiver. */
public typealias SendPlainCall = suspend (Address, PlainCall, PlainResponseReceiver) -> PlainOutcome
