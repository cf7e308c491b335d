/*
 * The requests of an entry VM that wait for a target with free capacity, and the order in which they are admitted.
 * Confined to the control thread.
 *
 * Requests that can meet their objective go before late ones, urgent ones before others unless these would be starved,
 * then those of the account that had least, and then those that are due first. A late return keeps its place, because
 * its objective counts from the caller's first attempt. A request that does not fit may be passed by smaller ones, but
 * only a few times: large requests would otherwise wait for as long as there are small ones.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ClientAccountId
import fulmarshunt.ServiceId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** The capacity that smaller requests may take while a larger one waits, as a multiple of what that one needs. */
private const val MAX_PASSED_FACTOR = 4.0

/**
 * The fraction of its wait for which a request that was passed holds back smaller ones. Other entry VMs do not know of
 * it, so that a longer hold may leave capacity to them without helping the request.
 */
private const val MAX_HOLD_FRACTION = 0.25

/** A request that waits from [sinceMs] until [untilMs]. */
internal class WaitingRequest(val request: PlacementRequest, val sinceMs: Long, val untilMs: Long) {
    /** The placement, or null if the request is refused before its time limit. */
    val result: CompletableDeferred<Placement?> = CompletableDeferred()

    val capacity: Double = capacityOf(request)

    /** The capacity that smaller requests took although this one was admitted before them. */
    var passedCapacity: Double = 0.0

    /** When this request began to hold back smaller ones. */
    var holdsSinceMs: Long? = null

    val isWaiting: Boolean get() = !result.isCompleted
    val service: ServiceId get() = request.service.id

    /** Waits for the result; calls [retry] each time that a target accepts requests again, after [pausedForMs]. */
    suspend fun await(pausedForMs: () -> Long, retry: () -> Unit) {
        while (!result.isCompleted) {
            val pauseMs = pausedForMs()
            if (pauseMs <= 0) break
            withTimeoutOrNull(pauseMs) { result.await() }
            retry()
        }
        result.await()
    }
}

/** Requests that compete for the same capacity with the same urgency. */
private data class ShareGroup(val service: ServiceId, val rank: Int)

private val WaitingRequest.group: ShareGroup get() = ShareGroup(service, request.rank)

/** The place of [entry] in the order of admission. */
private class Position(val entry: WaitingRequest, val isLate: Boolean, val hasItsShare: Boolean, val round: Int)

private val ADMISSION_ORDER: Comparator<Position> = compareBy<Position> { it.isLate }
    .thenBy { it.hasItsShare }
    .thenBy { it.entry.request.rank }
    .thenBy { it.round }
    .thenBy { it.entry.request.objectiveDeadlineMs }

