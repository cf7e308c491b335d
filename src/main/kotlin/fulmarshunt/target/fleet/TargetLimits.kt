/*
 * Keeps the limits that targets name. A limit of requests holds for all entry VMs together; each entry VM sends a
 * target one request in a period that depends on the limit and on the number of entry VMs. Like the shares of the limit
 * of cold targets and of the budget of repeats, that needs no agreement at the moment of a request, and holds for a VM
 * that is cut off. What brittle targets say of their refusals is kept here as well. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.target.TargetInstance
import org.apache.logging.log4j.LogManager

private const val MS_PER_S = 1_000.0

/** The part of a limit that is used, because the turns of independent entry VMs fall together at times. */
private const val USED_SHARE = 0.75

/** A lower limit is taken for this one, so that a target whose need has ended is heard to say so. */
private const val MIN_LIMIT_PER_S = 0.1

/** The limits of targets as one entry VM keeps them. */
public class TargetLimits internal constructor(
    private val clock: Clock,
    /** Returns a random number in 0 until 1. */
    nextRandom: () -> Double,
) {
    private val log = LogManager.getLogger(TargetLimits::class.java)
    private val named = NamedLimits()
    private val turns = RequestTurns(nextRandom)

    /** The targets that name a limit of any kind. */
    internal val limited: Set<TargetInstance> get() = named.limited

    /** The refusals in a second that each brittle instance bears from all entry VMs together. */
    internal val refusalLimits: Map<TargetInstance, Double> get() = named.refusalLimits

    /** Returns whether [instance] has said lately that it is not brittle any more. */
    internal fun isSound(instance: TargetInstance): Boolean = named.isSound(instance)

    /** Returns what targets have said to this VM. */
    public fun heard(): List<LimitStatement> = named.statements(clock.nowMs(), onlyDirect = true)

    /** Records [statements], and returns whether a limit has changed. */
    internal fun record(statements: List<LimitStatement>, isDirect: Boolean): Boolean {
        val changed = statements.filter { it.isValid && named.record(it, clock.nowMs(), isDirect) }
        for (statement in changed) {
            val requestsPerS = named.limitOrNull(statement.instance)
            // Turns that are long past would all be used at once under the next limit.
            if (requestsPerS == null) turns.remove(statement.instance.target)
            log.info(
                "target limit changed target={} born={} requestsPerS={} refusalsPerS={} source={}",
                statement.instance.target,
                statement.instance.incarnation,
                requestsPerS,
                named.refusalLimitOrNull(statement.instance),
                if (isDirect) "response" else "control VM",
            )
        }
        return changed.isNotEmpty()
    }

    /**
     * Returns the time after which [target] takes a request of this VM; 0 if it takes one now or names no limit.
     *
     * @param ahead the requests of this VM that are sent before.
     */
    internal fun waitMs(target: KnownTarget, entryVms: Int, ahead: Int = 0): Long {
        val limitPerS = named.limitOrNull(target.instance)?.coerceAtLeast(MIN_LIMIT_PER_S) ?: return 0
        val periodMs = (MS_PER_S * entryVms / (limitPerS * USED_SHARE)).toLong()
        return turns.waitMs(target.id, periodMs, clock.nowMs()) + ahead * periodMs
    }

    /** Records that a request is sent to [target]. */
    internal fun recordRequest(target: KnownTarget): Unit = turns.take(target.id, clock.nowMs())

    /** Forgets what was said long ago. */
    internal fun expire() {
        named.expire(clock.nowMs())
        turns.retain(named.limited.mapTo(mutableSetOf()) { it.target })
    }
}
