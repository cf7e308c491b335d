/*
 * Measures how fast a target makes the events of one stream. Times in which the caller did not take events are left
 * out: they say nothing of the target.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.Placement

/** The events and the time after which a measurement is reported: a few times in a second at most. */
private const val MIN_EVENTS = 8L
private const val MIN_WAITED_MS = 250L

/** The share of the time that must have been spent on waiting for the target. */
private const val MIN_WAITED_SHARE = 0.8

/** Reports the pace of a stream. Confined to the traffic thread. */
internal class EventPace(
    /** Receives how many events the target of a placement has made in how many ms. */
    private val report: (Placement, Long, Long) -> Unit,
) {
    private var placement: Placement? = null
    private var sinceMs = 0L
    private var events = 0L
    private var waitedMs = 0L

    /** Records [newEvents] of the run at [current] for which the relay has waited [silentMs]. */
    fun record(current: Placement, newEvents: Long, silentMs: Long, nowMs: Long) {
        // The first events of a run at a target come after its prompt was read.
        if (current !== placement) return begin(current, nowMs)
        events += newEvents
        waitedMs += silentMs
        if (events < MIN_EVENTS || nowMs - sinceMs < MIN_WAITED_MS) return
        if (waitedMs >= MIN_WAITED_SHARE * (nowMs - sinceMs)) report(current, events, waitedMs)
        begin(current, nowMs)
    }

    private fun begin(current: Placement, nowMs: Long) {
        placement = current
        sinceMs = nowMs
        events = 0
        waitedMs = 0
    }
}
