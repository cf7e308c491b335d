/*
 * How many requests of a service an entry VM sends to the version on trial. All entry VMs together must stay within a
 * share of the requests and a slack, also with hundreds of them, at low traffic and after restarts, and without a
 * message for each request. Each VM therefore counts its own requests only and starts at a random point of the count:
 * the expected total is exact, whatever the number of VMs. Confined to the control thread.
 */
package fulmarshunt.target.rollout

/** The part of the share that is used; what arrives at targets differs a little from what is placed. */
private const val USED_SHARE = 0.95

/** The part of the slack that is used; the rest is for the spread of the random starts, and for restarted VMs. */
private const val USED_SLACK = 0.5

/** The part of the duration over which the slack is given out, so that enough is left to find a late onset. */
private const val SLACK_PART = 0.6

/** The most that may be due at once; requests that found no target of the version must not come as a burst later. */
private const val MAX_BALANCE = 2.0

/** Limits on the requests for versions on trial, for all entry VMs together. */
public data class TrialBounds(
    /** The share of the requests of a service that the version on trial may get. */
    public val share: Double,
    /** The requests that it may get beyond that in one roll-out. */
    public val slackRequests: Double,
    /** How long after many failures the version on trial must get no requests any more. */
    public val stopMs: Long,
)

/** The trial of one roll-out at this entry VM. */
internal class TrialShare(
    private val bounds: TrialBounds,
    entryVms: Int,
    private val durationMs: Long,
    /** Whether this VM served before the roll-out began; others would take a part of the slack at each restart. */
    hasSeenStart: Boolean,
    nextRandom: () -> Double,
) {
    private val slack = if (hasSeenStart) bounds.slackRequests * USED_SLACK / entryVms.coerceAtLeast(1) else 0.0
    private var balance = nextRandom()

    /** Returns whether the next request is for the version on trial, [elapsedMs] after the roll-out began. */
    fun isDue(elapsedMs: Long): Boolean =
        balance + slack * (elapsedMs / (durationMs * SLACK_PART)).coerceIn(0.0, 1.0) >= 1

    /** Records that a request was placed. */
    fun record(isTrial: Boolean) {
        balance = (balance + bounds.share * USED_SHARE).coerceAtMost(MAX_BALANCE) - if (isTrial) 1 else 0
    }
}
