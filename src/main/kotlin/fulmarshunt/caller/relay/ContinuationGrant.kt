/*
 * The permission to continue a run at another target, which counts as a repeat. It is taken before the run is stopped,
 * and returned if it is not used.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.Placement
import org.apache.logging.log4j.LogManager

/** The permission to continue the run of [job] at one target. Confined to the traffic thread. */
internal class ContinuationGrant(private val dependencies: StreamDependencies, private val job: RelayJob) {
    private val log = LogManager.getLogger(ContinuationGrant::class.java)
    private var holder: Placement? = null

    /**
     * Takes the permission to continue at [placement], or keeps one that is held for it.
     *
     * @param isUnclear whether an earlier continuation may run.
     */
    suspend fun tryTake(placement: Placement, how: String, isUnclear: Boolean): Boolean {
        val reason = when {
            isUnclear -> "unclear"
            // The failure domain may have been drained after the copy was made.
            dependencies.views.value.isDrained(placement) -> "drained"
            holder === placement -> return true
            else -> {
                giveBack()
                if (dependencies.placements.tryContinue(placement)) null else "limits"
            }
        }
        if (reason == null) {
            holder = placement
        } else {
            log.warn("run not continued request={} how={} to={} reason={}", job.id, how, placement.target.id, reason)
        }
        return reason == null
    }

    /** Records that the continuation is sent. */
    suspend fun use() {
        holder = null
        dependencies.placements.recordContinuation()
    }

    /** Returns a permission that is not used. */
    suspend fun giveBack() {
        if (holder != null) dependencies.placements.returnContinuation()
        holder = null
    }
}

internal fun FleetView.isDrained(placement: Placement): Boolean = placement.target.record.domain in drained
