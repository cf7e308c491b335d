/*
 * Places the requests of one entry VM at targets, and queues those for which no target has capacity. Confined to the
 * control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.Fingerprint
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.ServiceProfile
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How long after its start a process expects to discover targets. */
private const val DISCOVERY_MS = 10_000L

/** How long crash reports are sent repeatedly to control VMs that are watched already. */
private const val REPORT_CRASHES_MS = 10_000L

/** Beyond this number, the oldest crash reports are dropped. A report takes about 100 bytes in a message. */
private const val MAX_CRASH_REPORTS = 2_048

/** A request that needs a target. */
public data class PlacementRequest(
    public val requestId: RequestId,
    public val service: ServiceProfile,
    /** 0 for a plain service. */
    public val promptTokens: Int,
    /** The expected output, 0 for a plain service. */
    public val outputTokens: Int,
    /** The urgency class; 0 is the most urgent. */
    public val rank: Int,
    /** The latest time at which a placement still serves the request within its objective. */
    public val objectiveDeadlineMs: Long = Long.MAX_VALUE,
    /** Targets that were tried before. */
    public val excluded: Set<TargetId> = emptySet(),
)

/** A target that was chosen for a request; [Fleet.end] must be called for it. */
public class Placement internal constructor(
    public val request: PlacementRequest,
    public val target: KnownTarget,
    internal var use: TargetUse,
) {
    internal var hasEnded = false
}

/** The result of a [PlacementRequest]. */
public sealed interface PlacementResult {
    public data class Placed(public val placement: Placement) : PlacementResult

    /** Targets exist, but none has capacity; [waiting] requests wait for the same service at this VM. */
    public data class Full(public val waiting: Int, public val targets: Int) : PlacementResult

    /** No known target of the service accepts requests. */
    public data object NoTarget : PlacementResult
}

