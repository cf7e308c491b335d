/*
 * Owns the verdicts on open roll-outs. The leader of the replicated log judges and commits each step; a former leader
 * that acts late commits nothing, because a step names the order that it belongs to, and an ended roll-out never
 * changes. Each control VM measures the time since the order, so that a new leader goes on where the former one was.
 * Confined to the control thread.
 */
package fulmarshunt.operator.rollout

import arrow.core.Either
import fulmarshunt.Clock
import fulmarshunt.LogIndex
import fulmarshunt.operator.serving.ServingCommand
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import org.apache.logging.log4j.LogManager

/** How often open roll-outs are judged; less than the period in which entry VMs report. */
private const val JUDGE_PERIOD_MS = 200L

/**
 * How long streams may move to the new version before the others may end: entry VMs hear of it within about 0.3 s, and
 * a move takes a few hundred ms.
 */
private const val MOVE_MS = 1_500L

/** How long after the start of a process roll-outs that it sees for the first time may come from its replayed log. */
private const val REPLAY_MS = 10_000L

/** A wall clock that says a roll-out is older than this many times its duration was set, and is not believed. */
private const val MAX_DURATIONS = 3

/** The functions that [RolloutOwner] uses. */
internal class RolloutOwnerDependencies(
    val snapshot: () -> ServingSnapshot,
    val isLeader: () -> Boolean,
    /** Commits a command; on the left is why its outcome is unknown. */
    val submit: suspend (ServingCommand) -> Either<String, Unit>,
    val evidence: EvidenceTable,
    val clock: Clock,
    val wallClock: Clock,
)

/** Judges open roll-outs while its control VM leads. */
public class RolloutOwner internal constructor(private val dependencies: RolloutOwnerDependencies) {
    private val log = LogManager.getLogger(RolloutOwner::class.java)

    private val startedAtMs = dependencies.clock.nowMs()

    /** When this VM first saw each phase of the open roll-outs; earlier for an order from before its start. */
    private val seenAtMs = mutableMapOf<Pair<LogIndex, RolloutPhase>, Long>()

    /** Starts to judge on [control]. */
    public fun start(control: ControlThread) {
        control.every(JUDGE_PERIOD_MS) { step() }
    }

    /** Judges the open roll-outs once. */
    internal suspend fun step() {
        val nowMs = dependencies.clock.nowMs()
        val open = dependencies.snapshot().rollouts.values.filter { it.isOpen }
        seenAtMs.keys.retainAll { (index, _) -> open.any { it.orderIndex == index } }
        open.forEach { seenAtMs.getOrPut(it.orderIndex to it.phase) { nowMs - replayedAgeMs(it, nowMs) } }
        dependencies.evidence.retain(open)
        if (open.isEmpty()) return
        dependencies.evidence.sample(nowMs)
        if (!dependencies.isLeader()) return
        for (rollout in open) {
            val (next, reason) = nextOrNull(rollout, nowMs) ?: continue
            commit(rollout, next, reason)
        }
    }

    private fun nextOrNull(rollout: Rollout, nowMs: Long): Pair<RolloutPhase, String>? {
        if (rollout.phase == RolloutPhase.MOVING) {
            val movedMs = nowMs - seenAtMs.getValue(rollout.orderIndex to rollout.phase)
            return (RolloutPhase.COMPLETED to "streams had $movedMs ms to move").takeIf { movedMs >= MOVE_MS }
        }
        val elapsedMs = nowMs - seenAtMs.getValue(rollout.orderIndex to rollout.phase)
        val evidence = dependencies.evidence.evidenceOf(rollout, nowMs, elapsedMs)
        val verdict = judge(evidence, elapsedMs, rollout.order.durationMs)
        log.debug("roll-out judged order={} elapsedMs={} verdict={}", rollout.orderIndex, elapsedMs, verdict)
        return when (verdict) {
            is Verdict.Continue -> null
            is Verdict.Good -> RolloutPhase.MOVING to "found good after $elapsedMs ms: ${verdict.reason}"
            is Verdict.Bad -> RolloutPhase.ROLLED_BACK to "found bad after $elapsedMs ms: ${verdict.reason}"
        }
    }

    /** Returns how old [rollout] is, if this VM may have restarted since its order; 0 otherwise. */
    private fun replayedAgeMs(rollout: Rollout, nowMs: Long): Long {
        if (rollout.phase != RolloutPhase.RUNNING || nowMs - startedAtMs > REPLAY_MS) return 0
        val ageMs = dependencies.wallClock.nowMs() - rollout.startedAtEpochMs
        return if (ageMs in 0..rollout.order.durationMs * MAX_DURATIONS) ageMs else 0
    }

    private suspend fun commit(rollout: Rollout, next: RolloutPhase, reason: String) {
        val order = rollout.order
        val result = dependencies.submit(ServingCommand.AdvanceRollout(order.service, rollout.orderIndex, next))
        log.info(
            "roll-out verdict service={} target={} order={} from={} to={} reason={} result={}",
            order.service,
            order.target,
            rollout.orderIndex,
            rollout.phase,
            next,
            reason,
            result.fold({ "unclear: $it" }, { "done" }),
        )
    }
}
