/*
 * Waiting, refusals and retries, decided for single requests and in a simulated shortage of capacity.
 */
package fulmarshunt.caller.relay

import fulmarshunt.RequestId
import fulmarshunt.http.HttpConnection
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.ServiceShare
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.PlacementRequest
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TimedFleet
import fulmarshunt.target.fleet.UseOutcome
import fulmarshunt.target.fleet.engines
import fulmarshunt.target.fleet.known
import fulmarshunt.target.fleet.record
import fulmarshunt.target.fleet.viewOf
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan

private const val CALLER_TIMEOUT_MS = 39_000L
private const val OBJECTIVE_MS = 1_800L
private const val START_MS = 1_000_000L
private const val STEP_MS = 50L

class OverloadPolicyTest {
    private val letters = Route(
        "letters", "h", "/l/", Repeatability.STREAM, CALLER_TIMEOUT_MS, OBJECTIVE_MS, 180, 0,
        listOf(ServiceShare(engines.id, 1.0)), 1, true, false,
    )
    private val full = PlacementResult.Full(0, 3)

    private fun job(
        arrivedAtMs: Long = START_MS,
        callerTimeoutMs: Long = CALLER_TIMEOUT_MS,
        name: String = "r",
    ): RelayJob {
        val connection = HttpConnection(EmbeddedChannel())
        val metadata = RequestMetadata(RequestId(name), null, callerTimeoutMs, GenerationHints(1_000, 500, null))
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/l/x")
        val request =
            CallerRequest(head, metadata, RequestBody(connection, 1_000, 0), connection, arrivedAtMs) { false }
        val elapsedMs = CALLER_TIMEOUT_MS - callerTimeoutMs
        return RelayJob(
            request, RequestId(name), letters, engines, null, 0, crashCausesOf(null, emptyList()),
            arrivedAtMs + callerTimeoutMs,
            arrivedAtMs + OBJECTIVE_MS - elapsedMs, 500,
        )
    }

    /** Guards against callers that give up while they wait, and against requests held for most of their timeout. */
    @Test
    fun `a request waits for a fraction of its caller timeout`() {
        expectThat(placementTimeoutMs(job())).isLessThan(4 * OBJECTIVE_MS)
        expectThat(placementTimeoutMs(job())).isGreaterThan(OBJECTIVE_MS)
        expectThat(placementTimeoutMs(job(callerTimeoutMs = 1_000))).isLessThan(750)
    }

    /** Guards against callers that all retry at the same time, during the shortage for which they were refused. */
    @Test
    fun `retries of callers that are late anyway are spread over a third of their timeout`() {
        val nowMs = START_MS + OBJECTIVE_MS
        val remainingMs = CALLER_TIMEOUT_MS - OBJECTIVE_MS
        val delays = listOf(0.0, 0.5, 0.99).map { retryDelayMs(job(), full, nowMs, it) }
        expectThat(delays).isEqualTo(delays.sorted())
        expectThat(delays.last() - delays.first()).isGreaterThan(remainingMs / 6)
        expectThat(delays.last()).isLessThan(remainingMs / 3)
    }

    /** Guards against callers that are told to wait longer than it takes to serve them in time. */
    @Test
    fun `callers that can be served in time retry soon`() {
        expectThat(retryDelayMs(job(), full, START_MS, 0.99)).isIn(50L..OBJECTIVE_MS)
    }

    /** Guards against callers that return before there is room, or all at the moment at which it is expected. */
    @Test
    fun `callers return when room is expected, spread, within a third of their timeout`() {
        fun delays(roomAfterMs: Long) =
            listOf(0.0, 0.99).map { retryDelayMs(job(), full.copy(roomAfterMs = roomAfterMs), START_MS, it) }
        expectThat(delays(700).first()).isEqualTo(700)
        expectThat(delays(700).last()).isIn(1_000L..1_400L)
        expectThat(delays(4_000).first()).isEqualTo(4_000)
        expectThat(delays(60_000).first()).isIn(5_000L..6_000L)
        expectThat(delays(60_000).last()).isIn(11_000L..CALLER_TIMEOUT_MS / 3)
    }

