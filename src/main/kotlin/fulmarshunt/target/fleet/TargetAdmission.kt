/*
 * Decides whether a target may get one more request of this entry VM, and when it may, by all limits of the target: the
 * pause that it asked for, the limit that it names, its places if it is brittle, the start limit while it is cold, the
 * limit of its pace, and its recent failures. Each has its own owner; this is the only place that asks them all.
 * Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.target.TargetInstance

/** The limits of all targets. */
internal class TargetAdmission(
    private val ownUse: OwnUse,
    private val view: () -> FleetView,
    private val clock: Clock,
    /** Returns a random number in 0 until 1. */
    nextRandom: () -> Double,
    private val evidence: TargetEvidence,
    private val coldLimitPerS: (ServiceProfile) -> Double,
) {
    private val coldStarts = ColdStartLimiter(nextRandom)
    private val failures = mutableMapOf<TargetInstance, FailureHistory>()
    private val pauses = TargetPauses(nextRandom)
    val limits: TargetLimits = TargetLimits(clock, nextRandom)
    private val brittle = BrittleTargets(limits, ownUse, view, clock, nextRandom)
    val pace: TargetPace = TargetPace(ownUse, view, clock, nextRandom)

    /** Forgets what has ended, and targets other than the [listed] ones. */
    fun expire(listed: Map<TargetId, KnownTarget>) {
        pauses.expire(clock.nowMs())
        limits.expire()
        failures.keys.retainAll(listed.values.mapTo(mutableSetOf()) { it.instance })
        coldStarts.retain(listed.keys)
    }

    /** Takes over the [listed] targets. */
    fun update(listed: Collection<KnownTarget>): Unit = brittle.update(listed)

    /**
     * Returns the targets that may get [request] now, of those that [mayUse] accepts; silent or avoided ones only if
     * there are no others.
     */
    fun candidates(request: PlacementRequest, mayUse: (KnownTarget) -> Boolean): List<Candidate> {
        val nowMs = clock.nowMs()
        val service = request.service
        // A repeat or a run that moves has few targets left, and the budget of repeats bounds their number.
        val isPaced = request.excluded.isEmpty()
        val eligible = view().acceptingTargets(service.id)
            .filter { it.id !in request.excluded && mayUse(it) && admits(it, service, isPaced, nowMs) }
        val preferred = eligible.filter { !it.isSilent && (failures[it.instance]?.avoidUntilMs ?: 0) <= nowMs }
        val slowness = evidence.slowness(service.id)
        return preferred.ifEmpty { eligible }.map {
            Candidate(
                it,
                ownUse.of(it.id) + (view().othersUse[it.id] ?: TargetUse.NONE),
                failures[it.instance]?.share(nowMs) ?: 0.0,
                brittle.isBrittle(it),
                slowness[it.instance] ?: 1.0,
                evidence.unknownLoad(it, capacityOf(it.record, service.engine)),
            )
        }
    }

    private fun admits(target: KnownTarget, service: ServiceProfile, isPaced: Boolean, nowMs: Long): Boolean {
        val coldPerS = coldLimitPerS(service)
        val isColdLimited = coldPerS > 0 && target.coldUntilMs > nowMs
        return pauses.admits(target.instance, nowMs) &&
            limits.waitMs(target, view().entryVms) == 0L &&
            brittle.admits(target) &&
            (!isPaced || pace.admits(target, isColdLimited)) &&
            (
                !isColdLimited ||
                    coldStarts.hasRoom(target.id, coldPerS, view().entryVms, nowMs, target.coldUntilMs)
                )
    }

    /** Returns the time after which [target] takes one more request than the [ahead] ones that wait. */
    fun unavailableForMs(target: KnownTarget, ahead: Int): Long = maxOf(
        pauses.remainingMs(target.instance, clock.nowMs()),
        brittle.refusedForMs(target),
        limits.waitMs(target, view().entryVms, ahead),
    )

    /** Returns whether a run may continue at [target]; [takeRepeat] takes a repeat, and [releaseRepeat] returns it. */
    fun tryContinue(target: KnownTarget, takeRepeat: () -> Boolean, releaseRepeat: () -> Unit): Boolean {
        if (!brittle.admitsRun(target)) return false
        if (limits.waitMs(target, view().entryVms) > 0 || !takeRepeat()) return false
        val mayContinue = pauses.tryContinue(target.instance, clock.nowMs())
        if (mayContinue) limits.recordRequest(target) else releaseRepeat()
        return mayContinue
    }

    /** Records that [target] wants no requests for [durationMs]; returns the pause, and whether it has a trial. */
    fun recordPause(target: KnownTarget, durationMs: Long): Pair<Long, Boolean> {
        val hasTrial = pauses.hasTrial(target.instance)
        pace.recordPause(target)
        return pauses.record(target.instance, durationMs, clock.nowMs()) to hasTrial
    }

    /** Records that a request was placed. */
    fun recordRequest(placement: Placement) {
        pauses.recordPlacement(placement)
        limits.recordRequest(placement.target)
    }

    /** Records that [target] gets a request or a copy, which [isRun] tells, before it counts in the own use. */
    fun recordAssignment(target: KnownTarget, isRun: Boolean) {
        val nowMs = clock.nowMs()
        if (target.coldUntilMs > nowMs) coldStarts.record(target.id, nowMs)
        if (!isRun) return
        brittle.recordPlacement(target)
        pace.recordPlacement(target)
    }

    /** Records that a target produces output, and returns whether that ends its trial after a pause. */
    fun recordOutput(placement: Placement): Boolean {
        pace.recordFirstEvent(placement)
        return pauses.recordOutput(placement, clock.nowMs())
    }

    /** Records how [placement] ended, after it does not count in the own use any more. */
    fun recordEnd(placement: Placement, outcome: UseOutcome) {
        val nowMs = clock.nowMs()
        if (outcome == UseOutcome.REFUSED) brittle.recordRefusal(placement.target)
        failures.getOrPut(placement.target.instance) { FailureHistory() }.record(outcome, nowMs)
        pace.recordEnd(placement, outcome)
        pauses.recordEnd(placement, outcome, nowMs)
    }

    /** Returns the use of each target by this VM, with the places that it holds. */
    fun use(): Map<TargetId, TargetUse> {
        val brittleUse = brittle.heldUse()
        val pacedUse = pace.use().mapValues { (id, use) ->
            use.copy(running = maxOf(use.running, brittleUse[id]?.running ?: 0))
        }
        return ownUse.snapshot() + brittleUse + pacedUse
    }
}
