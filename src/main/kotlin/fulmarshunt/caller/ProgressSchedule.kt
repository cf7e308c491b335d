/*
 * Decides when the tokens of a running ticket are reported to the owner of its pool: when their number has doubled, so
 * that short generations cause few reports, or when a second has passed, so that slow ones stay visible.
 */
package fulmarshunt.caller

/** The minimum number of tokens that is reported before a second has passed. */
private const val FIRST_REPORT_TOKENS = 16

private const val REPORT_PERIOD_MS = 1_000L

/** The progress of a generation. */
public data class ProgressReport(
    public val tokens: Int,
    public val firstTokenMs: Long,
    public val betweenTokensMs: Double,
)

/** Counts the tokens of one generation that was granted at [grantedAtMs]. */
public class ProgressSchedule(private val grantedAtMs: Long) {
    private var tokens = 0
    private var firstTokenMs = -1L
    private var reportedTokens = 0
    private var reportedAtMs = grantedAtMs

    /** Counts a token and returns a report if one is due. */
    public fun onToken(nowMs: Long): ProgressReport? {
        tokens++
        if (tokens == 1) {
            firstTokenMs = nowMs - grantedAtMs
            reportedAtMs = nowMs
        }
        val isDoubled = tokens >= FIRST_REPORT_TOKENS && tokens >= 2 * reportedTokens
        if (!isDoubled && nowMs - reportedAtMs < REPORT_PERIOD_MS) return null
        val intervals = if (reportedTokens == 0) tokens - 1 else tokens - reportedTokens
        val betweenMs = if (intervals > 0) (nowMs - reportedAtMs).toDouble() / intervals else -1.0
        reportedTokens = tokens
        reportedAtMs = nowMs
        return ProgressReport(tokens, firstTokenMs, betweenMs)
    }
}
