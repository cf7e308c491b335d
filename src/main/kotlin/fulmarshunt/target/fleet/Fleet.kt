/*
 * Places the requests of one entry VM at targets, and queues those for which no target has capacity. Confined to the
 * control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ClientAccountId
import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.target.TargetInstance
import fulmarshunt.target.rollout.TrialBounds
import fulmarshunt.target.rollout.TrialObservation
import fulmarshunt.target.rollout.VersionTraffic
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How long after its start a process expects to discover targets. */
private const val DISCOVERY_MS = 10_000L

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
    /** Null for a request without a client account. */
    public val account: ClientAccountId? = null,
    /** The name of the route, by which versions are compared. */
    public val route: String = "",
)

/** A target that was chosen for a request; [Fleet.end] must be called for it. */
public class Placement internal constructor(
    public val request: PlacementRequest,
    public val target: KnownTarget,
    internal var use: TargetUse,
    internal val placedAtMs: Long = 0,
) {
    internal var hasEnded = false

    /** What this placement shows of its version; null if no roll-out of its service ran. */
    internal var observation: TrialObservation? = null

    /** The work of the target until it answers; 0 if its answer does not show how fast it is. */
    internal var workAhead = 0.0
    internal var hasAnswered = false

    /** Whether the target has produced output. */
    internal var hasStarted = false
}

/** Why a request was refused although targets exist. */
public enum class RefusalReason {
    /** No target accepts requests soon enough. */
    PAUSED,

    /** It would probably not be placed while it may wait. */
    FORECAST,

    /** It may not wait longer, or no target that it may use is left. */
    WAITED,
}

/** The result of a [PlacementRequest]. */
public sealed interface PlacementResult {
    public data class Placed(public val placement: Placement) : PlacementResult

    /** Targets exist, but none has capacity; [waiting] requests wait for the same service at this VM. */
    public data class Full(
        public val waiting: Int,
        public val targets: Int,
        /** The time after which the first target accepts requests again, if all want none or few of them. */
        public val pausedForMs: Long = 0,
        /** The wait of the request that got this result, if others of this VM are ahead of it and enough is known. */
        public val forecast: WaitForecast? = null,
        /** The time after which the caller should return, if there is a forecast. */
        public val roomAfterMs: Long? = null,
    ) : PlacementResult {
        /** Why the request was not placed. */
        public val reason: RefusalReason
            get() = when {
                pausedForMs > 0 -> RefusalReason.PAUSED
                forecast != null && forecast.patienceMs > 0 && forecast.isTooLong -> RefusalReason.FORECAST
                else -> RefusalReason.WAITED
            }
    }

    /** No known target of the service accepts requests. */
    public data object NoTarget : PlacementResult
}

