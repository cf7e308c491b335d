/*
 * Which target of a pool takes a waiting request: the ones that may take it by health, limits, class shares and memory,
 * and the choice between them.
 */
package fulmarshunt.target

import fulmarshunt.TargetId
import fulmarshunt.operator.Configuration
import kotlin.random.Random

/** This share of a target's places is kept free of long requests. */
private const val SHORT_RESERVED_SHARE = 0.1

/** This share of a target's memory is kept free of long requests; short ones need little memory each. */
private const val SHORT_RESERVED_MEMORY = 0.04

/** With long requests waiting, short ones hold at most this share of a target's places. */
private const val SHORT_MAX_SHARE = 0.5

/** Whether a service can be had in the pool. */
internal enum class Availability { SERVED, LEAVING, NONE }

internal class Placement(
    private val policies: PoolPolicies,
    private val suspects: Suspects,
    private val random: Random,
) {
    fun limitOf(target: TargetState): Int =
        policies.concurrencyLimit(target.slowStart.earned, target.fullLimit).coerceAtMost(target.fullLimit)

    /** Returns the target for [entry], or null if none can take it now. */
    fun chooseOrNull(
        entry: WaitingEntry,
        targets: Map<TargetId, TargetState>,
        configuration: Configuration,
        longWaits: Boolean,
        nowMs: Long,
    ): TargetState? {
        val candidates = ArrayList<TargetCandidate>()
        val lastDeathMs = suspects.lastDeathMsOrNull(entry.request.fingerprint)
        for (target in targets.values) {
            if (target.health != TargetHealth.LIVE || isLeaving(target, configuration)) continue
            // Targets that fail together are not known to be dead at once; a suspect would be blamed for each of them.
            if (lastDeathMs != null && target.announcedMs < lastDeathMs) continue
            val candidate = candidateOrNull(entry, target, longWaits, nowMs)
            if (candidate != null && policies.admissionRule(candidate)) candidates += candidate
        }
        if (candidates.isEmpty()) return null
        // Policies take the first of equals, which must not always be the same target.
        if (candidates.size > 1) candidates.shuffle(random)
        val chosen = if (suspects.isSuspect(entry.request.fingerprint)) {
            candidates.minBy { it.inFlight }
        } else {
            policies.targetChoice(candidates)
        }
        return targets.getValue(chosen.target)
    }

    /** True while [entry] must not be placed anywhere, whatever room there is. */
    fun isHeld(entry: WaitingEntry, targets: Map<TargetId, TargetState>, nowMs: Long): Boolean {
        if (awaitsFate(entry, targets) || isCutOff(entry, targets.values, nowMs)) return true
        val fingerprint = entry.request.fingerprint
        if (!suspects.isSuspect(fingerprint)) return false
        // One target at a time: a request that crashes its targets must not run on several of them.
        return suspects.isHeld(fingerprint) || targets.values.any { it.runs(fingerprint) }
    }

    /** True while the entry VM of [entry] can reach none of the targets, which must not keep others waiting. */
    private fun isCutOff(entry: WaitingEntry, targets: Collection<TargetState>, nowMs: Long): Boolean {
        val vm = entry.request.vm
        return targets.none { offers(it, entry) && !it.failures.isUnreachableFrom(vm, nowMs) } &&
            targets.any { it.failures.isUnreachableFrom(vm, nowMs) }
    }

    /** True while it is not known whether a target where an attempt of [entry] was lost is alive. */
    fun awaitsFate(entry: WaitingEntry, targets: Map<TargetId, TargetState>): Boolean = entry.request.lost.any { lost ->
        val target = targets[lost.instance.target]
        target != null && target.isAlive(lost.instance.incarnation) && !target.hasAnnouncedSince(entry.enqueuedMs)
    }

    /** Returns whether the service of [entry] can be had now or soon. */
    fun availability(
        entry: WaitingEntry,
        targets: Collection<TargetState>,
        configuration: Configuration,
    ): Availability {
        var result = Availability.NONE
        for (target in targets) {
            if (target.health == TargetHealth.DEAD || !offers(target, entry)) continue
            if (!isLeaving(target, configuration)) return Availability.SERVED
            result = Availability.LEAVING
        }
        return result
    }

    fun isLeaving(target: TargetState, configuration: Configuration): Boolean = target.announcement.leaving ||
        target.id in configuration.drainedTargets ||
        configuration.domains[target.announcement.domain]?.isDrained == true

    private fun offers(target: TargetState, entry: WaitingEntry): Boolean =
        entry.request.service in target.announcement.services &&
            entry.request.service != target.replaced &&
            target.id !in entry.request.excluded &&
            fitsAlone(target, entry)

    /** A request fits alone if its prompt leaves memory for output; the grant caps the output at the rest. */
    private fun fitsAlone(target: TargetState, entry: WaitingEntry): Boolean =
        target.announcement.memoryTokens <= 0 || entry.request.promptTokens < target.announcement.memoryTokens

    private fun candidateOrNull(
        entry: WaitingEntry,
        target: TargetState,
        longWaits: Boolean,
        nowMs: Long,
    ): TargetCandidate? {
        val limit = limitOf(target)
        if (target.inFlight >= limit || !offers(target, entry)) return null
        if (target.failures.isUnreachableFrom(entry.request.vm, nowMs)) return null
        var memory = target.announcement.memoryTokens
        if (policies.queueOrder.hasShortClass) {
            val reserved = (limit * SHORT_RESERVED_SHARE).toInt()
            if (!entry.isShort) {
                if (target.inFlight - target.shortCount >= limit - reserved) return null
                if (reserved > 0) memory -= (memory * SHORT_RESERVED_MEMORY).toLong()
            } else if (longWaits && target.shortCount >= (limit * SHORT_MAX_SHARE).toInt().coerceAtLeast(1)) {
                return null
            }
        }
        val fingerprint = entry.request.fingerprint
        val hasSuspects = suspects.size > 0
        if (hasSuspects && target.tickets.values.any { suspects.shareDeath(fingerprint, it.request.fingerprint) }) {
            return null
        }
        return TargetCandidate(
            target = target.id,
            inFlight = target.inFlight,
            limit = limit,
            memoryTokens = memory,
            affinity = target.prefixes.affinity(entry.request.prefixHashes),
            promptTokens = entry.request.promptTokens,
            hasSuspect = hasSuspects && target.tickets.values.any { suspects.isSuspect(it.request.fingerprint) },
            computePeakTokens = { target.peakTokens(entry.life(nowMs), nowMs) },
        )
    }
}
