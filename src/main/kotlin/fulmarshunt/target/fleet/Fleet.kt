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
import fulmarshunt.target.TargetInstance
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
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
    public data class Full(
        public val waiting: Int,
        public val targets: Int,
        /** The time after which the first target accepts requests again, if all of them have asked for a pause. */
        public val pausedForMs: Long = 0,
    ) : PlacementResult

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
    private val leaving = LeavingTargets()
    private val pauses = TargetPauses(nextRandom)

    /** What control VMs list, without what targets have told this VM. */
    private var listed = FleetView()
    private val viewState = MutableStateFlow(FleetView())

    private class WaitingRequest(
        val request: PlacementRequest,
        val untilMs: Long,
        /** The placement, or null if the request is refused before its time limit. */
        val result: CompletableDeferred<Placement?>,
    )

    private val admissionOrder: Comparator<WaitingRequest> =
        compareBy({ isLate(it.request) }, { it.request.rank }, { it.request.objectiveDeadlineMs })

    private val inUseState = MutableStateFlow(false)

    /** Whether a request of this VM is placed or waits for a target. */
    public val isInUse: StateFlow<Boolean> = inUseState.asStateFlow()

    /** The newest view: what control VMs list, and what targets have told this VM. */
    public val views: StateFlow<FleetView> = viewState.asStateFlow()

    /** The current view. */
    public val view: FleetView get() = viewState.value

    /** Replaces what control VMs list. */
    public fun update(listed: FleetView) {
        this.listed = listed
        val nowMs = clock.nowMs()
        leaving.expire(nowMs)
        pauses.expire(nowMs)
        failures.keys.retainAll(listed.targets.keys)
        coldStarts.retain(listed.targets.keys)
        publish()
    }

    private fun publish() {
        viewState.value = listed.copy(
            targets = listed.targets.mapValues { (_, target) ->
                val record = leaving.applyTo(target.record)
                if (record === target.record) target else target.copy(record = record)
            },
        )
        admitWaiting()
    }

    /** Records that [target] has said in a response that it is leaving. */
    public fun recordLeaving(target: KnownTarget) {
        if (!leaving.record(target.instance, clock.nowMs())) return
        log.info("target leaves target={} born={} source=response", target.id, target.record.startedAtMs)
        publish()
    }

    /** Returns the instances that are leaving although control VMs list them as ready. */
    public fun unlistedLeaving(): Set<TargetInstance> = leaving.instances.filterTo(mutableSetOf()) {
        val record = listed.targets[it.target]?.record
        record?.phase == TargetPhase.READY && record.instance == it
    }

    /** Records that [target] has refused a request and wants no others for [durationMs]. */
    public fun recordPause(target: KnownTarget, durationMs: Long) {
        val pauseMs = pauses.record(target.instance, durationMs, clock.nowMs())
        log.info("target pauses target={} askedMs={} pauseMs={}", target.id, durationMs, pauseMs)
        refuseHopeless()
    }

    /** Returns whether a running generation may continue at [target] now. */
    public fun tryContinue(target: KnownTarget): Boolean = pauses.tryContinue(target.instance, clock.nowMs())

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
        val known = candidatesOf(request.service.id)
        if (known.isEmpty() && !isDiscovering(request.service.id)) return PlacementResult.NoTarget
        val entry = WaitingRequest(request, clock.nowMs() + limitMs, CompletableDeferred())
        if (limitMs <= 0 || isHopeless(entry)) return shortage(request.service.id)
        waiting += entry
        noticeUse()
        var isTaken = false
        try {
            withTimeoutOrNull(limitMs) { awaitAdmission(entry) }
            // The request may have been admitted just as its time limit expired.
            val placement = if (entry.result.isCompleted) entry.result.await() else null
            isTaken = true
            return placement?.let { PlacementResult.Placed(it) } ?: shortage(request.service.id)
        } finally {
            waiting.remove(entry)
            noticeUse()
            if (!isTaken && entry.result.isCompleted) entry.result.await()?.let { end(it, UseOutcome.ABANDONED) }
        }
    }

    private suspend fun awaitAdmission(entry: WaitingRequest) {
        val pausedForMs = shortage(entry.request.service.id).pausedForMs
        if (pausedForMs > 0) {
            withTimeoutOrNull(pausedForMs) { entry.result.await() }
            admitWaiting()
        }
        entry.result.await()
    }

    /** Returns what is known of the shortage of targets of [service]. */
    public fun shortage(service: ServiceId): PlacementResult.Full {
        val nowMs = clock.nowMs()
        val known = candidatesOf(service)
        return PlacementResult.Full(
            waiting.count { it.request.service.id == service },
            known.size,
            known.minOfOrNull { pauses.remainingMs(it.instance, nowMs) } ?: 0,
        )
    }

    /** Returns whether targets are known, and none of them can take the request of [entry] while it waits. */
    private fun isHopeless(entry: WaitingRequest): Boolean {
        val known = candidatesOf(entry.request.service.id)
        val patienceMs = entry.untilMs - clock.nowMs()
        return known.isNotEmpty() && known.all {
            it.id in entry.request.excluded || pauses.remainingMs(it.instance, clock.nowMs()) > patienceMs
        }
    }

    /** Refuses the waiting requests that cannot be admitted any more, so that their callers can retry. */
    private fun refuseHopeless() {
        waiting.filter { !it.result.isCompleted && isHopeless(it) }.forEach { it.result.complete(null) }
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
        if (pauses.recordOutput(placement)) admitWaiting()
    }

    /** Ends a placement and admits waiting requests. */
    public fun end(placement: Placement, outcome: UseOutcome) {
        if (placement.hasEnded) return
        replaceUse(placement, TargetUse.NONE)
        placement.hasEnded = true
        failures.getOrPut(placement.target.id) { FailureHistory() }.record(outcome, clock.nowMs())
        pauses.recordEnd(placement, outcome)
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
        val use = TargetUse(1, requirements.tokens.toLong(), request.promptTokens.toLong())
        return assign(request, chosen.target, use).also { pauses.recordPlacement(it) }
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
        noticeUse()
    }

    private fun noticeUse() {
        inUseState.value = ownUse.isNotEmpty() || waiting.isNotEmpty()
    }

    /** Admits waiting requests whose limits have passed, as those on the starts at cold targets. */
    public fun retryWaiting(): Unit = admitWaiting()

    private fun admitWaiting() {
        if (waiting.isEmpty()) return
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
            target.id !in request.excluded && pauses.admits(target.instance, nowMs) &&
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
