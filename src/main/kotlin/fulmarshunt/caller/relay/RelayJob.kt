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
import fulmarshunt.target.fleet.PlaceAsk
import fulmarshunt.target.fleet.PlaceResult
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.UseEnd
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
) {
    val tried: MutableSet<TargetId> = mutableSetOf()
    var soFar: AttemptsSoFar = AttemptsSoFar(0, 0)
    var unsent: Int = 0

    /** Whether the head of an answer was passed on. */
    var hasAnswered: Boolean = false

    /** How the caller was served, for the log. */
    var trace: StringBuilder = StringBuilder()

    val isStream: Boolean get() = route.repeatability == Repeatability.STREAM

    /** The tokens that the run will have in memory at its end, as far as can be told. */
    val expectedOutputTokens: Int
        get() {
            val facts = request.facts.generation ?: return 0
            val expected = facts.expectedOutputTokens ?: (facts.maxOutputTokens / 2)
            return expected.coerceIn(0, facts.maxOutputTokens)
        }

    fun ask(): PlaceAsk = PlaceAsk(
        id,
        service,
        if (service.engine == null) 0 else request.facts.generation?.promptTokens ?: 0,
        if (service.engine == null) 0 else expectedOutputTokens,
        rank,
        tried.toSet(),
    )
}

/** The places of one request. Every place is given back, also when the request is cancelled in between. */
internal class JobPlaces(private val fleet: Fleet, private val control: ControlThread) {
    private val held = mutableListOf<Placement>()

    suspend fun place(ask: PlaceAsk, limitMs: Long): PlaceResult = withContext(control.dispatch) {
        fleet.place(ask, limitMs).also { if (it is PlaceResult.Placed) held += it.placement }
    }

    suspend fun placeCopy(placement: Placement): Placement? =
        control.run { fleet.placeCopy(placement)?.also { held += it } }

    suspend fun placeMoved(placement: Placement, tokens: Int): Placement? =
        control.run { fleet.placeMoved(placement, tokens)?.also { held += it } }

    suspend fun tryRepeat(job: RelayJob): Boolean = control.run { fleet.tryRepeat(job.service.id) }

    fun promote(copy: Placement) {
        control.scope.launch { fleet.promote(copy) }
    }

    fun started(placement: Placement) {
        control.scope.launch { fleet.started(placement) }
    }

    fun end(placement: Placement, end: UseEnd) {
        control.scope.launch { fleet.end(placement, end) }
    }

    /** Gives back what is still held. */
    fun endAll() {
        control.scope.launch { held.forEach { fleet.end(it, UseEnd.ABANDONED) } }
    }
}
