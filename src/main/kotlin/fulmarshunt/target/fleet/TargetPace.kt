/*
 * The limits of targets that have just started or recovered, as one entry VM keeps them: when a limit is opened, which
 * part of it this VM uses, and when it is lifted. A limit is compared with the load of peers, so that there is none
 * where most targets of a service are new or in trouble: that is the load, not the target. Confined to the control
 * thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance
import org.apache.logging.log4j.LogManager

/** A target that is known for less is no peer: a deployment or an entry VM that has just started is not limited. */
private const val PEER_AFTER_MS = 10_000L

/** Limits of others open none for so long after one was lifted, because their reports are older. */
private const val REOPEN_AFTER_MS = 10_000L

/** So many refusals or failures in a row show that the target, not a request, is in trouble. */
private const val TROUBLES = 3

/** The limit of a target against which nothing speaks begins with this part of the usual load, or two requests. */
private const val START_SHARE = 0.5
private const val MIN_START = 2.0

/** A target that has failed requests begins with this part of the load that it had. */
private const val TROUBLE_SHARE = 0.5

/** A target that has asked for a pause begins with this part of the usual load. */
private const val PAUSED_SHARE = 0.25

/** Reports are some 400 ms old; places are shared anew when a place that was taken shows in them. */
private const val SEEN_AFTER_MS = 600L

/** How long a place is held that is not needed. */
private const val HOLD_MS = 400L

/** Limits of so many other entry VMs are taken over; that of one may come from its own network. */
private const val CONVINCING_VMS = 2

