/*
 * What a target says of its load in an answer. The figures are those of the moment at which the answer began; they say
 * nothing of another run of the target.
 */
package fulmarshunt.target.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** A larger figure is taken for a fault of the target, so that no sum of figures overflows. */
private const val MAX_FIGURE = 1_000_000

/** The load that a target has stated. */
@ConsistentCopyVisibility
public data class StatedLoad internal constructor(
    /** The requests that run, from all entry VMs. */
    public val running: Int,
    /** The requests that wait at the target. */
    public val waiting: Int,
    /** The requests that the target runs concurrently. */
    public val slots: Int,
    /** How long work takes there now, in percent of its usual time; null if the target does not say it. */
    public val workPercent: Int?,
)

/** Returns the load with these figures, or which of them cannot be right. */
public fun statedLoad(running: Long, waiting: Long, slots: Long, workPercent: Long?): Either<String, StatedLoad> =
    when {
        running !in 0..MAX_FIGURE -> "running=$running".left()
        waiting !in 0..MAX_FIGURE -> "waiting=$waiting".left()
        slots !in 1..MAX_FIGURE -> "slots=$slots".left()
        workPercent != null && workPercent !in 1..MAX_FIGURE -> "workPercent=$workPercent".left()
        else -> StatedLoad(running.toInt(), waiting.toInt(), slots.toInt(), workPercent?.toInt()).right()
    }
