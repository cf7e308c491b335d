/*
 * Tests what is refused by a forecast of its wait, and when refused callers are expected back.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ServiceId
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class WaitForecastTest {
    private val timed = TimedFleet()
    private val fleet = timed.fleet

    private fun placed(name: String): Placement =
        (runBlocking { fleet.place(request(name), 0) } as PlacementResult.Placed).placement

    /** Fills one engine with six requests of 1,500 tokens; [ended] others have held their capacity for 200 s. */
    private fun fill(ended: Int): List<Placement> {
        fleet.update(viewOf(known(record("a"))))
        repeat(ended) {
            val placement = placed("ended$it")
            timed.nowMs += 200_000
            fleet.end(placement, UseOutcome.SUCCEEDED)
        }
        return List(6) { placed("running$it") }
    }

    /** Guards against callers that are held although they will not be served, and against others that are refused. */
    @Test
    fun `what would not be placed while it waits is refused at once, and nothing else`(): Unit = runBlocking {
        val running = fill(ended = 20)
        // The engine frees its capacity in 200 s, and thus 0.15 of it, as each request needs, in 30 s.
        val waiting = List(4) { async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("w$it"), 100_000) } }
        expectThat(waiting.count { it.isCompleted }).isEqualTo(0)
        val hopeless = fleet.place(request("hopeless"), 50_000)
        expectThat(hopeless).isA<PlacementResult.Full>().and {
            get { reason }.isEqualTo(RefusalReason.FORECAST)
            get { forecast?.waitMs }.isEqualTo(120_000)
        }
        val patient = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("patient"), 130_000) }
        expectThat(patient.isCompleted).isEqualTo(false)
        running.forEach { fleet.end(it, UseOutcome.SUCCEEDED) }
        (waiting + patient).forEach { expectThat(it.await()).isA<PlacementResult.Placed>() }
    }

    /** Guards against a fresh process that refuses, and against refusals while nothing waits. */
    @Test
    fun `without evidence or a queue nothing is refused by forecast`(): Unit = runBlocking {
        fill(ended = 9)
        val waiting = List(8) { async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("w$it"), 100) } }
        expectThat(waiting.count { it.isCompleted }).isEqualTo(0)
        waiting.forEach { expectThat(it.await()).isA<PlacementResult.Full>().get { roomAfterMs }.isNull() }
        expectThat(FreeingRate(1.0).forecastOrNull(Ahead(0, 0.0), patienceMs = 1)).isNull()
    }

    /** Guards against a request that goes on waiting after urgent ones have taken its turn. */
    @Test
    fun `a request that urgent ones push back too far is refused`(): Unit = runBlocking {
        fill(ended = 20)
        val other = request("other").copy(rank = 1)
        val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(other, 50_000) }
        val urgent = List(3) { async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("u$it"), 100_000) } }
        expectThat(waiting.await()).isA<PlacementResult.Full>().get { forecast?.ahead }.isEqualTo(3)
        expectThat(urgent.count { it.isCompleted }).isEqualTo(0)
        urgent.forEach { it.cancel() }
    }

    /** Guards against callers that were refused together and return together. */
    @Test
    fun `refused callers return as capacity comes free, and not too late`() {
        val schedule = ReturnSchedule()
        val service = ServiceId("s")
        val delays = List(10) { schedule.takeMs(service, 0, 1_000, 300, 0) }
        expectThat(delays).isEqualTo(List(10) { 1_000L + 300 * it })
        expectThat(schedule.takeMs(service, 1, 400, 300, 0)).isEqualTo(400)
        repeat(1_000) { schedule.takeMs(service, 0, 1_000, 300, 0) }
        expectThat(schedule.takeMs(service, 0, 1_000, 300, 0)).isLessThan(15_001)
        expectThat(schedule.takeMs(service, 0, 1_000, 300, 60_000)).isEqualTo(1_000)
        expectThat(delays.last()).isGreaterThan(delays.first())
    }
}
