/*
 * A request that was granted a place at a target and has not ended.
 */
package fulmarshunt.target

import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.entry.AdmissionRequest

/** A granted request. */
internal class Ticket(
    val request: AdmissionRequest,
    val target: TargetId,
    val incarnation: Incarnation,
    val lengths: OutputLengths,
    /** True if the request was placed as a short one. */
    val isShort: Boolean,
    /** Above this many tokens the request counts as a long one. */
    val shortMaxTokens: Int,
    /** The prompt tokens that were charged to the client account. */
    val chargedPromptTokens: Int,
    val grantedMs: Long,
    var tokens: Int,
    /** When the entry VM first reported about the ticket, or -1. */
    var reportedMs: Long,
) {
    var life: RequestForecast = requestForecast(lengths, request.promptTokens, tokens)

    /** When the tokens were counted last. */
    var countedMs: Long = grantedMs

    /** Reports repeat the first-token time, which counts once. */
    var hasFirstTokenSample: Boolean = false

    /** False while the ticket has shown no latency; its whole duration is a sample then. */
    var hasLatencySample: Boolean = false

    /** When the generation was cancelled, or -1. */
    var cancelledMs: Long = -1

    /** The token count at the last check for unused grants. */
    var tokensAtCheck: Int = tokens

    val isReported: Boolean get() = reportedMs >= 0
    val memoryTokens: Long get() = request.promptTokens.toLong() + tokens
    val countsAsShort: Boolean get() = isShort && tokens <= shortMaxTokens
}
