/*
 * Tests which times between events count as times of the target.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.TimedFleet
import fulmarshunt.target.fleet.known
import fulmarshunt.target.fleet.record
import fulmarshunt.target.fleet.request
import fulmarshunt.target.fleet.viewOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EventPaceTest {
    private val fleet = TimedFleet().fleet.also { it.update(viewOf(known(record("a")))) }
    private val reports = mutableListOf<Pair<Long, Long>>()
    private val pace = EventPace { _, events, elapsedMs -> reports += events to elapsedMs }

    private fun place(): Placement =
        runBlocking { fleet.place(request("r", prompt = 1, output = 1), 0) as PlacementResult.Placed }.placement

    /** Guards against a slow caller, or the reading of a prompt, that counts as slowness of the target. */
    @Test
    fun `only waits for the target between its events count`() {
        val first = place()
        var nowMs = 0L
        repeat(11) { pace.record(first, 1, if (it == 0) 5_000 else 40, nowMs.also { nowMs += 40 }) }
        expectThat(reports).isEqualTo(mutableListOf(8L to 320L))
        repeat(20) { pace.record(first, 1, 10, nowMs.also { nowMs += 400 }) }
        pace.record(place(), 30, 3_000, nowMs)
        expectThat(reports).isEqualTo(mutableListOf(8L to 320L))
    }
}
