/*
 * Limits how many requests are repeated at another target, as a share of the requests in a sliding window. Without it,
 * the repeats of a failing service would overload its remaining targets. The budget applies to all entry VMs together;
 * each uses only a share that depends on its own requests. A share is rounded up or down at random, so that many entry
 * VMs with less than one repeat each use their budget. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import kotlin.math.floor

/** The share of the budget that is used, so that windows that start at other times stay within the budget too. */
private const val USED_SHARE = 0.7

/** The longest time from sending a repeat to its arrival, most of which is spent on opening a connection. */
private const val ARRIVAL_DELAY_MS = 1_000L

/** The windows for which a share is rounded in the same way, so that few windows have two roundings. */
private const val ROUNDING_WINDOWS = 10

/** The time after a start of this process in which other entry VMs may not count it and use larger shares. */
private const val UNCOUNTED_MS = 4_000L

/** The limits of repeats of all entry VMs together. */
public data class RepeatLimits(
    /** The repeats that are allowed per request. */
    public val ratio: Double,
    /** The repeats that are allowed in a window regardless of the number of requests. */
    public val allowance: Double,
    public val windowMs: Long,
)

/** A decision on a repeat, and what it was based on. */
public data class RepeatDecision(
    public val isTaken: Boolean,
    /** The repeats of this entry VM in the window, without this one. */
    public val used: Int,
    /** The repeats that this entry VM may make in the window. */
    public val bound: Int,
    /** The requests of this entry VM in the window. */
    public val requests: Int,
    /** The number of entry VMs by which the allowance was divided. */
    public val entryVms: Int,
)

/** The requests and repeats of this entry VM. */
internal class RepeatBudget(
    private val limits: RepeatLimits,
    /** When the process started; what an earlier one has repeated is not known. */
    private val startedAtMs: Long,
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    private class Window(
        /** When the rounding changes; at random at first, so that it does not change on all entry VMs at once. */
        var roundingUntilMs: Long,
        var rounding: Double,
    ) {
        val requestsAtMs = ArrayDeque<Long>()
        val repeatsAtMs = ArrayDeque<Long>()

        /** The repeats that were taken and have not been sent yet; they may reach a target in a later window. */
        var reserved = 0
    }

    private val windows = mutableMapOf<ServiceId, Window>()
    private val roundingMs = ROUNDING_WINDOWS * limits.windowMs

    /** Records a request for [service]. */
    fun recordRequest(service: ServiceId, nowMs: Long) {
        windowOf(service, nowMs).requestsAtMs.addLast(nowMs)
    }

    /**
     * Reserves one repeat for [service] until [recordSent] or [release], unless the share of this VM among [entryVms]
     * is used up.
     */
    fun tryTake(service: ServiceId, entryVms: Int, nowMs: Long): RepeatDecision {
        val window = windowOf(service, nowMs)
        return decide(window, entryVms, 0, nowMs).also { if (it.isTaken) window.reserved += 1 }
    }

    /** Records that a reserved repeat is sent now, and returns the number of repeats in the window with this one. */
    fun recordSent(service: ServiceId, nowMs: Long): Int {
        val window = windowOf(service, nowMs)
        window.reserved -= 1
        window.repeatsAtMs.addLast(nowMs)
        return window.repeatsAtMs.size
    }

    /** Returns a reserved repeat that is not sent. */
    fun release(service: ServiceId) {
        windows[service]?.let { it.reserved -= 1 }
    }

    private fun decide(window: Window, entryVms: Int, minimumBound: Int, nowMs: Long): RepeatDecision {
        val requests = window.requestsAtMs.size
        val used = window.repeatsAtMs.size + window.reserved
        val share = USED_SHARE * (limits.ratio * requests + allowanceOf(entryVms, nowMs))
        val bound = maxOf(minimumBound, floor(share + window.rounding).toInt())
        return RepeatDecision(used < bound, used, bound, requests, entryVms)
    }

    /**
     * Returns the part of the allowance of this VM; none while it may have been used in the window by an earlier
     * process, or by other entry VMs that did not count this one.
     */
    private fun allowanceOf(entryVms: Int, nowMs: Long): Double =
        if (nowMs - startedAtMs < UNCOUNTED_MS + limits.windowMs) 0.0 else limits.allowance / entryVms

    /**
     * Reserves one continuation of a run for [service] until [recordSent] or [release]. The first one of a run may use
     * the margin of the allowance that repeats leave, because its stream ends without it.
     */
    fun tryContinue(service: ServiceId, entryVms: Int, isFirst: Boolean, nowMs: Long): RepeatDecision {
        val window = windowOf(service, nowMs)
        val share = USED_SHARE * limits.ratio * window.requestsAtMs.size + allowanceOf(entryVms, nowMs)
        val firstBound = if (isFirst) floor(share).toInt() else 0
        return decide(window, entryVms, firstBound, nowMs).also { if (it.isTaken) window.reserved += 1 }
    }

    private fun windowOf(service: ServiceId, nowMs: Long): Window {
        val window = windows.getOrPut(service) { Window(nowMs + (nextRandom() * roundingMs).toLong(), nextRandom()) }
        window.requestsAtMs.removeUntil(nowMs - limits.windowMs)
        // A repeat that arrives late may share a window of the budget with one that is sent a whole window after it.
        window.repeatsAtMs.removeUntil(nowMs - limits.windowMs - ARRIVAL_DELAY_MS)
        if (nowMs >= window.roundingUntilMs) {
            window.rounding = nextRandom()
            window.roundingUntilMs = nowMs + roundingMs
        }
        return window
    }
}

private fun ArrayDeque<Long>.removeUntil(untilMs: Long) {
    while (isNotEmpty() && first() <= untilMs) removeFirst()
}
