/*
 * What this VM has learned of the present load and speed of targets, from what they say of themselves and from how they
 * answer. It is knowledge of this VM alone, and holds for the run of the target that it came from. Confined to the
 * control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance

/** Short times differ by the network and this process as much as by the target. */
private const val ANSWER_BASE_MS = 5.0
private const val FIRST_EVENT_BASE_MS = 20.0

/** The work of an engine before a first event besides prompts, in prompt tokens: some steps and the way. */
private const val FIRST_EVENT_BASE_TOKENS = 500.0

/** What each running generation adds to the time of a step: 0.12 ms of 7 ms. */
private const val STEP_SHARE_OF_RUN = 0.017

/** The time until a first event depends on the cache and the queue as well, so that it is weaker evidence. */
private const val FIRST_EVENT_WEIGHT = 0.5

/** What is known of the present load and speed of targets. */
public class TargetEvidence internal constructor(
    private val clock: Clock,
    private val ownUse: OwnUse,
    private val view: () -> FleetView,
) {
    private val loads = TargetLoads()
    private val speeds = TargetSpeeds()

    /** Records what [target] has said of its load in an answer that arrived at [receivedAtMs]. */
    public fun recordLoad(target: KnownTarget, load: StatedLoad, receivedAtMs: Long) {
        if (!isPresent(target)) return
        val nowMs = clock.nowMs()
        val isNews = loads.record(target.instance, load, receivedAtMs, ownUse.of(target.id).running, nowMs)
        if (!isNews || load.workPercent == null) return
        speeds.record(target.instance, SpeedEvidence.STATED, load.workPercent.toDouble(), nowMs)
    }

    /** Records that the target of [placement] has served a plain request within [elapsedMs]. */
    public fun recordAnswer(placement: Placement, elapsedMs: Long): Unit =
        recordWork(placement, SpeedEvidence.ANSWER, elapsedMs + ANSWER_BASE_MS)

    /** Records that the target of [placement] has made the first event of a stream after [elapsedMs]. */
    public fun recordFirstEvent(placement: Placement, elapsedMs: Long): Unit =
        recordWork(placement, SpeedEvidence.FIRST_EVENT, elapsedMs + FIRST_EVENT_BASE_MS, FIRST_EVENT_WEIGHT)

    /** Records that the target of [placement] has made [events] in [elapsedMs]. */
    public fun recordEvents(placement: Placement, events: Long, elapsedMs: Long) {
        if (events <= 0 || !isPresent(placement.target)) return
        val running = useOf(placement.target.id).running
        val stepShare = 1 + STEP_SHARE_OF_RUN * running
        val pauseMs = elapsedMs / events.toDouble() / stepShare
        speeds.record(placement.target.instance, SpeedEvidence.EVENTS, pauseMs, clock.nowMs())
    }

    private fun recordWork(
        placement: Placement,
        evidence: SpeedEvidence,
        elapsedMs: Double,
        sampleWeight: Double = 1.0,
    ) {
        placement.hasAnswered = true
        if (placement.workAhead <= 0 || !isPresent(placement.target)) return
        val value = elapsedMs / placement.workAhead
        speeds.record(placement.target.instance, evidence, value, clock.nowMs(), sampleWeight)
    }

    /** Records how [placement] ended. */
    internal fun recordEnd(placement: Placement, outcome: UseOutcome) {
        if (outcome == UseOutcome.FAILED) recordGivenUp(placement)
        if (outcome == UseOutcome.REFUSED && isPresent(placement.target)) {
            loads.recordRefusal(placement.target.instance, clock.nowMs())
        }
    }

    /** Records that the target of [placement] is not waited for any longer; it counts only after a long time. */
    public fun recordGivenUp(placement: Placement) {
        val nowMs = clock.nowMs()
        val target = placement.target
        if (placement.hasAnswered || placement.workAhead <= 0 || !isPresent(target)) return
        val elapsedMs = nowMs - placement.placedAtMs
        val isPlain = placement.request.service.engine == null
        val evidence = if (isPlain) SpeedEvidence.ANSWER else SpeedEvidence.FIRST_EVENT
        speeds.recordAtLeast(
            target.instance,
            peersOf(target.record.service),
            evidence,
            elapsedMs / placement.workAhead,
            nowMs,
        )
    }

    /** Returns how many times longer work takes at the targets of [service] than usual; 1 for those that it lacks. */
    internal fun slowness(service: ServiceId): Map<TargetInstance, Double> =
        speeds.slowness(service, peersOf(service), clock.nowMs())

    /** Returns the load of [target] beyond the use that entry VMs know of; it takes [capacity] requests. */
    internal fun unknownLoad(target: KnownTarget, capacity: Double): UnknownLoad = loads.unknown(
        target.instance,
        useOf(target.id).running,
        ownUse.of(target.id).running,
        capacity,
        clock.nowMs(),
    )

    /** Forgets all targets but [present]. */
    internal fun retain(present: Collection<KnownTarget>) {
        val instances = present.mapTo(mutableSetOf()) { it.instance }
        loads.retain(instances)
        speeds.retain(instances)
    }

    private fun peersOf(service: ServiceId): List<TargetInstance> = view().acceptingTargets(service).map { it.instance }

    private fun useOf(target: TargetId): TargetUse = ownUse.of(target) + (view().othersUse[target] ?: TargetUse.NONE)

    private fun isPresent(target: KnownTarget): Boolean = view().targets[target.id]?.instance == target.instance
}

/**
 * Returns the work that a target has to do before it answers a request, with [use] before the request: that of one
 * plain request is 1, that of an engine is counted in prompt tokens.
 */
internal fun workAhead(requirements: TargetRequirements, slots: Int, use: TargetUse): Double =
    if (requirements.engine == null) {
        ((use.running + 1) / slots.coerceAtLeast(1).toDouble()).coerceAtLeast(1.0)
    } else {
        FIRST_EVENT_BASE_TOKENS + requirements.promptTokens + use.unreadTokens
    }
