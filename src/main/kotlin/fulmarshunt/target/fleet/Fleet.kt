/*
 * Places the requests of one entry VM at targets, and keeps those that find no room in order. Confined to the control
 * thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.ServiceProfile
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** How long a process that has started expects to hear of targets that it does not know yet. */
private const val LEARNING_MS = 10_000L

/** How long reports about deaths are repeated to control VMs. */
private const val REPORT_DEATHS_MS = 10_000L

/** A request that needs a target. */
public data class PlacementRequest(
    public val request: RequestId,
    public val service: ServiceProfile,
    /** 0 for a plain service. */
    public val promptTokens: Int,
    /** The output that is expected, 0 for a plain service. */
    public val outputTokens: Int,
    /** The urgency; 0 is the most urgent. */
    public val rank: Int,
    /** The time until which a place still serves the request within its objective. */
    public val timelyUntilMs: Long = Long.MAX_VALUE,
    /** Targets that have been tried. */
    public val excluded: Set<TargetId> = emptySet(),
)

/** A target that was chosen for a request; it must be given back by [Fleet.end]. */
public class Placement internal constructor(
    public val ask: PlacementRequest,
    public val target: KnownTarget,
    internal var use: TargetUse,
) {
    internal var hasEnded = false
}

/** The outcome of asking for a target. */
public sealed interface PlacementResult {
    public data class Placed(public val placement: Placement) : PlacementResult

    /** Targets exist, but none has room; [waiting] requests wait for the same service here. */
    public data class Full(public val waiting: Int, public val targets: Int) : PlacementResult

    /** No target of the service is known to take work. */
    public data object NoTarget : PlacementResult
}

