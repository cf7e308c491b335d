/*
 * The limit of requests that run at a target at the same time, for all entry VMs together, while it is not known what
 * the target handles. It is a pure function of the signs and of the time.
 *
 * It answers the load of a target that has just started or recovered: idle, it is the cheapest choice of every entry
 * VM. The limit rises with each answer that is as quick as those of the peers, and at most doubles in a second;
 * it is halved when the signs are bad. It ends when it has reached the usual load of the peers.
 */
package fulmarshunt.target.fleet

/** The limit changes no sooner than its last change shows in the reports of all entry VMs. */
private const val RISE_PERIOD_MS = SIGN_WINDOW_MS

/** After a fall, signs of before are still reported for as long: their window and the age of a report. */
private const val FALL_PERIOD_MS = 1_500L

/** A target is asked with one request at a time, so that its recovery is noticed. */
private const val MIN_LIMIT = 1.0

/** The limit rises by so much for each quick answer; entry VMs use only a part of it, as they share it at random. */
private const val RISE_FOR_ANSWER = 2

/** Fewer quick answers may be chance, also when the peers have hardly any load. */
private const val MIN_QUICK_ANSWERS = 4

/** Why the limit of a target is opened. */
internal enum class PaceCause {
    /** The target is a new instance that appears while the deployment serves. */
    NEW,

    /** The target says that it is cold. */
    COLD,

    /** The target was silent and is heard again. */
    SILENT,

    /** The target has asked for a pause. */
    PAUSED,

    /** The target has refused or failed several requests in a row. */
    TROUBLE,

    /** Other entry VMs limit the target. */
    OTHERS,
}

/** The limit of one target. */
internal class PaceLimit(val cause: PaceCause, start: Double, val openedAtMs: Long) {
    /** The requests that may run at the same time, of all entry VMs together. */
    var limit: Double = start.coerceAtLeast(MIN_LIMIT)
        private set
    private var changedAtMs = openedAtMs

    /** The time of the last fall; the signs that opened the limit do not lower it as well. */
    var fellAtMs: Long = openedAtMs
        private set
    private var quickAnswers = 0

    /**
     * Changes the limit by [signs] of all entry VMs, and returns whether it fell.
     *
     * @param running the requests of all entry VMs at the target; a load that others have brought it to without a bad
     * sign is taken over, as far as the limit may rise.
     */
    fun decide(signs: PaceSigns, running: Int, nowMs: Long): Boolean {
        if (signs.isBad) return fall(nowMs)
        if (nowMs - changedAtMs < RISE_PERIOD_MS) return false
        changedAtMs = nowMs
        quickAnswers += signs.onPace
        if (signs.offPace ==
            0
        ) {
            limit = maxOf(limit + RISE_FOR_ANSWER * signs.onPace, running.toDouble()).coerceAtMost(2 * limit)
        }
        return false
    }

    /** Takes over the load that a cold target has by its own limit. */
    fun adopt(running: Int) {
        limit = maxOf(limit, running.toDouble())
    }

    /** Returns whether the target handles [usualLoad], the load of its peers. */
    fun hasReached(usualLoad: Double): Boolean = quickAnswers >= MIN_QUICK_ANSWERS && limit >= usualLoad

    private fun fall(nowMs: Long): Boolean {
        if (nowMs - fellAtMs < FALL_PERIOD_MS) return false
        fellAtMs = nowMs
        changedAtMs = nowMs
        quickAnswers = 0
        val former = limit
        limit = (limit / 2).coerceAtLeast(MIN_LIMIT)
        return limit < former
    }
}
