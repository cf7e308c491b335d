/*
 * The roll-outs at an entry VM: which version a request goes to, and what its answer says of that version. A VM out of
 * contact with control VMs sends nothing to a version on trial, because it may have been rolled back. Confined to the
 * control thread.
 */
package fulmarshunt.target.rollout

import fulmarshunt.Clock
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.VmId
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.rollout.RolloutPhase
import fulmarshunt.operator.rollout.VersionRole
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.UseOutcome
import org.apache.logging.log4j.LogManager
import java.util.UUID
import kotlin.math.ceil

/** How long a new version may wait for its order; targets are started shortly before it, if one comes. */
private const val MAX_ORDER_WAIT_MS = 8_000L

/** The part of [TrialBounds.stopMs] after which a VM without contact stops a trial; the rest is for the verdict. */
private const val CONTACT_SHARE = 0.4

/** How long after it was cold the latencies of a target are not counted yet. */
private const val WARM_AFTER_MS = 1_000L

/** The fewest targets on trial that get requests, so that one bad target is not taken for a bad version. */
private const val MIN_TRIAL_TARGETS = 3

/** The part of the duration of a roll-out for which cold targets on trial are waited for: they show nothing yet. */
private const val COLD_WAIT_PART = 0.3

/** The answer to one request that was placed while a roll-out of its service ran. */
internal class TrialObservation(val key: EvidenceKey, val placedAtMs: Long, val isCold: Boolean) {
    var isAnswered = false
}

