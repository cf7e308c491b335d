/*
 * A request that is relayed to targets, and the placements that it holds.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.process.ControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.PlacementRequest
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.UseOutcome
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** A request that has been routed and may be sent to targets. Confined to the traffic thread. */
internal class RelayJob(
    val request: CallerRequest,
    val id: RequestId,
    val route: Route,
    val service: ServiceProfile,
    val account: ClientAccountId?,
    val rank: Int,
    /** What of the request may crash its target. */
    val causes: CrashCauses,
    val deadlineAtMs: Long,
    /** When the response is due, counted from the caller's first attempt. */
    val objectiveAtMs: Long,
    /** The number of tokens that the generation is expected to have. */
    val expectedOutputTokens: Int,
) {
    val triedTargets: MutableSet<TargetId> = mutableSetOf()

    /** The addresses to which the request was sent, or was about to be sent. */
    val sentTo: MutableSet<Address> = mutableSetOf()
    var attempts: AttemptCounts = AttemptCounts(0, 0)

    /** The number of attempts for which no connection was opened. */
    var unsent: Int = 0

    /** Whether the request has been sent to a target that has not refused it. */
    var mayBeAtTarget: Boolean = false

    /** How long the request has waited for placements. */
    var waitedMs: Long = 0

    /** The time from the arrival of the request to the first event of its stream. */
    var firstEventAfterMs: Long? = null

    /** The longest pause between events of its stream. */
    var longestGapMs: Long = 0

    /** The targets that served the request, and how its run got from one to the next, for the log. */
    var trace: StringBuilder = StringBuilder()

    val isStream: Boolean get() = route.repeatability == Repeatability.STREAM

    /** Whether the caller has been refused before and now retries. */
    val isCallerRetry: Boolean get() = objectiveAtMs < request.arrivedAtMs + route.objectiveMs

    fun toPlacementRequest(): PlacementRequest = PlacementRequest(
        id,
        service,
        if (service.engine == null) 0 else request.metadata.generation?.promptTokens ?: 0,
        if (service.engine == null) 0 else expectedOutputTokens,
        rank,
        timelyUntilMs(this),
        triedTargets.toSet(),
        account,
        route.name,
    )
}

/** The placements of one request. Each is released, also when the request is cancelled while one is being made. */
internal class JobPlacements(
    private val fleet: Fleet,
    private val control: ControlThread,
    private val meters: RelayMeters,
) {
    private val held = mutableListOf<Placement>()

    /** The services of repeats that were granted and have not been sent. */
    private val reservedRepeats = mutableListOf<ServiceId>()

    /** The services of continuations that were granted and have not been sent. */
    private val reservedContinuations = mutableListOf<ServiceId>()

    /** Whether the generation was sent to another target to continue there. */
    private var hasContinued = false

    suspend fun place(request: PlacementRequest, limitMs: Long): PlacementResult = withContext(control.dispatch) {
        fleet.place(request, limitMs).also { result ->
            if (result is PlacementResult.Placed) {
                held += result.placement
                reservedRepeats.forEach(fleet.repeats::recordSent)
                reservedRepeats.clear()
            }
        }
    }

    suspend fun placeCopy(placement: Placement): Placement? =
        control.run { fleet.placeCopy(placement)?.also { held += it } }

    suspend fun placeForMigration(placement: Placement, tokens: Int, refusedBy: Set<TargetId>): Placement? =
        control.run { fleet.placeForMigration(placement, tokens, refusedBy)?.also { held += it } }

    suspend fun shortage(job: RelayJob): PlacementResult.Full = control.run { fleet.shortage(job.service.id) }

    /** Returns whether a running generation may continue at the target of [placement] now. */
    suspend fun tryContinue(placement: Placement): Boolean = control.run {
        fleet.tryContinue(placement.target, isFirst = !hasContinued).also {
            if (it) reservedContinuations += placement.target.record.service
        }
    }

    /** Records that the continuation that [tryContinue] has allowed is sent. */
    suspend fun recordContinuation(): Unit = control.run {
        hasContinued = true
        reservedContinuations.removeLastOrNull()?.let(fleet.repeats::recordSent)
    }

    /** Returns a continuation that [tryContinue] has allowed and that is not sent. */
    suspend fun returnContinuation(): Unit = control.run {
        reservedContinuations.removeLastOrNull()?.let(fleet.repeats::release)
    }

    /** Takes a repeat of [job] from the budget of its service, or returns false if it is used up. */
    suspend fun tryRepeat(job: RelayJob): Boolean {
        val service = job.service.id
        val decision = control.run {
            fleet.repeats.tryTake(service).also { if (it.isTaken) reservedRepeats += service }
        }
        meters.repeatDecided(service.value, decision)
        return decision.isTaken
    }

    fun promote(copy: Placement) {
        control.scope.launch { fleet.promote(copy) }
    }

    /** Records that the target of [placement] made the first event of a stream, [elapsedMs] after the request. */
    fun started(placement: Placement, elapsedMs: Long) {
        control.scope.launch {
            fleet.started(placement)
            fleet.evidence.recordFirstEvent(placement, elapsedMs)
        }
    }

    /** Records that the target of [placement] served a plain request in [elapsedMs]. */
    fun answered(placement: Placement, elapsedMs: Long) {
        control.scope.launch { fleet.evidence.recordAnswer(placement, elapsedMs) }
    }

    /** Records that the target of [placement] made [events] in [elapsedMs]. */
    fun recordEvents(placement: Placement, events: Long, elapsedMs: Long) {
        control.scope.launch { fleet.evidence.recordEvents(placement, events, elapsedMs) }
    }

    fun end(placement: Placement, outcome: UseOutcome) {
        control.scope.launch { fleet.end(placement, outcome) }
    }

    /** Records that a run has shown that [causes] crash no target. */
    fun recordSound(causes: Set<Fingerprint>) {
        if (causes.isNotEmpty()) control.scope.launch { fleet.crashes.recordSound(causes) }
    }

    /** Records that a plain target has served [request], which many callers may send in the same way. */
    fun recordServed(request: Fingerprint?) {
        if (request != null) control.scope.launch { fleet.crashes.recordServed(request) }
    }

    /** Releases the placements that are still held, and the repeats that were not sent. */
    fun endAll() {
        control.scope.launch {
            held.forEach {
                if (!it.hasEnded) fleet.evidence.recordGivenUp(it)
                fleet.end(it, UseOutcome.ABANDONED)
            }
            (reservedRepeats + reservedContinuations).forEach(fleet.repeats::release)
            reservedRepeats.clear()
            reservedContinuations.clear()
        }
    }
}
