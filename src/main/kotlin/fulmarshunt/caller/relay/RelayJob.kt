/*
 * One request on its way to targets, with the places that it holds.
 */
package fulmarshunt.caller.relay

import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.RequestId
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.PlacementRequest
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.UseOutcome
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** A request that was routed and may be sent to targets. Confined to the traffic thread. */
internal class RelayJob(
    val request: CallerRequest,
    val id: RequestId,
    val route: Route,
    val service: ServiceProfile,
    val account: ClientAccountId?,
    val rank: Int,
    val fingerprint: Fingerprint?,
    val deadlineAtMs: Long,
    /** When the request should be answered, counted from the caller's first attempt. */
    val objectiveAtMs: Long,
    /** The tokens that the generation is expected to have. */
    val expectedOutputTokens: Int,
) {
    val tried: MutableSet<TargetId> = mutableSetOf()
    var soFar: AttemptsSoFar = AttemptsSoFar(0, 0)
    var unsent: Int = 0

    /** Whether the head of an answer was passed on. */
    var hasAnswered: Boolean = false

    /** How long the request has waited for places. */
    var waitedMs: Long = 0

    /** The time from the request to the first event of its stream. */
    var firstEventAfterMs: Long? = null

    /** The longest pause between events of its stream. */
    var longestGapMs: Long = 0

    /** How the caller was served, for the log. */
    var trace: StringBuilder = StringBuilder()

    val isStream: Boolean get() = route.repeatability == Repeatability.STREAM

    /** Whether the caller has been refused before and has come back. */
    val isReturned: Boolean get() = objectiveAtMs < request.arrivedAtMs + route.objectiveMs

    fun ask(): PlacementRequest = PlacementRequest(
        id,
        service,
        if (service.engine == null) 0 else request.facts.generation?.promptTokens ?: 0,
        if (service.engine == null) 0 else expectedOutputTokens,
        rank,
        timelyUntilMs(this),
        tried.toSet(),
    )
}

/** The places of one request. Every place is given back, also when the request is cancelled in between. */
internal class JobPlaces(private val fleet: Fleet, private val control: ControlThread) {
    private val held = mutableListOf<Placement>()

    suspend fun place(ask: PlacementRequest, limitMs: Long): PlacementResult = withContext(control.dispatch) {
        fleet.place(ask, limitMs).also { if (it is PlacementResult.Placed) held += it.placement }
    }

    suspend fun placeCopy(placement: Placement): Placement? =
        control.run { fleet.placeCopy(placement)?.also { held += it } }

    suspend fun placeForMigration(placement: Placement, tokens: Int): Placement? =
        control.run { fleet.placeForMigration(placement, tokens)?.also { held += it } }

    suspend fun tryRepeat(job: RelayJob): Boolean = control.run { fleet.tryRepeat(job.service.id) }

    fun promote(copy: Placement) {
        control.scope.launch { fleet.promote(copy) }
    }

    fun started(placement: Placement) {
        control.scope.launch { fleet.started(placement) }
    }

    fun end(placement: Placement, end: UseOutcome) {
        control.scope.launch { fleet.end(placement, end) }
    }

    /** Gives back what is still held. */
    fun endAll() {
        control.scope.launch { held.forEach { fleet.end(it, UseOutcome.ABANDONED) } }
    }
}