/** Directs requests to versions and counts what their answers say. */
public class VersionTraffic internal constructor(
    /** Null if the deployment has no roll-outs, so that versions have no effect. */
    private val bounds: TrialBounds?,
    private val clock: Clock,
    private val nextRandom: () -> Double,
) {
    private val log = LogManager.getLogger(VersionTraffic::class.java)
    private val source = UUID.randomUUID().toString()
    private var rollouts = emptyMap<ServiceId, Rollout>()
    private var admission = VersionAdmission(emptyMap(), emptyList())
    private val trials = mutableMapOf<ServiceId, Trial>()
    private var trialTargets = emptyMap<ServiceId, List<KnownTarget>>()
    private val counts = mutableMapOf<EvidenceKey, EvidenceCounts>()
    private var changes = 0L
    private var hasState = false

    /** When each version was first listed. */
    private val seenAtMs = mutableMapOf<Pair<ServiceId, SoftwareVersion>, Long>()
    private var contactAtMs = clock.nowMs()

    private class Trial(val share: TrialShare, val beganAtMs: Long)

    /** Records a reply of a control VM that is in contact with a leader. */
    public fun recordContact() {
        contactAtMs = clock.nowMs()
    }

    /** Receives what control VMs list. */
    internal fun update(view: FleetView) {
        if (bounds == null) return
        view.rollouts.values.filter { it != rollouts[it.order.service] }.forEach { begin(it, view, bounds) }
        rollouts = view.rollouts
        // Without a state, this VM cannot know whether a roll-out has begun.
        hasState = hasState || view.revision > LogIndex(0)
        val nowMs = clock.nowMs()
        val versions = view.targets.values.mapNotNullTo(mutableSetOf()) { target ->
            target.record.version?.let { target.record.service to it }
        }
        seenAtMs.keys.retainAll(versions)
        versions.forEach { seenAtMs.getOrPut(it) { nowMs } }
        admission = VersionAdmission(rollouts, view.targets.values) { service, version ->
            nowMs - (seenAtMs[service to version] ?: nowMs) >= MAX_ORDER_WAIT_MS
        }
        trialTargets = rollouts.filterValues { it.phase == RolloutPhase.RUNNING }.mapValues { (service, _) ->
            trialTargetsOf(service, view, bounds)
        }
    }

    private fun begin(rollout: Rollout, view: FleetView, bounds: TrialBounds) {
        val service = rollout.order.service
        val former = rollouts[service]
        log.info(
            "roll-out service={} target={} phase={} order={} present={} refused={}",
            service,
            rollout.order.target,
            rollout.phase,
            rollout.orderIndex,
            rollout.present,
            rollout.refused,
        )
        if (former?.orderIndex == rollout.orderIndex && rollout.isOpen) return
        counts.keys.removeIf { it.service == service }
        trials.remove(service)
        if (rollout.phase == RolloutPhase.RUNNING) {
            val share = TrialShare(bounds, view.entryVms, rollout.order.durationMs, hasState, nextRandom)
            trials[service] = Trial(share, clock.nowMs())
        }
    }

    /** Returns a few targets on trial, the same at all entry VMs: with more, none would be as loaded as the others. */
    private fun trialTargetsOf(service: ServiceId, view: FleetView, bounds: TrialBounds): List<KnownTarget> {
        val ready = view.targets.values.filter {
            it.record.service == service && it.record.phase == TargetPhase.READY && !it.isSilent
        }
        val (trial, present) = ready.partition { roleOf(it.record) == VersionRole.TRIAL }
        val count = maxOf(MIN_TRIAL_TARGETS, ceil(present.size * bounds.share).toInt())
        return trial.sortedBy { it.id.value.hashCode() }.take(count)
    }

    /** Returns [record], as leaving if its version may get no requests, so that its streams continue elsewhere. */
    internal fun applyTo(record: TargetRecord): TargetRecord =
        if (record.phase == TargetPhase.READY && roleOf(record) == VersionRole.NONE) {
            record.copy(phase = TargetPhase.LEAVING)
        } else {
            record
        }

    private fun roleOf(record: TargetRecord): VersionRole =
        if (bounds == null) VersionRole.PRESENT else admission.roleOf(record.service, record.version)

    /** Whether the next request for [service] is for the version on trial. */
    internal fun isTrialDue(service: ServiceId): Boolean {
        val stopMs = (bounds ?: return false).stopMs
        val rollout = rollouts[service]?.takeIf { it.phase == RolloutPhase.RUNNING } ?: return false
        val trial = trials[service] ?: return false
        val nowMs = clock.nowMs()
        val elapsedMs = nowMs - trial.beganAtMs
        val isWarm = trialTargets[service].orEmpty().any { !it.isColdAt(nowMs) } ||
            elapsedMs > rollout.order.durationMs * COLD_WAIT_PART
        return isWarm && nowMs - contactAtMs < stopMs * CONTACT_SHARE && trial.share.isDue(elapsedMs)
    }

    /** Returns whether [target] may get a request that is for the version on trial if [isTrial], or for another. */
    internal fun admits(target: KnownTarget, isTrial: Boolean): Boolean = when (roleOf(target.record)) {
        VersionRole.NONE -> false
        VersionRole.PRESENT -> !isTrial
        VersionRole.TRIAL -> isTrial && trialTargets[target.record.service].orEmpty().any { it.id == target.id }
    }

    /** Returns whether [target] has the version on trial. */
    internal fun isOnTrial(target: KnownTarget): Boolean = roleOf(target.record) == VersionRole.TRIAL

    /** Records that a request on [route] was placed at [target]; returns null if no roll-out of its service runs. */
    internal fun recordPlacement(route: String, target: KnownTarget): TrialObservation? {
        val service = target.record.service
        val rollout = rollouts[service]?.takeIf { it.phase == RolloutPhase.RUNNING } ?: return null
        val isTrial = isOnTrial(target)
        trials[service]?.share?.record(isTrial)
        val key = EvidenceKey(service, rollout.orderIndex, route, target.id.takeIf { isTrial })
        val nowMs = clock.nowMs()
        return TrialObservation(key, nowMs, target.isColdAt(nowMs))
    }

    /** Records the first event of a stream or the end of a plain answer. */
    internal fun recordAnswer(observation: TrialObservation) {
        if (observation.isAnswered) return
        observation.isAnswered = true
        val latencyClass = latencyClassOf(clock.nowMs() - observation.placedAtMs)
        count(
            observation,
            if (observation.isCold) {
                EvidenceCounts(coldAnswers = 1)
            } else {
                EvidenceCounts(answers = mapOf(latencyClass to 1))
            },
        )
    }

    /** Records how a request ended. */
    internal fun recordEnd(observation: TrialObservation, outcome: UseOutcome) = when (outcome) {
        UseOutcome.SUCCEEDED -> recordAnswer(observation)
        UseOutcome.FAILED_BY_STATUS -> count(observation, EvidenceCounts(errors = 1))
        UseOutcome.FAILED -> count(observation, EvidenceCounts(lost = 1))
        UseOutcome.ABANDONED -> recordUnanswered(observation)
        UseOutcome.REFUSED, UseOutcome.UNREACHABLE -> Unit
    }

    private fun recordUnanswered(observation: TrialObservation) {
        if (observation.isAnswered || observation.isCold) return
        val latencyClass = latencyClassOf(clock.nowMs() - observation.placedAtMs)
        count(observation, EvidenceCounts(unanswered = mapOf(latencyClass to 1)))
    }

    private fun count(observation: TrialObservation, one: EvidenceCounts) {
        val key = observation.key
        val rollout = rollouts[key.service]
        if (rollout?.orderIndex != key.orderIndex || rollout.phase != RolloutPhase.RUNNING) return
        counts[key] = (counts[key] ?: EvidenceCounts()) + one
        changes += 1
    }

    /** Returns the counts of this VM, if they have changed since the report with number [known]. */
    public fun reportOrNull(vm: VmId, known: Long): EvidenceReport? {
        if (changes <= known || counts.isEmpty()) return null
        return EvidenceReport(vm, source, changes, counts.map { (key, value) -> EvidenceCell(key, value) })
    }
}

private fun KnownTarget.isColdAt(nowMs: Long): Boolean = coldUntilMs + WARM_AFTER_MS > nowMs