/** Orders requests, and admits them. */
internal class WaitingRequests(
    private val nowMs: () -> Long,
    private val weightOf: (ClientAccountId?) -> Double = { 1.0 },
) {
    private val entries = mutableListOf<WaitingRequest>()
    private val starvation = StarvationGuard()

    /** The shares of accounts, for groups of which requests wait. */
    private val shares = mutableMapOf<ShareGroup, AccountShares>()

    val isEmpty: Boolean get() = entries.isEmpty()

    fun count(service: ServiceId): Int = entries.count { it.service == service && it.isWaiting }

    /** Returns what waits for the same service as [entry] and is admitted before it. */
    fun ahead(entry: WaitingRequest): Ahead {
        val others = aheadOf(entry)
        return Ahead(others.size, others.sumOf { it.capacity })
    }

    private fun aheadOf(entry: WaitingRequest): List<WaitingRequest> {
        val others = entries.filter { it.isWaiting && it.service == entry.service }
        if (others.isEmpty()) return others
        return inOrder(if (entry in others) others else others + entry).takeWhile { it !== entry }
    }

    fun add(entry: WaitingRequest) {
        entries += entry
        shares.getOrPut(entry.group) { AccountShares(weightOf) }.join(entry.request.account)
    }

    /** Removes [entry], which was placed, refused or given up. */
    fun remove(entry: WaitingRequest) {
        if (entries.remove(entry) && entries.none { it.group == entry.group }) shares.remove(entry.group)
    }

    /** Records that [entry] ended without a placement. */
    fun recordUnserved(entry: WaitingRequest) {
        starvation.record(entry.request, isServed = false, nowMs())
    }

    /** Returns the placement of a new request that need not wait, or null. */
    fun admitNewOrNull(entry: WaitingRequest, place: (PlacementRequest) -> Placement?): Placement? {
        val ahead = aheadOf(entry)
        if (ahead.any { it.holdsBack(entry) }) return null
        return place(entry.request)?.also { recordPlaced(entry, ahead) }
    }

    /** Admits the requests for which [place] returns a placement. */
    fun admit(place: (PlacementRequest) -> Placement?) {
        val unplaced = mutableMapOf<ServiceId, MutableList<WaitingRequest>>()
        var remaining = entries.filter { it.isWaiting }
        while (remaining.isNotEmpty()) {
            remaining = inOrder(remaining)
            // The order changes with each placement, because the account of the request has more than before.
            val index = remaining.indexOfFirst { entry ->
                val ahead = unplaced.getOrPut(entry.service) { mutableListOf() }
                val placement = if (ahead.any { it.holdsBack(entry) }) null else place(entry.request)
                if (placement == null) {
                    ahead += entry
                } else {
                    entry.result.complete(placement)
                    recordPlaced(entry, ahead)
                }
                placement != null
            }
            if (index < 0) return
            remaining = remaining.drop(index + 1)
        }
    }

    /** Refuses the requests that are [hopeless], the last to be admitted first, so that their callers can retry. */
    fun refuse(hopeless: (WaitingRequest, Ahead) -> Boolean) {
        val ahead = mutableMapOf<ServiceId, Ahead>()
        val judged = inOrder(entries.filter { it.isWaiting }).map { entry ->
            val before = ahead[entry.service] ?: Ahead(0, 0.0)
            ahead[entry.service] = Ahead(before.requests + 1, before.capacity + entry.capacity)
            entry to before
        }
        for ((entry, before) in judged.asReversed()) if (hopeless(entry, before)) entry.result.complete(null)
    }

    /** Returns [candidates] in the order of admission, which holds until the next placement. */
    private fun inOrder(candidates: List<WaitingRequest>): List<WaitingRequest> {
        if (candidates.size < 2) return candidates
        val atMs = nowMs()
        val starved = candidates.mapTo(mutableSetOf()) { it.service }
            .associateWith { starvation.starvedRanks(it, atMs) }
        return candidates.map { entry ->
            val request = entry.request
            val hasItsShare = request.rank !in starved.getValue(entry.service)
            val isAccountStarved = starvation.isAccountStarved(request, atMs)
            val round = if (isAccountStarved) -1 else shares[entry.group]?.roundOf(request.account) ?: 0
            Position(entry, request.isLate(atMs), hasItsShare, round)
        }.sortedWith(ADMISSION_ORDER).map { it.entry }
    }

    /** Returns whether [entry] leaves capacity to this larger request, which it would pass. */
    private fun WaitingRequest.holdsBack(entry: WaitingRequest): Boolean {
        if (passedCapacity < MAX_PASSED_FACTOR * capacity || entry.capacity >= capacity) return false
        val atMs = nowMs()
        // Late requests get less of a target, and others may have been refused by all that have room.
        if (request.isLate(atMs) || request.excluded.isNotEmpty()) return false
        val sinceMs = holdsSinceMs ?: atMs.also { holdsSinceMs = it }
        return atMs - sinceMs < (untilMs - this.sinceMs) * MAX_HOLD_FRACTION
    }

    private fun recordPlaced(entry: WaitingRequest, passed: List<WaitingRequest>) {
        val atMs = nowMs()
        starvation.record(entry.request, isServed = true, atMs)
        passed.filter { it.capacity > entry.capacity }.forEach { it.passedCapacity += entry.capacity }
        val group = entry.group
        // A late request waits until no timely one does, so that its account would hold the others' virtual time back.
        val isLate = entry.request.isLate(atMs)
        val waiting = entries
            .filter { it !== entry && it.isWaiting && it.group == group && it.request.isLate(atMs) == isLate }
            .mapTo(mutableSetOf()) { it.request.account }
        shares[group]?.recordPlaced(entry.request.account, entry.capacity, waiting)
    }
}

/** Returns whether a placement comes too late for the objective of the request. */
internal fun PlacementRequest.isLate(nowMs: Long): Boolean = nowMs > objectiveDeadlineMs