    /** Guards against a short timeout that is mistaken for a retry, and retries mistaken for first attempts. */
    @Test
    fun `a retry is recognised by a shorter timeout than others on the route`() {
        val history = CallerTimeoutHistory()
        expectThat(history.elapsedBeforeMs(letters, 20_000)).isEqualTo(0)
        expectThat(history.elapsedBeforeMs(letters, 20_000)).isEqualTo(0)
        expectThat(history.elapsedBeforeMs(letters, CALLER_TIMEOUT_MS)).isEqualTo(0)
        expectThat(history.elapsedBeforeMs(letters, CALLER_TIMEOUT_MS - 4_000)).isEqualTo(4_000)
        expectThat(history.elapsedBeforeMs(letters, null)).isEqualTo(0)
    }

    /**
     * Simulates generations of 4 s at two engines, one of which is gone for 3 s, so that there are six slots where ten
     * are needed. Guards against requests that are refused although slots become free while they can wait.
     */
    @Test
    fun `no request is refused in a shortage that is shorter than the wait`(): Unit = runBlocking {
        val shortage = Shortage(this)
        for (step in 0 until 400) shortage.step(step)
        expectThat(shortage.refused).isEmpty()
        expectThat(shortage.waitedMs.keys).hasSize(shortage.arrivals)
        val afterwards = shortage.waitedMs.filterKeys { it > 8_000 }.values
        expectThat(afterwards.max()).isLessThan((OBJECTIVE_MS * 0.6).toLong())
    }

    /** Requests that arrive each 400 ms until 15 s; one engine is gone from 2 s to 5 s. */
    private inner class Shortage(private val scope: CoroutineScope) {
        private val timed = TimedFleet()
        private val both = listOf(record("a"), record("b"))
        private val waiting = mutableMapOf<Long, Pair<RelayJob, Job>>()
        private val running = mutableListOf<Pair<Long, Placement>>()
        val refused = mutableListOf<Long>()

        /** How long each request waited, by its arrival. */
        val waitedMs = sortedMapOf<Long, Long>()
        var arrivals = 0

        suspend fun step(number: Int) {
            val atMs = number * STEP_MS
            timed.nowMs = START_MS + atMs
            if (atMs == 0L || atMs == 5_000L) timed.fleet.update(viewOf(*both.map { known(it) }.toTypedArray()))
            if (atMs == 2_000L) {
                val leaving = known(both[1].copy(phase = TargetPhase.LEAVING))
                timed.fleet.update(viewOf(known(both[0]), leaving))
            }
            running.filter { it.first <= atMs }.forEach { ended ->
                running -= ended
                timed.fleet.end(ended.second, UseOutcome.SUCCEEDED)
            }
            if (atMs % 400 == 0L && atMs < 15_000) arrive(atMs)
            yield()
            refuseLate(atMs)
        }

        private fun arrive(atMs: Long) {
            arrivals += 1
            val job = job(START_MS + atMs, name = "r$atMs")
            val request: PlacementRequest = job.toPlacementRequest()
            val waiter = scope.launch(start = CoroutineStart.UNDISPATCHED) {
                val result = timed.fleet.place(request, Long.MAX_VALUE / 2) as PlacementResult.Placed
                val nowMs = timed.nowMs - START_MS
                waiting -= atMs
                waitedMs[atMs] = nowMs - atMs
                running += nowMs + 4_000 to result.placement
            }
            if (waiter.isActive) waiting[atMs] = job to waiter
        }

        private fun refuseLate(atMs: Long) {
            waiting.filter { (arrivedAtMs, entry) ->
                atMs - arrivedAtMs >= placementTimeoutMs(entry.first)
            }.forEach { (key, entry) ->
                entry.second.cancel()
                waiting -= key
                refused += key
            }
        }
    }
}
