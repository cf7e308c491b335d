/*
 * The graceful shutdown of the connections of callers. Callers reach this VM until the load balancer has removed it,
 * and over open connections until they are told to use others.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Clock
import fulmarshunt.http.Traffic
import io.netty.channel.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The load balancer probes every second and removes a VM after two failures; until then, new connections arrive. */
private const val BALANCER_REMOVAL_MS = 2_600L
private const val CHECK_PERIOD_MS = 50L

/** The time at the end of the shutdown in which requests without a response are answered. */
private const val LAST_RESPONSES_MS = 300L

/** The time at the end of the shutdown in which the last lines of the log are written. */
private const val LAST_LOG_MS = 100L

/** Ends the connections of callers. */
public class CallerShutdown(
    private val traffic: Traffic,
    private val callers: CallerConnections,
    private val plannedStop: PlannedStop,
    private val clock: Clock,
    /** Whether connections of other VMs are being forwarded. */
    private val isForwarding: () -> Boolean = { false },
) {
    private val log = LogManager.getLogger(CallerShutdown::class.java)

    /**
     * Serves the requests that can end within [graceMs], refuses others, and closes all connections and [listener].
     *
     * It returns as soon as every request has its response, but not before the load balancer has removed this VM or
     * the time is over.
     */
    public suspend fun run(graceMs: Long, listener: Channel): Unit = withContext(traffic.dispatch) {
        val nowMs = clock.nowMs()
        val answerMs = graceMs - LAST_LOG_MS - LAST_RESPONSES_MS
        log.info("process stops reason=SIGTERM active={}", callers.active)
        plannedStop.begin(nowMs + answerMs, nowMs + BALANCER_REMOVAL_MS)
        val deadline = launch {
            delay(answerMs)
            closeListener(listener)
            plannedStop.giveUpRequests()
        }
        withTimeoutOrNull(answerMs + LAST_RESPONSES_MS) {
            delay(BALANCER_REMOVAL_MS)
            callers.stop()
            while (callers.hasPendingWork || isForwarding()) delay(CHECK_PERIOD_MS)
        }
        deadline.cancel()
        // Runs without a suspension after the last check, so that no request is read in between.
        listener.close()
        callers.close()
        closeListener(listener)
    }

    /** Closes [listener], so that callers connect to other VMs; their last requests here could not be answered. */
    private suspend fun closeListener(listener: Channel) {
        listener.close()
        // The selector releases the listening socket when it next selects, which it does before a delay ends.
        delay(1)
    }
}