/** The targets as this entry VM uses them. */
public class Fleet internal constructor(
    private val clock: Clock,
    private val domain: FailureDomainId,
    private val budget: RepeatBudget,
    /** Uniform in 0 until 1. */
    private val draw: () -> Double,
    private val coldLimitPerS: (ServiceProfile) -> Double,
) {
    private val log = LogManager.getLogger(Fleet::class.java)
    private val startedAtMs = clock.nowMs()
    private val starts = StartShares()
    private val ownUse = mutableMapOf<TargetId, TargetUse>()
    private val failures = mutableMapOf<TargetId, FailureHistory>()
    private val waiting = mutableListOf<Waiting>()
    private val crashReports = linkedMapOf<CrashReport, Long>()

    private class Waiting(val ask: PlacementRequest, val result: CompletableDeferred<Placement>)

    private val admissionOrder: Comparator<Waiting> =
        compareBy({ isLate(it.ask) }, { it.ask.rank }, { it.ask.timelyUntilMs })

    /** The newest view. */
    public var view: FleetView = FleetView()
        private set

    /** Takes a newer view. */
    public fun update(view: FleetView) {
        this.view = view
        failures.keys.retainAll(view.targets.keys)
        starts.retain(view.targets.keys)
        admitWaiting()
    }

    /** What this VM uses of each target. */
    public fun use(): Map<TargetId, TargetUse> = ownUse.toMap()

    /** Deaths of targets with the requests that ran there, to be reported to control VMs. */
    public fun crashReports(): List<CrashReport> {
        val nowMs = clock.nowMs()
        crashReports.values.removeIf { nowMs - it > REPORT_DEATHS_MS }
        return crashReports.keys.toList()
    }

    /** Notes that a request was running at a target when it died. */
    public fun recordCrash(recordCrash: CrashReport) {
        crashReports[recordCrash] = clock.nowMs()
    }

    /** Counts a request for [service] towards the budget of repeats. */
    public fun recordRequest(service: ServiceId): Unit = budget.recordRequest(service, clock.nowMs())

    /** Takes a repeat from the budget of [service]. */
    public fun tryRepeat(service: ServiceId): Boolean = budget.tryTake(service, view.entryVms, clock.nowMs())

    /** Finds a target now or within [limitMs]. */
    public suspend fun place(ask: PlacementRequest, limitMs: Long): PlacementResult {
        placeNow(ask)?.let { return PlacementResult.Placed(it) }
        val known = candidatesOf(ask.service.id).size
        if (known == 0 && !isLearning(ask.service.id)) return PlacementResult.NoTarget
        val full = PlacementResult.Full(waiting.count { it.ask.service.id == ask.service.id }, known)
        if (limitMs <= 0) return full
        val entry = Waiting(ask, CompletableDeferred())
        waiting += entry
        var isTaken = false
        try {
            withTimeoutOrNull(limitMs) { entry.result.await() }
            // The request may have been admitted in the moment in which its time ran out.
            if (!entry.result.isCompleted) return full
            isTaken = true
            return PlacementResult.Placed(entry.result.await())
        } finally {
            waiting.remove(entry)
            if (!isTaken && entry.result.isCompleted) end(entry.result.await(), UseOutcome.ABANDONED)
        }
    }

    /** Finds a target for the rest of a generation that runs at [placement]'s target. */
    public fun placeForMigration(placement: Placement, tokens: Int): Placement? {
        val ask = placement.ask.copy(excluded = setOf(placement.target.id))
        val need = Need(ask.service.engine, 0, tokens, placement.target.record.domain)
        val usable = usable(ask)
        val chosen = chooseOrNull(usable, need, draw) ?: usable.minByOrNull { it.use.tokens } ?: return null
        return take(ask, chosen.target, TargetUse(1, tokens.toLong(), 0))
    }

    /** Reserves memory for a copy of a generation, if requests leave enough of it free. */
    public fun placeCopy(placement: Placement): Placement? {
        val engine = placement.ask.service.engine ?: return null
        val ask = placement.ask.copy(excluded = setOf(placement.target.id))
        val all = candidatesOf(ask.service.id).map { useOf(it.id) }
        val chosen = chooseForCopyOrNull(usable(ask), all, placement.use.tokens, engine, draw) ?: return null
        return take(ask, chosen.target, TargetUse(0, placement.use.tokens, 0))
    }

    /** Notes that a copy has become the run itself. */
    public fun promote(copy: Placement) {
        replaceUse(copy, copy.use.copy(running = 1))
    }

    /** Notes that the target has read the prompt and produces output. */
    public fun started(placement: Placement) {
        if (!placement.hasEnded) replaceUse(placement, placement.use.copy(unreadTokens = 0))
    }

    /** Gives a placement back. */
    public fun end(placement: Placement, end: UseOutcome) {
        if (placement.hasEnded) return
        replaceUse(placement, TargetUse.NONE)
        placement.hasEnded = true
        failures.getOrPut(placement.target.id) { FailureHistory() }.note(end, clock.nowMs())
        admitWaiting()
    }

    /** Says whether [target] shall get nothing more and its runs should go on elsewhere. */
    public fun isLeaving(target: TargetId): Boolean =
        view.targets[target]?.let { it.record.phase != TargetPhase.READY } ?: true

    private fun placeNow(ask: PlacementRequest): Placement? {
        val tokens = ask.promptTokens + ask.outputTokens
        val need = Need(ask.service.engine, ask.promptTokens, tokens, domain, isLate(ask))
        val chosen = chooseOrNull(usable(ask), need, draw) ?: return null
        return take(ask, chosen.target, TargetUse(1, need.tokens.toLong(), ask.promptTokens.toLong()))
    }

    private fun take(ask: PlacementRequest, target: KnownTarget, use: TargetUse): Placement {
        val nowMs = clock.nowMs()
        if (target.coldUntilMs > nowMs) starts.note(target.id, nowMs)
        val placement = Placement(ask, target, TargetUse.NONE)
        replaceUse(placement, use)
        log.debug("placed request={} target={} use={}", ask.request, target.id, use)
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
            placeNow(entry.ask)?.let { entry.result.complete(it) }
        }
    }

    /** After all control VMs have started anew, targets become known with their next announcements. */
    private fun isLearning(service: ServiceId): Boolean =
        clock.nowMs() - startedAtMs < LEARNING_MS && view.targets.values.none { it.record.service == service }

    /** Targets that take work, whether they have room or not. */
    private fun candidatesOf(service: ServiceId): List<KnownTarget> = view.targets.values.filter {
        it.record.service == service && it.record.phase == TargetPhase.READY && it.record.domain !in view.drained
    }

    /** Targets that may be sent [ask] now. If all are silent or avoided, those are used after all. */
    private fun usable(ask: PlacementRequest): List<Candidate> {
        val nowMs = clock.nowMs()
        val limit = coldLimitPerS(ask.service)
        val open = candidatesOf(ask.service.id).filter { target ->
            target.id !in ask.excluded &&
                (limit <= 0 || target.coldUntilMs <= nowMs || starts.hasRoom(target.id, limit, view.entryVms, nowMs))
        }
        val good = open.filter { !it.isSilent && (failures[it.id]?.avoidUntilMs ?: 0) <= nowMs }
        return good.ifEmpty { open }.map { target ->
            Candidate(target, useOf(target.id), failures[target.id]?.share(nowMs) ?: 0.0)
        }
    }

    private fun useOf(target: TargetId): TargetUse =
        (ownUse[target] ?: TargetUse.NONE) + (view.othersUse[target] ?: TargetUse.NONE)

    private fun isLate(ask: PlacementRequest): Boolean = clock.nowMs() > ask.timelyUntilMs
}
