/*
 * The requests of an entry VM that wait for a target with free capacity, and the order in which they are admitted.
 * Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** A request that waits until [untilMs]. */
internal class WaitingRequest(val request: PlacementRequest, val untilMs: Long) {
    /** The placement, or null if the request is refused before its time limit. */
    val result: CompletableDeferred<Placement?> = CompletableDeferred()

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

/** Admits timely requests before late ones, and then by urgency. */
internal class WaitingRequests(private val isLate: (PlacementRequest) -> Boolean) {
    private val entries = mutableListOf<WaitingRequest>()

    private val admissionOrder: Comparator<WaitingRequest> =
        compareBy({ isLate(it.request) }, { it.request.rank }, { it.request.objectiveDeadlineMs })

    val isEmpty: Boolean get() = entries.isEmpty()

    fun count(service: ServiceId): Int = entries.count { it.request.service.id == service && !it.result.isCompleted }

    /** Returns how many others wait for the same service as [entry] and are admitted before it. */
    fun countAhead(entry: WaitingRequest): Int = entries.count {
        it !== entry && !it.result.isCompleted && it.request.service.id == entry.request.service.id &&
            admissionOrder.compare(it, entry) <= 0
    }

    fun add(entry: WaitingRequest) {
        entries += entry
    }

    fun remove(entry: WaitingRequest) {
        entries.remove(entry)
    }

    /** Admits the requests for which [place] returns a placement. */
    fun admit(place: (PlacementRequest) -> Placement?) {
        for (entry in entries.sortedWith(admissionOrder)) {
            if (entry.result.isCompleted) continue
            place(entry.request)?.let { entry.result.complete(it) }
        }
    }

    /** Refuses the requests that are [hopeless], the last to be admitted first, so that their callers can retry. */
    fun refuse(hopeless: (WaitingRequest) -> Boolean) {
        for (entry in entries.sortedWith(admissionOrder.reversed())) {
            if (!entry.result.isCompleted && hopeless(entry)) entry.result.complete(null)
        }
    }
}
