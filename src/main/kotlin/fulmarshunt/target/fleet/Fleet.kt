/*
 * Places the requests of one entry VM at targets, and queues those for which no target has capacity. Confined to the
 * control thread.
 */
package fulmarshunt.target.fleet

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
    /** The name of the route, by which versions are compared. */
    public val route: String = "",
)

/** A target that was chosen for a request; [Fleet.end] must be called for it. */
public class Placement internal constructor(
    public val request: PlacementRequest,
    public val target: KnownTarget,
    internal var use: TargetUse,
) {
    internal var hasEnded = false

    /** What this placement shows of its version; null if no roll-out of its service ran. */
    internal var observation: TrialObservation? = null
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
    ) : PlacementResult

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
    private val coldLimitPerS: (ServiceProfile) -> Double,
) {
    private val log = LogManager.getLogger(Fleet::class.java)
    private val startedAtMs = clock.nowMs()
    private val coldStarts = ColdStartLimiter(nextRandom)
    private val ownUse = OwnUse()
    private val failures = mutableMapOf<TargetId, FailureHistory>()
    private val waiting = WaitingRequests { it.isLate(clock.nowMs()) }
    private val leaving = LeavingTargets()
    private val pauses = TargetPauses(nextRandom)

    /** What control VMs list, without what targets have told this VM. */
    private var listed = FleetView()
    private val viewState = MutableStateFlow(FleetView())

    /** The budget of repeats. */
    public val repeats: Repeats = Repeats(budget, clock) { view.entryVms }

    /** What targets have said of their limits. */
    public val limits: TargetLimits = TargetLimits(clock, nextRandom)
    private val brittle = BrittleTargets(limits, ownUse, { view }, clock, nextRandom)

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
        val nowMs = clock.nowMs()
        leaving.expire(nowMs)
        pauses.expire(nowMs)
        limits.expire()
        failures.keys.retainAll(listed.targets.keys)
        coldStarts.retain(listed.targets.keys)
        publish()
    }

    private fun publish() {
        brittle.update(listed.targets.values)
        viewState.value = listed.copy(
            targets = listed.targets.mapValues { (_, target) ->
                val record = versions.applyTo(leaving.applyTo(target.record))
                if (record === target.record) target else target.copy(record = record)
            },
            limited = limits.limited,
        )
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
        val hasTrial = pauses.hasTrial(target.instance)
        val pauseMs = pauses.record(target.instance, durationMs, clock.nowMs())
        log.info(
            "target pauses target={} askedMs={} pauseMs={} placed={} hasTrial={}",
            target.id,
            durationMs,
            pauseMs,
            ownUse.of(target.id).running,
            hasTrial,
        )
        waiting.refuse(::isHopeless)
    }

    /** Records what targets have said of their limits; [isDirect] says that they said it to this VM. */
    public fun recordLimits(statements: List<LimitStatement>, isDirect: Boolean) {
        if (!limits.record(statements, isDirect)) return
        publish()
        waiting.refuse(::isHopeless)
    }

    /** Returns the time after which [target] takes one more request than the [ahead] ones that wait. */
    private fun unavailableForMs(target: KnownTarget, ahead: Int): Long = maxOf(
        pauses.remainingMs(target.instance, clock.nowMs()),
        brittle.refusedForMs(target),
        limits.waitMs(target, view.entryVms, ahead),
    )

    /**
     * Returns whether a running generation may continue at [target] now, and reserves a repeat of the budget for it;
     * [isFirst] says that it has not continued before, nor been sent to continue in vain.
     */
    public fun tryContinue(target: KnownTarget, isFirst: Boolean = true): Boolean {
        val service = target.record.service
        val nowMs = clock.nowMs()
        if (!brittle.admitsRun(target)) return false
        if (limits.waitMs(target, view.entryVms) > 0 || !repeats.tryContinue(service, isFirst).isTaken) return false
        val mayContinue = pauses.tryContinue(target.instance, nowMs)
        if (mayContinue) limits.recordRequest(target) else repeats.release(service)
        return mayContinue
    }

    /** Returns the use of each target by this VM, with the places that it holds at brittle ones. */
    public fun use(): Map<TargetId, TargetUse> = ownUse.snapshot() + brittle.heldUse()

    /** Places [request] now or within [limitMs]. */
    public suspend fun place(request: PlacementRequest, limitMs: Long): PlacementResult {
        placeNow(request)?.let { return PlacementResult.Placed(it) }
        val known = view.acceptingTargets(request.service.id)
        // After a restart of all control VMs, targets become known only with their next announcements.
        val isDiscovering = clock.nowMs() - startedAtMs < DISCOVERY_MS &&
            view.targets.values.none { it.record.service == request.service.id }
        if (known.isEmpty() && !isDiscovering) return PlacementResult.NoTarget
        val entry = WaitingRequest(request, clock.nowMs() + limitMs)
        if (limitMs <= 0 || isHopeless(entry)) return shortage(request.service.id)
        waiting.add(entry)
        noticeUse()
        var isTaken = false
        try {
            withTimeoutOrNull(limitMs) { entry.await({ shortage(request.service.id).pausedForMs }, ::retryWaiting) }
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

    /** Returns what is known of the shortage of targets of [service]. */
    public fun shortage(service: ServiceId): PlacementResult.Full {
        val known = view.acceptingTargets(service)
        return PlacementResult.Full(
            waiting.count(service),
            known.size,
            known.minOfOrNull { unavailableForMs(it, 0) } ?: 0,
        )
    }

    /** Returns whether targets are known, and none of them can take the request of [entry] while it waits. */
    private fun isHopeless(entry: WaitingRequest): Boolean {
        val known = view.acceptingTargets(entry.request.service.id)
        val patienceMs = entry.untilMs - clock.nowMs()
        val ahead = waiting.countAhead(entry) / known.size.coerceAtLeast(1)
        return known.isNotEmpty() && known.all {
            it.id in entry.request.excluded || unavailableForMs(it, ahead) > patienceMs
        }
    }

    /** Places the rest of a generation that runs at the target of [placement], or returns null. */
    public fun placeForMigration(placement: Placement, tokens: Int): Placement? {
        val request = placement.request.copy(excluded = setOf(placement.target.id))
        val requirements = TargetRequirements(request.service.engine, 0, tokens, placement.target.record.domain)
        val candidates = usableCandidates(request, versions.isOnTrial(placement.target))
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
                usableCandidates(request, versions.isOnTrial(placement.target)),
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
        if (pauses.recordOutput(placement, clock.nowMs())) retryWaiting()
    }

    /** Ends a placement and admits waiting requests. */
    public fun end(placement: Placement, outcome: UseOutcome) {
        if (placement.hasEnded) return
        replaceUse(placement, TargetUse.NONE)
        if (outcome == UseOutcome.REFUSED) brittle.recordRefusal(placement.target)
        placement.hasEnded = true
        placement.observation?.let { versions.recordEnd(it, outcome) }
        failures.getOrPut(placement.target.id) { FailureHistory() }.record(outcome, clock.nowMs())
        pauses.recordEnd(placement, outcome, clock.nowMs())
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
            )
        // Without room at the version on trial, the present one takes the request; never the other way round.
        val chosen = chooseOrNull(usableCandidates(request, isTrial), requirements, nextRandom)
            ?: return if (isTrial) placeNow(request, isTrial = false) else null
        val use = TargetUse(1, requirements.tokens.toLong(), request.promptTokens.toLong())
        return assign(request, chosen.target, use).also {
            pauses.recordPlacement(it)
            limits.recordRequest(it.target)
            it.observation = versions.recordPlacement(request.route, it.target)
        }
    }

    private fun assign(request: PlacementRequest, target: KnownTarget, use: TargetUse): Placement {
        val nowMs = clock.nowMs()
        if (target.coldUntilMs > nowMs) coldStarts.record(target.id, nowMs)
        val placement = Placement(request, target, TargetUse.NONE)
        if (use.running > 0) brittle.recordPlacement(target)
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

    /**
     * Returns the targets that may get [request] now, of the version on trial if [isTrial]; silent or avoided ones only
     * if there are no others.
     */
    private fun usableCandidates(request: PlacementRequest, isTrial: Boolean): List<Candidate> {
        val nowMs = clock.nowMs()
        val limit = coldLimitPerS(request.service)
        val eligible = view.acceptingTargets(request.service.id).filter { target ->
            target.id !in request.excluded && versions.admits(
                target,
                isTrial,
            ) && pauses.admits(target.instance, nowMs) &&
                limits.waitMs(target, view.entryVms) == 0L &&
                brittle.admits(target) &&
                (
                    limit <= 0 || target.coldUntilMs <= nowMs || coldStarts.hasRoom(
                        target.id,
                        limit,
                        view.entryVms,
                        nowMs,
                        target.coldUntilMs,
                    )
                    )
        }
        val preferred = eligible.filter { !it.isSilent && (failures[it.id]?.avoidUntilMs ?: 0) <= nowMs }
        return preferred.ifEmpty { eligible }.map { target ->
            val share = failures[target.id]?.share(nowMs) ?: 0.0
            Candidate(target, useOf(target.id), share, brittle.isBrittle(target))
        }
    }

    private fun useOf(target: TargetId): TargetUse = ownUse.of(target) + (view.othersUse[target] ?: TargetUse.NONE)
}

private fun PlacementRequest.isLate(nowMs: Long): Boolean = nowMs > objectiveDeadlineMs
