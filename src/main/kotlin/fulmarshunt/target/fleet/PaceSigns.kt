/*
 * What answers say of the pace of a target. Each entry VM counts its own recent answers and reports the counts with its
 * use of the target. Control VMs add them up, so that every entry VM decides by the answers to all of them: with
 * hundreds of entry VMs, a single one gets too few answers of a target to tell anything. Confined to the control
 * thread.
 */
package fulmarshunt.target.fleet

import kotlinx.serialization.Serializable

/** How long an answer counts; longer than the age of a report, so that every entry VM sees it about once. */
internal const val SIGN_WINDOW_MS: Long = 1_000L

/** One entry VM counts at most so many answers of a kind; more do not raise the limit faster. */
private const val MAX_SIGNS = 64

/** Signs are bad if one in so many is; a single failure among many answers may be that of its request. */
private const val ANSWERS_FOR_ONE_BAD = 4

/** The recent answers of one target, as counted by one or more entry VMs. */
@Serializable
public data class PaceSigns(
    /** The entry VMs that limit the target. */
    public val vms: Int = 0,
    /** The answers as quick as those of the target's peers. */
    public val onPace: Int = 0,
    /** The refusals, failures and answers far slower than those of the target's peers. */
    public val offPace: Int = 0,
) {
    /** Whether the target gets more than it handles. */
    internal val isBad: Boolean get() = offPace > 0 && offPace * ANSWERS_FOR_ONE_BAD >= offPace + onPace

    internal operator fun plus(other: PaceSigns): PaceSigns =
        if (other == NONE) this else PaceSigns(vms + other.vms, onPace + other.onPace, offPace + other.offPace)

    internal operator fun minus(other: PaceSigns): PaceSigns = PaceSigns(
        (vms - other.vms).coerceAtLeast(0),
        (onPace - other.onPace).coerceAtLeast(0),
        (offPace - other.offPace).coerceAtLeast(0),
    )

    internal companion object {
        val NONE: PaceSigns = PaceSigns()
    }
}

/** The recent answers of one target to one entry VM. */
internal class RecentSigns {
    private val onPaceAtMs = ArrayDeque<Long>()
    private val offPaceAtMs = ArrayDeque<Long>()

    fun record(isOnPace: Boolean, nowMs: Long) {
        val times = if (isOnPace) onPaceAtMs else offPaceAtMs
        times.addLast(nowMs)
        if (times.size > MAX_SIGNS) times.removeFirst()
    }

    /** Returns the answers of the last [SIGN_WINDOW_MS]. */
    fun at(nowMs: Long): PaceSigns {
        for (times in listOf(onPaceAtMs, offPaceAtMs)) {
            while (times.isNotEmpty() && nowMs - times.first() >= SIGN_WINDOW_MS) times.removeFirst()
        }
        return PaceSigns(1, onPaceAtMs.size, offPaceAtMs.size)
    }
}