/** The limits of one entry VM. */
internal class TargetPace(
    private val ownUse: OwnUse,
    private val view: () -> FleetView,
    private val clock: Clock,
    /** Returns a random number in 0 until 1. */
    private val nextRandom: () -> Double,
) {
    private class Pace(val target: KnownTarget, val limit: PaceLimit, val signs: RecentSigns, val roundingShare: Double)

    /** What was last seen of a target. */
    private class Seen(var target: KnownTarget, val sinceMs: Long, var isCold: Boolean) {
        var troubles = 0
        var liftedAtMs = Long.MIN_VALUE / 2
    }

    private val startedAtMs = clock.nowMs()
    private val log = LogManager.getLogger(TargetPace::class.java)
    private val paces = mutableMapOf<TargetInstance, Pace>()
    private val seen = mutableMapOf<TargetInstance, Seen>()
    private val places = HeldPlaces(SEEN_AFTER_MS, HOLD_MS, nextRandom)
    private val latency = AnswerLatency()
    private val demand = DemandShare()

    /** The number of targets that have a limit. May be read from any thread. */
    @Volatile
    var limitedTargets: Int = 0
        private set

    /** Takes over the [listed] targets, opens the limits of those that have changed, and decides the others anew. */
    fun update(listed: Collection<KnownTarget>) {
        val nowMs = clock.nowMs()
        val present = listed.mapTo(mutableSetOf()) { it.instance }
        seen.keys.retainAll(present)
        paces.keys.retainAll(present)
        places.retain(paces.keys)
        for (target in listed) causeOrNull(target, nowMs)?.let { open(target, it) }
        paces.values.toList().forEach { decide(it, nowMs) }
        limitedTargets = paces.size
    }

    /** Returns whether [target] may get one more request; [isColdLimited] says that its cold limit holds instead. */
    fun admits(target: KnownTarget, isColdLimited: Boolean): Boolean {
        val nowMs = clock.nowMs()
        demand.record(target.record.service, nowMs)
        val pace = paces[target.instance] ?: return true
        if (isColdLimited) {
            pace.limit.adopt(runningAt(target))
            return true
        }
        return if (view().isInContact) {
            places.admits(placesOf(pace, nowMs), nowMs)
        } else {
            // Without reports of the others, the shares are fixed, so that they do not add up with time.
            ownUse.of(target.id).running < (pace.limit.limit / view().entryVms + pace.roundingShare).toInt()
        }
    }

    /** Records that a request is placed at [target], before it counts in the own use. */
    fun recordPlacement(target: KnownTarget) {
        val pace = paces[target.instance] ?: return
        places.recordPlacement(placesOf(pace, clock.nowMs()), clock.nowMs())
    }

    /** Records the first event of the answer for [placement]. */
    fun recordFirstEvent(placement: Placement) {
        recordLatency(placement, isFirstEvent = true)
    }

    /** Records how [placement] has ended. */
    fun recordEnd(placement: Placement, outcome: UseOutcome) {
        when (outcome) {
            UseOutcome.SUCCEEDED -> if (!placement.hasStarted) recordLatency(placement, isFirstEvent = false)
            UseOutcome.ABANDONED -> Unit
            // The path of this VM may be at fault, of which the others must not conclude anything.
            UseOutcome.UNREACHABLE -> recordTrouble(placement.target, isSign = false)
            else -> recordTrouble(placement.target, isSign = true)
        }
    }

    /** Records that [target] has asked for a pause. */
    fun recordPause(target: KnownTarget): Unit = open(target, PaceCause.PAUSED)

    /** Returns the own use of each target that has a limit, with the places that are held and the signs. */
    fun use(): Map<TargetId, TargetUse> {
        val nowMs = clock.nowMs()
        return paces.values.associate { pace ->
            val own = ownUse.of(pace.target.id)
            val held = places.held(placesOf(pace, nowMs), nowMs)
            pace.target.id to own.copy(running = held, paceSigns = pace.signs.at(nowMs))
        }
    }

    private fun recordLatency(placement: Placement, isFirstEvent: Boolean) {
        val nowMs = clock.nowMs()
        val latencyMs = nowMs - placement.placedAtMs
        seen[placement.target.instance]?.troubles = 0
        val pace = paces[placement.target.instance]
        if (pace == null) {
            latency.recordPeer(placement.request, isFirstEvent, latencyMs)
            return
        }
        if (placement.placedAtMs < pace.limit.openedAtMs) return
        val limitedForMs = nowMs - pace.limit.openedAtMs
        val isOnPace = latency.isOnPaceOrNull(placement.request, isFirstEvent, latencyMs, limitedForMs) ?: return
        // A request of before the fall, or of the cold time, says nothing of the limit of now by being slow.
        val isOld = placement.placedAtMs < maxOf(pace.limit.fellAtMs, placement.target.coldUntilMs)
        if (!isOnPace && isOld) return
        pace.signs.record(isOnPace, nowMs)
        decide(pace, nowMs)
    }

    private fun recordTrouble(target: KnownTarget, isSign: Boolean) {
        val nowMs = clock.nowMs()
        val known = seen[target.instance] ?: return
        known.troubles += 1
        val pace = paces[target.instance]
        if (pace == null) {
            if (known.troubles >= TROUBLES) open(target, PaceCause.TROUBLE)
            return
        }
        if (!isSign) return
        pace.signs.record(isOnPace = false, nowMs)
        decide(pace, nowMs)
    }

    /** Returns why the limit of [target] is to be opened, after a change of what is listed. */
    private fun causeOrNull(target: KnownTarget, nowMs: Long): PaceCause? {
        val isCold = target.coldUntilMs > nowMs
        val known = seen[target.instance]
        seen.getOrPut(target.instance) { Seen(target, nowMs, isCold) }.also {
            it.target = target
            it.isCold = isCold
        }
        val others = othersAt(target.id).paceSigns
        val isStarting = nowMs - startedAtMs < PEER_AFTER_MS
        val isPacedByOthers = others.vms >= CONVINCING_VMS || (others.vms > 0 && view().entryVms <= CONVINCING_VMS)
        return when {
            target.instance in paces || target.record.phase != TargetPhase.READY -> null
            known == null -> PaceCause.NEW
            isCold && !known.isCold -> PaceCause.COLD
            known.target.isSilent && !target.isSilent -> PaceCause.SILENT
            nowMs - known.liftedAtMs < REOPEN_AFTER_MS || !isPacedByOthers -> null
            // Reports name no instance: those of a target that has just started may be of its former one.
            isStarting || (others.offPace > 0 && nowMs - known.sinceMs >= PEER_AFTER_MS) -> PaceCause.OTHERS
            else -> null
        }
    }

    private fun open(target: KnownTarget, cause: PaceCause) {
        val nowMs = clock.nowMs()
        if (target.instance in paces) return
        val peers = peersOrNull(target, if (cause == PaceCause.OTHERS) 0 else PEER_AFTER_MS) ?: return
        val running = runningAt(target).toDouble()
        val usual = usualLoad(target, peers)
        val start = when (cause) {
            PaceCause.NEW, PaceCause.COLD -> maxOf(MIN_START, usual * START_SHARE)
            PaceCause.SILENT, PaceCause.OTHERS -> maxOf(MIN_START, usual * START_SHARE, running)
            PaceCause.PAUSED -> usual * PAUSED_SHARE
            PaceCause.TROUBLE -> running * TROUBLE_SHARE
        }
        val limit = PaceLimit(cause, start, nowMs)
        paces[target.instance] = Pace(target, limit, RecentSigns(), nextRandom())
        limitedTargets = paces.size
        log.info(
            "target pace opened target={} born={} cause={} limit={} usual={} running={} peers={} entryVms={}",
            target.id,
            target.record.startedAtMs,
            cause,
            limit.limit,
            usual,
            running,
            peers.size,
            view().entryVms,
        )
    }

    private fun decide(pace: Pace, nowMs: Long) {
        val target = pace.target
        val others = othersAt(target.id).paceSigns.takeIf { view().isInContact } ?: PaceSigns.NONE
        val signs = pace.signs.at(nowMs) + others
        if (pace.limit.decide(signs, runningAt(target), nowMs)) {
            log.info(
                "target pace lowered target={} limit={} onPace={} offPace={} running={} limitedForMs={}",
                target.id,
                pace.limit.limit,
                signs.onPace,
                signs.offPace,
                runningAt(target),
                nowMs - pace.limit.openedAtMs,
            )
        }
        val peers = peersOrNull(target, 0)
        val usual = peers?.let { usualLoad(target, it) } ?: 0.0
        if (peers == null || pace.limit.hasReached(usual)) lift(pace, usual, peers?.size ?: 0, nowMs)
    }

    private fun lift(pace: Pace, usual: Double, peers: Int, nowMs: Long) {
        paces.remove(pace.target.instance)
        places.retain(paces.keys)
        limitedTargets = paces.size
        seen[pace.target.instance]?.let {
            it.liftedAtMs = nowMs
            it.troubles = 0
        }
        log.info(
            "target pace lifted target={} cause={} limit={} usual={} peers={} limitedForMs={}",
            pace.target.id,
            pace.limit.cause,
            pace.limit.limit,
            usual,
            peers,
            nowMs - pace.limit.openedAtMs,
        )
    }

    /** Returns the targets without a limit that are known for [knownForMs], or null if they are less than half. */
    private fun peersOrNull(target: KnownTarget, knownForMs: Long): List<KnownTarget>? {
        val nowMs = clock.nowMs()
        val accepting = view().acceptingTargets(target.record.service)
        val peers = accepting.filter {
            it.id != target.id && !it.isSilent && it.instance !in paces && isSound(it.instance, knownForMs, nowMs)
        }
        return peers.takeIf { it.isNotEmpty() && it.size * 2 >= accepting.size }
    }

    private fun isSound(instance: TargetInstance, knownForMs: Long, nowMs: Long): Boolean =
        seen[instance]?.let { it.troubles < TROUBLES && nowMs - it.sinceMs >= knownForMs } ?: false

    /** Returns the mean load of [peers] for the size of [target]. */
    private fun usualLoad(target: KnownTarget, peers: List<KnownTarget>): Double =
        target.record.slots * peers.map { runningAt(it).toDouble() / it.record.slots.coerceAtLeast(1) }.average()

    private fun placesOf(pace: Pace, nowMs: Long): BrittleTarget {
        val target = pace.target
        val service: ServiceId = target.record.service
        return BrittleTarget(
            target.instance,
            target.record.slots,
            ownUse.of(target.id).running,
            othersAt(target.id).running,
            demand.sharers(service, view().entryVms, nowMs),
            refusalsPerS = 0.0,
            places = pace.limit.limit.toInt(),
        )
    }

    private fun runningAt(target: KnownTarget): Int = ownUse.of(target.id).running + othersAt(target.id).running

    private fun othersAt(target: TargetId): TargetUse = view().othersUse[target] ?: TargetUse.NONE
}
