/*
 * Whether the disk of a voter takes writes: reports and logs when writes find no room or hang, and when they end again.
 */
package fulmarshunt.voter

import fulmarshunt.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/**
 * Watches the disk that holds [directory]. It is confined to the control thread.
 *
 * @param hangLimitMs a write that takes longer counts as hanging.
 * @param periodMs how often a write that is under way is looked at.
 * @param onBlocked called when the disk takes no writes, possibly again and again.
 */
internal class DiskMonitor(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val directory: String,
    private val hangLimitMs: Long,
    private val periodMs: Long,
    private val onBlocked: () -> Unit,
) {
    private val log = LogManager.getLogger(DiskMonitor::class.java)
    private val problemState = MutableStateFlow<String?>(null)
    private var blockedSinceMs = 0L
    private var hangCheck: Job? = null

    /** Why the disk takes no writes at the moment, or null. */
    val problem: StateFlow<String?> = problemState.asStateFlow()

    /** Records that a write does not end because of [reason]. */
    fun block(reason: String) {
        if (problemState.value == null) {
            problemState.value = reason
            blockedSinceMs = clock.nowMs()
            log.warn("disk blocked directory={} reason={}", directory, reason)
        }
        onBlocked()
    }

    /** Records that a write has ended. */
    fun unblock() {
        if (problemState.value == null) return
        problemState.value = null
        log.info("disk writable again directory={} blockedMs={}", directory, clock.nowMs() - blockedSinceMs)
    }

    /** Looks at the current write of [writer] from time to time, until nothing is left to write. */
    fun watch(writer: DiskWriter) {
        if (hangCheck?.isActive == true) return
        hangCheck =
            scope.launch {
                while (!writer.isIdle) {
                    val dueAtMs = clock.nowMs() + periodMs
                    delay(periodMs)
                    val sinceMs = writer.currentWriteSinceMs ?: continue
                    val tookMs = clock.nowMs() - sinceMs
                    // After a pause of this process, the end of the write may not have been handled yet.
                    val isLate = clock.nowMs() - dueAtMs >= periodMs
                    if (!isLate && tookMs >= hangLimitMs) block("a write has not ended for $tookMs ms")
                }
            }
    }

    /** Stops looking at writes. */
    fun stop() {
        hangCheck?.cancel()
    }
}
