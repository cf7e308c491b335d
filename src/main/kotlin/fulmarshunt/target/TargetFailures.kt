/*
 * The attempts that failed at one target recently, and their consequences. A single failed attempt is no proof of a
 * crash: the link between one entry VM and the target may be broken while the target works.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint
import fulmarshunt.VmId

/**
 * After an attempt found the target gone, a target that sends no announcement for this long counts as crashed. Targets
 * announce themselves every second over other connections, so neither a fault of the attempt's link nor one lost
 * announcement causes a silence of this length.
 */
internal const val GONE_SILENCE_MS: Long = 2_500

/** An announcement that arrives this soon after a failure may have been sent before it. */
internal const val IN_FLIGHT_MS: Long = 500

/** An entry VM whose link to a target failed gets no further grant there for this long. */
private const val UNREACHABLE_MS = 3_000L

/**
 * This many lost tickets within [LOST_WINDOW_MS] and without a token between them count as a crash; fewer can be caused
 * by one broken connection.
 */
private const val LOST_TICKETS = 3
private const val LOST_WINDOW_MS = 10_000L

private class FailedTicket(val fingerprint: Fingerprint, val grantedMs: Long, val atMs: Long)

/** The recent failures at one target. */
internal class TargetFailures {
    private val failed = ArrayDeque<FailedTicket>()
    private val unreachableFrom = HashMap<VmId, Long>()
    private var consecutiveLost = 0

    /** The time at which an attempt first found the target gone without an announcement since, or -1. */
    private var goneSinceMs = -1L

    /** True if an attempt found the target gone and no later announcement has shown that it is alive. */
    val isGoneReported: Boolean get() = goneSinceMs >= 0

    fun recordGone(ticket: Ticket, nowMs: Long) {
        if (!isGoneReported) goneSinceMs = nowMs
        unreachableFrom[ticket.request.vm] = nowMs
        add(ticket, nowMs)
    }

    /** Records a lost ticket and returns whether the target counts as crashed now. */
    fun recordLost(ticket: Ticket, nowMs: Long): Boolean {
        add(ticket, nowMs)
        consecutiveLost++
        return hasLostTooMany(nowMs)
    }

    /** Records that tokens or a response arrived from the target. */
    fun recordSuccess() {
        consecutiveLost = 0
    }

    fun recordAnnouncement(nowMs: Long) {
        if (nowMs - goneSinceMs >= IN_FLIGHT_MS) goneSinceMs = -1
    }

    fun hasLostTooMany(nowMs: Long): Boolean {
        dropOld(nowMs)
        return minOf(failed.size, consecutiveLost) >= LOST_TICKETS
    }

    /** True while the link between [vm] and the target may still be broken. */
    fun isUnreachableFrom(vm: VmId, nowMs: Long): Boolean {
        val failedMs = unreachableFrom[vm] ?: return false
        if (nowMs - failedMs < UNREACHABLE_MS) return true
        unreachableFrom.remove(vm)
        return false
    }

    /** Returns the requests that failed so recently that the same fault may have ended them, and their grant times. */
    fun recent(nowMs: Long): List<Pair<Fingerprint, Long>> {
        dropOld(nowMs)
        return failed.map { it.fingerprint to it.grantedMs }
    }

    /** Clears the failures of a target that is alive again. */
    fun clear() {
        failed.clear()
        consecutiveLost = 0
        goneSinceMs = -1
    }

    private fun add(ticket: Ticket, nowMs: Long) {
        failed += FailedTicket(ticket.request.fingerprint, ticket.grantedMs, nowMs)
    }

    private fun dropOld(nowMs: Long) {
        while (failed.isNotEmpty() && nowMs - failed.first().atMs > LOST_WINDOW_MS) failed.removeFirst()
    }
}
