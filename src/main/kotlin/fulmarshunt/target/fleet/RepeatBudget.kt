/*
 * Limits how many requests are sent to a second target, as a share of the requests in a sliding window. Without it,
 * the repeats of a failing service would overload what is left of it. The budget belongs to all entry VMs together;
 * each keeps to a share that depends only on its own requests. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId

/** The part of the budget that is used, so that windows of others that lie differently stay within it too. */
private const val USED_PART = 0.7

/** The budget of all entry VMs together. */
public data class RepeatLimits(
    /** Repeats per request. */
    public val ratio: Double,
    /** Repeats in a window that need no requests. */
    public val allowance: Double,
    public val windowMs: Long,
)

/** The requests and repeats of this entry VM. */
internal class RepeatBudget(private val limits: RepeatLimits) {
    private class Window {
        val requestsAtMs = ArrayDeque<Long>()
        val repeatsAtMs = ArrayDeque<Long>()
    }

    private val windows = mutableMapOf<ServiceId, Window>()

    /** Notes a request for [service]. */
    fun recordRequest(service: ServiceId, nowMs: Long) {
        windowOf(service, nowMs).requestsAtMs.addLast(nowMs)
    }

    /** Takes one repeat for [service]; false if the share of this VM among [entryVms] is used up. */
    fun tryTake(service: ServiceId, entryVms: Int, nowMs: Long): Boolean {
        val window = windowOf(service, nowMs)
        val bound = USED_PART * (limits.ratio * window.requestsAtMs.size + limits.allowance / entryVms)
        if (window.repeatsAtMs.size + 1 > bound) return false
        window.repeatsAtMs.addLast(nowMs)
        return true
    }

    private fun windowOf(service: ServiceId, nowMs: Long): Window {
        val window = windows.getOrPut(service) { Window() }
        for (times in listOf(window.requestsAtMs, window.repeatsAtMs)) {
            while (times.isNotEmpty() && nowMs - times.first() >= limits.windowMs) times.removeFirst()
        }
        return window
    }
}
