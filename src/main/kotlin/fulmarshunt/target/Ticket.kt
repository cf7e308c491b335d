/*
 * A request that was granted a target and has not ended.
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
    /** The time of the first report of the entry VM about the ticket, or -1. */
    var reportedMs: Long,
) {
    var forecast: RequestForecast = requestForecast(lengths, request.promptTokens, tokens)

    /** The time at which the tokens were counted last. */
    var countedMs: Long = grantedMs

    /** True once the first-token time, which every report repeats, was recorded. */
    var hasFirstTokenSample: Boolean = false

    /** False while no latency was recorded; at its end the total duration is the sample then. */
    var hasLatencySample: Boolean = false

    /** The time at which the generation was cancelled, or -1. */
    var cancelledMs: Long = -1

    /** The token count at the last check for unused grants. */
    var tokensAtCheck: Int = tokens

    val isReported: Boolean get() = reportedMs >= 0
    val memoryTokens: Long get() = request.promptTokens.toLong() + tokens
    val countsAsShort: Boolean get() = isShort && tokens <= shortMaxTokens
}