/** The targets, as used by this entry VM. */
public class Fleet internal constructor(
    private val clock: Clock,
    private val domain: FailureDomainId,
    private val budget: RepeatBudget,
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
    private val coldLimitPerS: (ServiceProfile) -> Double,
) {
    private val log = LogManager.getLogger(Fleet::class.java)
    private val startedAtMs = clock.nowMs()
    private val coldStarts = ColdStartLimiter()
    private val ownUse = mutableMapOf<TargetId, TargetUse>()
    private val failures = mutableMapOf<TargetId, FailureHistory>()
    private val waiting = mutableListOf<WaitingRequest>()
    private val crashReports = linkedMapOf<CrashReport, Long>()
    private val soundCauses = SoundCauses()

    private class WaitingRequest(val request: PlacementRequest, val result: CompletableDeferred<Placement>)

    private val admissionOrder: Comparator<WaitingRequest> =
        compareBy({ isLate(it.request) }, { it.request.rank }, { it.request.objectiveDeadlineMs })

    /** The current view. */
    public var view: FleetView = FleetView()
        private set

    /** Replaces the view with a newer one. */
    public fun update(view: FleetView) {
        this.view = view
        failures.keys.retainAll(view.targets.keys)
        coldStarts.retain(view.targets.keys)
        admitWaiting()
    }

    /** Returns the use of each target by this VM. */
    public fun use(): Map<TargetId, TargetUse> = ownUse.toMap()

    /**
     * Returns the crashes to be reported to a control VM, one report for each cause that was present, with the time
     * since the crash was noticed.
     *
     * @param isNewReceiver whether the control VM may lack earlier reports, as after its restart.
     */
    public fun crashReportAgesMs(isNewReceiver: Boolean = false): Map<CrashReport, Long> {
        val nowMs = clock.nowMs()
        crashReports.values.removeIf { nowMs - it > CRASH_RETENTION_MS }
        val maxAgeMs = if (isNewReceiver) CRASH_RETENTION_MS else REPORT_CRASHES_MS
        return crashReports.mapValues { (_, atMs) -> nowMs - atMs }.filterValues { it <= maxAgeMs }
    }

    /** Records that a possible cause was present at a target when it crashed, [ageMs] ago. */
    public fun recordCrash(report: CrashReport, ageMs: Long = 0) {
        crashReports.merge(report, clock.nowMs() - ageMs, ::minOf)
        if (crashReports.size > MAX_CRASH_REPORTS) crashReports.remove(crashReports.keys.first())
    }

    /** Records that a run has shown that [causes] crash no target. */
    public fun recordSound(causes: Set<Fingerprint>): Unit = soundCauses.record(causes, clock.nowMs())

    /** Returns which of [causes] runs of this VM have shown to be sound, with the time since then. */
    public fun soundAgesMs(causes: Set<Fingerprint>): Map<Fingerprint, Long> = soundCauses.agesMs(causes, clock.nowMs())

    /** Counts a request for [service] towards the budget of repeats. */
    public fun recordRequest(service: ServiceId): Unit = budget.recordRequest(service, clock.nowMs())

    /** Takes a repeat from the budget of [service], or returns false if it is used up. */
    public fun tryRepeat(service: ServiceId): Boolean = budget.tryTake(service, view.entryVms, clock.nowMs())

    /** Places [request] now or within [limitMs]. */
    public suspend fun place(request: PlacementRequest, limitMs: Long): PlacementResult {
        placeNow(request)?.let { return PlacementResult.Placed(it) }
        val known = candidatesOf(request.service.id).size
        if (known == 0 && !isDiscovering(request.service.id)) return PlacementResult.NoTarget
        val full = PlacementResult.Full(waiting.count { it.request.service.id == request.service.id }, known)
        if (limitMs <= 0) return full
        val entry = WaitingRequest(request, CompletableDeferred())
        waiting += entry
        var isTaken = false
        try {
            withTimeoutOrNull(limitMs) { entry.result.await() }
            // The request may have been admitted just as its time limit expired.
            if (!entry.result.isCompleted) return full
            isTaken = true
            return PlacementResult.Placed(entry.result.await())
        } finally {
            waiting.remove(entry)
            if (!isTaken && entry.result.isCompleted) end(entry.result.await(), UseOutcome.ABANDONED)
        }
    }

    /** Places the rest of a generation that runs at the target of [placement], or returns null. */
    public fun placeForMigration(placement: Placement, tokens: Int): Placement? {
        val request = placement.request.copy(excluded = setOf(placement.target.id))
        val requirements = TargetRequirements(request.service.engine, 0, tokens, placement.target.record.domain)
        val candidates = usableCandidates(request)
        val chosen =
            chooseOrNull(candidates, requirements, nextRandom)
                ?: candidates.minByOrNull { it.use.tokens }
                ?: return null
        return assign(request, chosen.target, TargetUse(1, tokens.toLong(), 0))
    }

    /** Reserves memory for a copy of a generation, or returns null if it is needed for requests. */
    public fun placeCopy(placement: Placement): Placement? {
        val engine = placement.request.service.engine ?: return null
        val request = placement.request.copy(excluded = setOf(placement.target.id))
        val all = candidatesOf(request.service.id).map { useOf(it.id) }
        val chosen =
            chooseForCopyOrNull(usableCandidates(request), all, placement.use.tokens, engine, nextRandom) ?: return null
        return assign(request, chosen.target, TargetUse(0, placement.use.tokens, 0))
    }

    /** Records that the run continues at its copy. */
    public fun promote(copy: Placement) {
        replaceUse(copy, copy.use.copy(running = 1))
    }

    /** Records that the target has processed the prompt and produces output. */
    public fun started(placement: Placement) {
        if (!placement.hasEnded) replaceUse(placement, placement.use.copy(unreadTokens = 0))
    }

    /** Ends a placement and admits waiting requests. */
    public fun end(placement: Placement, outcome: UseOutcome) {
        if (placement.hasEnded) return
        replaceUse(placement, TargetUse.NONE)
        placement.hasEnded = true
        failures.getOrPut(placement.target.id) { FailureHistory() }.record(outcome, clock.nowMs())
        admitWaiting()
    }

    /** Returns whether [target] gets no more requests and its runs should migrate to other targets. */
    public fun isLeaving(target: TargetId): Boolean =
        view.targets[target]?.let { it.record.phase != TargetPhase.READY } ?: true

    private fun placeNow(request: PlacementRequest): Placement? {
        val tokens = request.promptTokens + request.outputTokens
        val requirements =
            TargetRequirements(request.service.engine, request.promptTokens, tokens, domain, isLate(request))
        val chosen = chooseOrNull(usableCandidates(request), requirements, nextRandom) ?: return null
        return assign(request, chosen.target, TargetUse(1, requirements.tokens.toLong(), request.promptTokens.toLong()))
    }

    private fun assign(request: PlacementRequest, target: KnownTarget, use: TargetUse): Placement {
        val nowMs = clock.nowMs()
        if (target.coldUntilMs > nowMs) coldStarts.record(target.id, nowMs)
        val placement = Placement(request, target, TargetUse.NONE)
        replaceUse(placement, use)
        log.debug("placed request={} target={} use={}", request.requestId, target.id, use)
        return placement
    }

    private fun replaceUse(placement: Placement, use: TargetUse) {
        val current = ownUse[placement.target.id] ?: TargetUse.NONE
        val former = placement.use
        val next = TargetUse(
            current.running - former.running + use.running,
            current.tokens - former.tokens + use.tokens,
            current.unreadTokens - former.unreadTokens + use.unreadTokens,
        )
        placement.use = use
        if (next == TargetUse.NONE) ownUse.remove(placement.target.id) else ownUse[placement.target.id] = next
    }

    private fun admitWaiting() {
        for (entry in waiting.sortedWith(admissionOrder)) {
            if (entry.result.isCompleted) continue
            placeNow(entry.request)?.let { entry.result.complete(it) }
        }
    }

    /** After a restart of all control VMs, targets become known only with their next announcements. */
    private fun isDiscovering(service: ServiceId): Boolean =
        clock.nowMs() - startedAtMs < DISCOVERY_MS && view.targets.values.none { it.record.service == service }

    /** Returns the targets that accept requests, with or without free capacity. */
    private fun candidatesOf(service: ServiceId): List<KnownTarget> = view.targets.values.filter {
        it.record.service == service && it.record.phase == TargetPhase.READY && it.record.domain !in view.drained
    }

    /** Returns the targets that may get [request] now; silent or avoided ones only if there are no others. */
    private fun usableCandidates(request: PlacementRequest): List<Candidate> {
        val nowMs = clock.nowMs()
        val limit = coldLimitPerS(request.service)
        val eligible = candidatesOf(request.service.id).filter { target ->
            target.id !in request.excluded &&
                (
                    limit <= 0 || target.coldUntilMs <= nowMs || coldStarts.hasRoom(
                        target.id,
                        limit,
                        view.entryVms,
                        nowMs,
                    )
                    )
        }
        val preferred = eligible.filter { !it.isSilent && (failures[it.id]?.avoidUntilMs ?: 0) <= nowMs }
        return preferred.ifEmpty { eligible }.map { target ->
            Candidate(target, useOf(target.id), failures[target.id]?.share(nowMs) ?: 0.0)
        }
    }

    private fun useOf(target: TargetId): TargetUse =
        (ownUse[target] ?: TargetUse.NONE) + (view.othersUse[target] ?: TargetUse.NONE)

    private fun isLate(request: PlacementRequest): Boolean = clock.nowMs() > request.objectiveDeadlineMs
}
