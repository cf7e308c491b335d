/*
 * Selects the target of a pool for a waiting request: filters targets by health, limits, class shares and memory, and
 * lets the policy choose between the rest.
 */
package fulmarshunt.target

import fulmarshunt.TargetId
import fulmarshunt.operator.Configuration
import kotlin.random.Random

/** The share of a target's limit that is reserved for short requests. */
private const val SHORT_RESERVED_SHARE = 0.1

/** The share of a target's memory that is reserved for short requests, which need little memory each. */
private const val SHORT_RESERVED_MEMORY = 0.04

/** While long requests wait, short ones use at most this share of a target's limit. */
private const val SHORT_MAX_SHARE = 0.5

/** Whether targets of the pool serve a service. */
internal enum class Availability { SERVED, LEAVING, NONE }

/** Selects targets for waiting requests under the policies of one pool. */
internal class TargetSelector(
    private val policies: PoolPolicies,
    private val suspects: PoisonSuspects,
    private val random: Random,
) {
    /** Returns the current concurrency limit of [target]. */
    fun limitOf(target: TargetState): Int =
        policies.concurrencyLimit(target.slowStart.limit, target.fullLimit).coerceAtMost(target.fullLimit)

    /** Returns the target for [entry], or null if none can take it now. */
    fun chooseOrNull(
        entry: WaitingEntry,
        targets: Map<TargetId, TargetState>,
        configuration: Configuration,
        hasWaitingLong: Boolean,
        nowMs: Long,
    ): TargetState? {
        val candidates = ArrayList<TargetCandidate>()
        val lastCrashMs = suspects.lastCrashMsOrNull(entry.request.fingerprint)
        for (target in targets.values) {
            if (target.health != TargetHealth.LIVE || isLeaving(target, configuration)) continue
            // If targets fail together, their crashes are detected one by one; a suspect would be blamed for each.
            if (lastCrashMs != null && target.lastAnnouncedMs < lastCrashMs) continue
            val candidate = candidateOrNull(entry, target, hasWaitingLong, nowMs)
            if (candidate != null && policies.admissionRule(candidate)) candidates += candidate
        }
        if (candidates.isEmpty()) return null
        // Policies choose the first of equal candidates, which must not always be the same target.
        if (candidates.size > 1) candidates.shuffle(random)
        val chosen = if (suspects.isSuspect(entry.request.fingerprint)) {
            candidates.minBy { it.inFlight }
        } else {
            policies.targetChoice(candidates)
        }
        return targets.getValue(chosen.target)
    }

    /** True while [entry] must not be placed anywhere, regardless of free capacity. */
    fun isHeld(entry: WaitingEntry, targets: Map<TargetId, TargetState>, nowMs: Long): Boolean {
        if (hasUnresolvedLoss(entry, targets) || hasNoReachableTarget(entry, targets.values, nowMs)) return true
        val fingerprint = entry.request.fingerprint
        if (!suspects.isSuspect(fingerprint)) return false
        // One target at a time: a request that crashes its targets must not run on several of them.
        return suspects.isHeld(fingerprint) || targets.values.any { it.runs(fingerprint) }
    }

    /** True while the entry VM of [entry] can reach none of its targets, so that it does not block other requests. */
    private fun hasNoReachableTarget(entry: WaitingEntry, targets: Collection<TargetState>, nowMs: Long): Boolean {
        val vm = entry.request.vm
        return targets.none { canServe(it, entry) && !it.failures.isUnreachableFrom(vm, nowMs) } &&
            targets.any { it.failures.isUnreachableFrom(vm, nowMs) }
    }

    /** True while it is unknown whether a target at which an attempt of [entry] was lost is alive. */
    fun hasUnresolvedLoss(entry: WaitingEntry, targets: Map<TargetId, TargetState>): Boolean =
        entry.request.lost.any { lost ->
            val target = targets[lost.instance.target]
            target != null && target.isAlive(lost.instance.incarnation) && !target.hasAnnouncedSince(entry.enqueuedMs)
        }

    /** Returns whether targets serve [entry] now or may do so soon. */
    fun availability(
        entry: WaitingEntry,
        targets: Collection<TargetState>,
        configuration: Configuration,
    ): Availability {
        var result = Availability.NONE
        for (target in targets) {
            if (target.health == TargetHealth.DEAD || !canServe(target, entry)) continue
            if (!isLeaving(target, configuration)) return Availability.SERVED
            result = Availability.LEAVING
        }
        return result
    }

    /** Returns whether [target] gets no new requests because it or its failure domain is leaving or drained. */
    fun isLeaving(target: TargetState, configuration: Configuration): Boolean = target.announcement.leaving ||
        target.id in configuration.drainedTargets ||
        configuration.domains[target.announcement.domain]?.isDrained == true

    private fun canServe(target: TargetState, entry: WaitingEntry): Boolean =
        entry.request.service in target.announcement.services &&
            entry.request.service != target.replaced &&
            target.id !in entry.request.excluded &&
            fitsWhenIdle(target, entry)

    /** Returns whether the prompt leaves memory for output; the grant caps the output at the remaining memory. */
    private fun fitsWhenIdle(target: TargetState, entry: WaitingEntry): Boolean =
        target.announcement.memoryTokens <= 0 || entry.request.promptTokens < target.announcement.memoryTokens

    private fun candidateOrNull(
        entry: WaitingEntry,
        target: TargetState,
        hasWaitingLong: Boolean,
        nowMs: Long,
    ): TargetCandidate? {
        val limit = limitOf(target)
        if (target.inFlight >= limit || !canServe(target, entry)) return null
        if (target.failures.isUnreachableFrom(entry.request.vm, nowMs)) return null
        var memory = target.announcement.memoryTokens
        if (policies.queueOrder.hasShortClass) {
            val reserved = (limit * SHORT_RESERVED_SHARE).toInt()
            if (!entry.isShort) {
                if (target.inFlight - target.shortCount >= limit - reserved) return null
                if (reserved > 0) memory -= (memory * SHORT_RESERVED_MEMORY).toLong()
            } else if (hasWaitingLong && target.shortCount >= (limit * SHORT_MAX_SHARE).toInt().coerceAtLeast(1)) {
                return null
            }
        }
        val fingerprint = entry.request.fingerprint
        val hasSuspects = suspects.size > 0
        if (hasSuspects && target.tickets.values.any { suspects.shareCrash(fingerprint, it.request.fingerprint) }) {
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
            computePeakTokens = { target.peakTokens(entry.forecast(nowMs), nowMs) },
        )
    }
}
