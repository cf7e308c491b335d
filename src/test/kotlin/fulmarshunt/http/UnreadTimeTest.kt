/*
 * The bounds of how long input has waited before it was read.
 */
package fulmarshunt.http

import fulmarshunt.clockOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Shorter than what counts as a pause. */
private const val STALL_MS = 340L

class UnreadTimeTest {
    private var nowMs = 10_000L
    private val unreadTime = UnreadTime(clockOf { nowMs })

    private fun tickAfter(ms: Long) {
        nowMs += ms
        unreadTime.tick()
    }

    private fun ArrivalBound.arrival(): Long? {
        recordInput(isFirstHead = true)
        return headSinceMs
    }

    /** Guards against an order that is taken for new although a slow process let it lie for several turns. */
    @Test
    fun `input of a connection that was accepted and read late is as old as the connection`() {
        tickAfter(TICK_PERIOD_MS)
        val arrivedAtMs = nowMs + 1
        // The connection is accepted in one turn of the event loop, read in the next one, and handled in a third.
        nowMs += STALL_MS
        val arrivals = ArrivalBound(unreadTime)
        unreadTime.tick()
        tickAfter(STALL_MS)
        arrivals.recordRead()
        tickAfter(STALL_MS)
        expectThat(arrivals.arrival()).isNotNull().isLessThanOrEqualTo(arrivedAtMs)
    }

    /** Guards against the refusal of a new order on a connection that was opened long before. */
    @Test
    fun `input is not older than the last turn that found none`() {
        val arrivals = ArrivalBound(unreadTime)
        arrivals.recordRead()
        repeat(20) { tickAfter(TICK_PERIOD_MS) }
        nowMs += 1
        expectThat(arrivals.arrival()).isEqualTo(nowMs - 1 - TICK_PERIOD_MS)
    }

    /** Guards against a paused process that takes what arrived meanwhile for new, also on kept connections. */
    @Test
    fun `input that arrives during a pause is older than the pause`() {
        val arrivals = ArrivalBound(unreadTime)
        arrivals.recordRead()
        repeat(3) { tickAfter(TICK_PERIOD_MS) }
        val pausedAtMs = nowMs
        nowMs += 4_000
        expectThat(arrivals.arrival()).isNotNull().isLessThanOrEqualTo(pausedAtMs)
        expectThat(ArrivalBound(unreadTime).arrival()).isNotNull().isLessThanOrEqualTo(pausedAtMs)
    }

    /** Guards against the refusal of an order that follows a call that took long. */
    @Test
    fun `a request on a kept connection is newer than the last response`() {
        val arrivals = ArrivalBound(unreadTime)
        arrivals.recordRead()
        arrivals.arrival()
        repeat(30) { tickAfter(TICK_PERIOD_MS) }
        arrivals.recordResponse()
        arrivals.recordRead()
        nowMs += 1
        expectThat(arrivals.arrival()).isEqualTo(nowMs - 1)
    }
}
