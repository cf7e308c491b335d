/*
 * What a plain service is asked and how a call of it ends. The HTTP encoding is in `target.http`.
 */
package fulmarshunt.target

import fulmarshunt.Address

/** A call as a plain service receives it. */
public class PlainCall(
    /** The HTTP method in upper case. */
    public val method: String,
    /** The path below the service with its query, percent-encoded. */
    public val pathAndQuery: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
)

/** The start of an answer. */
public data class PlainResponseHead(
    public val status: Int,
    public val contentType: String?,
    public val headers: List<Pair<String, String>> = emptyList(),
)

/** How a call of a plain service ended. */
public sealed interface PlainOutcome {
    /** The whole answer arrived. */
    public data object Completed : PlainOutcome

    /** There was no connection, so that no byte of the call was sent. */
    public data class Refused(public val reason: String) : PlainOutcome

    /** The connection failed; the call may have run. */
    public data class Broken(public val reason: String, public val hasResponseStarted: Boolean) : PlainOutcome
}

/** Receives an answer in pieces. */
public class PlainResponseReceiver(
    public val onHead: suspend (PlainResponseHead) -> Unit,
    public val onBytes: suspend (ByteArray) -> Unit,
)

/** Sends a call on a connection of its own and passes the answer on. */
public typealias SendPlainCall = suspend (Address, PlainCall, PlainResponseReceiver) -> PlainOutcome