/** The targets, as used by this entry VM. */
public class Fleet internal constructor(
    private val clock: Clock,
    private val domain: FailureDomainId,
    budget: RepeatBudget,
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
    /** Null if the deployment has no roll-outs. */
    trialBounds: TrialBounds? = null,
    coldLimitPerS: (ServiceProfile) -> Double,
) {
    private val log = LogManager.getLogger(Fleet::class.java)
    private val startedAtMs = clock.nowMs()
    private val ownUse = OwnUse()
    private val waiting = WaitingRequests(clock::nowMs)
    private val holdingTimes = HoldingTimes()
    private val shortages =
        Shortages(clock, waiting, {
            view.acceptingTargets(it)
        }, { target, ahead -> admission.unavailableForMs(target, ahead) }) {
            holdingTimes.rateOrNull(it, view.acceptingTargets(it.id), ownUse::of, ::useOf, view.entryVms)
        }
    private val leaving = LeavingTargets()

    /** What control VMs list, without what targets have told this VM. */
    private var listed = FleetView()
    private val viewState = MutableStateFlow(FleetView())

    /** The budget of repeats. */
    public val repeats: Repeats = Repeats(budget, clock) { view.entryVms }

    /** What targets say of their load, and how fast they are. */
    public val evidence: TargetEvidence = TargetEvidence(clock, ownUse) { view }
    private val admission = TargetAdmission(ownUse, { view }, clock, nextRandom, evidence, coldLimitPerS)

    /** What targets have said of their limits. */
    public val limits: TargetLimits get() = admission.limits

    /** The number of targets whose pace is limited, because they have just started or recovered. */
    public val pacedTargets: Int get() = admission.pace.limitedTargets

    /** What this VM knows of crashes. */
    public val crashes: CrashKnowledge = CrashKnowledge(clock)

    /** The versions of services that requests go to. */
    public val versions: VersionTraffic = VersionTraffic(trialBounds, clock, nextRandom)

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
        versions.update(listed)
        leaving.expire(clock.nowMs())
        admission.expire(listed.targets)
        evidence.retain(listed.targets.values)
        publish()
    }

    private fun publish() {
        admission.update(listed.targets.values)
        viewState.value = listed.copy(
            targets = listed.targets.mapValues { (_, target) ->
                val record = versions.applyTo(leaving.applyTo(target.record))
                if (record === target.record) target else target.copy(record = record)
            },
            limited = limits.limited,
        )
        admission.pace.update(view.targets.values)
        retryWaiting()
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
        val (pauseMs, hasTrial) = admission.recordPause(target, durationMs)
        log.info(
            "target pauses target={} askedMs={} pauseMs={} placed={} hasTrial={}",
            target.id,
            durationMs,
            pauseMs,
            ownUse.of(target.id).running,
            hasTrial,
        )
        waiting.refuse(shortages::isHopeless)
    }

    /** Records what targets have said of their limits; [isDirect] says that they said it to this VM. */
    public fun recordLimits(statements: List<LimitStatement>, isDirect: Boolean) {
        if (!limits.record(statements, isDirect)) return
        publish()
        waiting.refuse(shortages::isHopeless)
    }

    /**
     * Returns whether a running generation may continue at [target] now, and reserves a repeat of the budget for it;
     * [isFirst] says that it has not continued before, nor been sent to continue in vain.
     */
    public fun tryContinue(target: KnownTarget, isFirst: Boolean = true): Boolean {
        val service = target.record.service
        return admission.tryContinue(
            target,
            takeRepeat = { repeats.tryContinue(service, isFirst).isTaken },
            releaseRepeat = { repeats.release(service) },
        )
    }

    /** Returns the use of each target by this VM, with the places that it holds. */
    public fun use(): Map<TargetId, TargetUse> = admission.use()

    /** Places [request] now or within [limitMs]. */
    public suspend fun place(request: PlacementRequest, limitMs: Long): PlacementResult {
        val nowMs = clock.nowMs()
        val entry = WaitingRequest(request, nowMs, nowMs + limitMs)
        waiting.admitNewOrNull(entry, ::placeNow)?.let { return PlacementResult.Placed(it) }
        val result = awaitPlace(entry, limitMs)
        if (result !is PlacementResult.Placed) waiting.recordUnserved(entry)
        return result
    }

    private suspend fun awaitPlace(entry: WaitingRequest, limitMs: Long): PlacementResult {
        val service = entry.service
        val known = view.acceptingTargets(service)
        // After a restart of all control VMs, targets become known only with their next announcements.
        val isDiscovering = clock.nowMs() - startedAtMs < DISCOVERY_MS &&
            view.targets.values.none { it.record.service == service }
        if (known.isEmpty() && !isDiscovering) return PlacementResult.NoTarget
        val ahead = waiting.ahead(entry)
        if (limitMs <= 0 || shortages.isHopeless(entry, ahead)) return shortages.refuse(entry)
        // The requests that are admitted after this one now wait for longer.
        val delaysOthers = ahead.requests < waiting.count(service)
        waiting.add(entry)
        if (delaysOthers) waiting.refuse(shortages::isHopeless)
        noticeUse()
        var isTaken = false
        try {
            withTimeoutOrNull(limitMs) { entry.await({ shortage(service).pausedForMs }, ::retryWaiting) }
            // The request may have been admitted just as its time limit expired.
            val placement = if (entry.result.isCompleted) entry.result.await() else null
            isTaken = true
            return placement?.let { PlacementResult.Placed(it) } ?: shortages.refuse(entry)
        } finally {
            waiting.remove(entry)
            noticeUse()
            if (!isTaken && entry.result.isCompleted) entry.result.await()?.let { end(it, UseOutcome.ABANDONED) }
        }
    }

    /** Returns what is known of the shortage of targets of [service]. */
    public fun shortage(service: ServiceId): PlacementResult.Full = shortages.of(service)

    /**
     * Places the rest of a generation that runs at the target of [placement], or returns null.
     *
     * @param refusedBy the targets that had no room for it.
     */
    public fun placeForMigration(
        placement: Placement,
        tokens: Int,
        refusedBy: Set<TargetId> = emptySet(),
    ): Placement? {
        val request = placement.request.copy(excluded = refusedBy + placement.target.id)
        val requirements = TargetRequirements(request.service.engine, 0, tokens, placement.target.record.domain)
        val candidates = admission.candidates(request, versionOf(placement))
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
        val all = view.acceptingTargets(request.service.id).map { useOf(it.id) }
        val chosen =
            chooseForCopyOrNull(
                admission.candidates(request, versionOf(placement)),
                all,
                placement.use.tokens,
                engine,
                nextRandom,
            ) ?: return null
        return assign(request, chosen.target, TargetUse(0, placement.use.tokens, 0))
    }

    /** Records that the run continues at its copy. */
    public fun promote(copy: Placement) {
        replaceUse(copy, copy.use.copy(running = 1))
    }

    /** Records that the target has processed the prompt and produces output. */
    public fun started(placement: Placement) {
        placement.observation?.let(versions::recordAnswer)
        if (!placement.hasEnded) replaceUse(placement, placement.use.copy(unreadTokens = 0))
        if (placement.hasStarted || placement.hasEnded) return
        placement.hasStarted = true
        if (admission.recordOutput(placement)) retryWaiting()
    }

    /** Ends a placement and admits waiting requests. */
    public fun end(placement: Placement, outcome: UseOutcome) {
        if (placement.hasEnded) return
        holdingTimes.recordEnd(placement, outcome, clock.nowMs())
        replaceUse(placement, TargetUse.NONE)
        placement.hasEnded = true
        placement.observation?.let { versions.recordEnd(it, outcome) }
        evidence.recordEnd(placement, outcome)
        admission.recordEnd(placement, outcome)
        retryWaiting()
    }

    private fun placeNow(
        request: PlacementRequest,
        isTrial: Boolean = versions.isTrialDue(request.service.id),
    ): Placement? {
        val tokens = request.promptTokens + request.outputTokens
        val requirements =
            TargetRequirements(
                request.service.engine,
                request.promptTokens,
                tokens,
                domain,
                request.isLate(clock.nowMs()),
                view.entryVms,
            )
        val candidates = admission.candidates(request) { versions.admits(it, isTrial) }
        // Without room at the version on trial, the present one takes the request; never the other way round.
        val chosen = chooseOrNull(candidates, requirements, nextRandom)
            ?: return if (isTrial) placeNow(request, isTrial = false) else null
        val use = TargetUse(1, requirements.tokens.toLong(), request.promptTokens.toLong())
        return assign(request, chosen.target, use).also {
            it.workAhead = workAhead(requirements, chosen.target.record.slots, chosen.use)
            admission.recordRequest(it)
            it.observation = versions.recordPlacement(request.route, it.target)
        }
    }

    private fun assign(request: PlacementRequest, target: KnownTarget, use: TargetUse): Placement {
        admission.recordAssignment(target, isRun = use.running > 0)
        val placement = Placement(request, target, TargetUse.NONE, clock.nowMs())
        replaceUse(placement, use)
        log.debug("placed request={} target={} use={}", request.requestId, target.id, use)
        return placement
    }

    private fun replaceUse(placement: Placement, use: TargetUse) {
        ownUse.replace(placement, use)
        noticeUse()
    }

    private fun noticeUse() {
        inUseState.value = !ownUse.isEmpty || !waiting.isEmpty
    }

    /** Admits the waiting requests for which there is capacity; limits of cold targets pass without an event. */
    public fun retryWaiting() {
        if (!waiting.isEmpty) waiting.admit { placeNow(it) }
    }

    /** Returns which targets the rest of a generation at the target of [placement] may go to: those of its version. */
    private fun versionOf(placement: Placement): (KnownTarget) -> Boolean {
        val isTrial = versions.isOnTrial(placement.target)
        return { versions.admits(it, isTrial) }
    }

    private fun useOf(target: TargetId): TargetUse = ownUse.of(target) + (view.othersUse[target] ?: TargetUse.NONE)
}
