/*
 * Keeps ranks and client accounts from being starved by others that go first.
 *
 * It answers lasting overload in which urgent requests alone fill the capacity, or in which the accounts that ask for
 * little together do. A rank that is served less than half as often as a more urgent one goes first until it is not,
 * and so does an account that is served less than a third as often as all of the same rank. An urgent rank is
 * therefore never served less often than a less urgent one for this reason.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ClientAccountId
import fulmarshunt.ServiceId
import fulmarshunt.leastRecentlyUsedMap
import kotlin.math.exp

/** A rank that is served less often than this fraction of how often a more urgent one is goes first. */
private const val MIN_RANK_FRACTION = 0.5

/**
 * An account that is served less often than this fraction of how often all are goes first. It bounds what an account
 * can take from others by sending more: a third of the capacity.
 */
private const val MIN_ACCOUNT_FRACTION = 1 / 3.0

/** The time after which a request counts for a third; bursts last several seconds. */
private const val MEMORY_MS = 10_000.0

/** With fewer recent requests, one of them would decide. */
private const val MIN_REQUESTS = 4.0
private const val MAX_GROUPS = 256
private const val MAX_ACCOUNTS = 1_024

/** How many requests there were lately, and how many of them were served. */
private class ServedCount {
    private var requests = 0.0
    private var served = 0.0
    private var countedAtMs = 0L

    fun record(isServed: Boolean, nowMs: Long) {
        decayUntil(nowMs)
        requests += 1
        if (isServed) served += 1
    }

    /** Returns the share of requests that were served, or null if there were few. */
    fun shareOrNull(nowMs: Long): Double? {
        decayUntil(nowMs)
        return if (requests < MIN_REQUESTS) null else served / requests
    }

    private fun decayUntil(nowMs: Long) {
        val kept = exp(-(nowMs - countedAtMs).coerceAtLeast(0) / MEMORY_MS)
        requests *= kept
        served *= kept
        countedAtMs = nowMs
    }
}

private class AccountCounts {
    val all = ServedCount()
    val each = leastRecentlyUsedMap<ClientAccountId?, ServedCount>(MAX_ACCOUNTS)
}

/** Knows how often the requests of each rank and account were served lately at this entry VM. */
internal class StarvationGuard {
    private val ranks = leastRecentlyUsedMap<ServiceId, MutableMap<Int, ServedCount>>(MAX_GROUPS)
    private val accounts = leastRecentlyUsedMap<Pair<ServiceId, Int>, AccountCounts>(MAX_GROUPS)

    /** Records a request for which a target was found, or that was refused. */
    fun record(request: PlacementRequest, isServed: Boolean, nowMs: Long) {
        val service = request.service.id
        ranks.getOrPut(service) { leastRecentlyUsedMap(MAX_GROUPS) }.getOrPut(request.rank) { ServedCount() }
            .record(isServed, nowMs)
        val counts = accounts.getOrPut(service to request.rank) { AccountCounts() }
        counts.all.record(isServed, nowMs)
        counts.each.getOrPut(request.account) { ServedCount() }.record(isServed, nowMs)
    }

    /** Returns the ranks of requests for [service] that are served too rarely. */
    fun starvedRanks(service: ServiceId, nowMs: Long): Set<Int> {
        val shares = sortedMapOf<Int, Double>()
        ranks[service]?.forEach { (rank, count) -> count.shareOrNull(nowMs)?.let { shares[rank] = it } }
        var highest = 0.0
        return shares.filterTo(mutableMapOf()) { (_, share) ->
            (share < highest * MIN_RANK_FRACTION).also { highest = maxOf(highest, share) }
        }.keys
    }

    /** Returns whether the account of [request] is served too rarely. */
    fun isAccountStarved(request: PlacementRequest, nowMs: Long): Boolean {
        val counts = accounts[request.service.id to request.rank] ?: return false
        val share = counts.each[request.account]?.shareOrNull(nowMs) ?: return false
        return share < (counts.all.shareOrNull(nowMs) ?: 0.0) * MIN_ACCOUNT_FRACTION
    }
}
