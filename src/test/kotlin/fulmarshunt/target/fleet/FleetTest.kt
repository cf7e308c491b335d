/*
 * Where the fleet places requests, and what happens when there is no room.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class FleetTest {
    private val timed = TimedFleet()
    private val fleet = timed.fleet

    private fun placeNow(ask: PlaceAsk): PlaceResult = runBlocking { fleet.place(ask, 0) }

    private fun placed(ask: PlaceAsk): Placement = (placeNow(ask) as PlaceResult.Placed).placement

    /** Guards against new work for targets that leave, are gone or are in a drained domain. */
    @Test
    fun `only ready targets outside drained domains get work`() {
        fleet.update(
            viewOf(
                known(record("leaving", phase = TargetPhase.LEAVING)),
                known(record("left", phase = TargetPhase.LEFT)),
                known(record("drained", domain = there)),
                known(record("ready")),
            ).copy(drained = setOf(there)),
        )
        repeat(3) { expectThat(placed(ask("r$it")).target.id).isEqualTo(TargetId("ready")) }
        fleet.update(fleet.view.copy(drained = setOf(here, there)))
        expectThat(placeNow(ask("late"))).isEqualTo(PlaceResult.NoTarget)
    }

    /** Guards against generations that together outgrow the memory of an engine, which then preempts. */
    @Test
    fun `an engine gets no more than its memory holds`() {
        fleet.update(viewOf(known(record("a"))))
        repeat(6) { expectThat(placeNow(ask("r$it"))).isA<PlaceResult.Placed>() }
        expectThat(placeNow(ask("one more"))).isEqualTo(PlaceResult.Full(0, 1))
    }

    /** Guards against entry VMs that fill an engine together because each sees only its own work. */
    @Test
    fun `the use of other entry VMs counts`() {
        val use = TargetUse(5, 7_600, 0)
        fleet.update(viewOf(known(record("a")), known(record("b"))).copy(othersUse = mapOf(TargetId("a") to use)))
        repeat(6) { expectThat(placed(ask("r$it")).target.id).isEqualTo(TargetId("b")) }
    }

    /** Guards against a burst of prompts that queue behind each other at one engine. */
    @Test
    fun `prompts are spread`() {
        fleet.update(viewOf(known(record("a")), known(record("b")), known(record("c"))))
        val targets = (1..3).map { placed(ask("r$it")).target.id }.toSet()
        expectThat(targets.size).isEqualTo(3)
    }

    /** Guards against a target that fails what it gets and, being idle, gets ever more. */
    @Test
    fun `a failing target is avoided and later tried again`() {
        val good = known(record("good", service = plain, domain = there))
        fleet.update(viewOf(known(record("bad", service = plain)), good))
        repeat(4) {
            val placement = placed(ask("r$it", plain))
            val isBad = placement.target.id == TargetId("bad")
            fleet.end(placement, if (isBad) UseEnd.FAILED else UseEnd.SUCCEEDED)
        }
        expectThat(placed(ask("next", plain)).target.id).isEqualTo(TargetId("good"))
        timed.nowMs += 60_000
        expectThat(placed(ask("later", plain)).target.id).isEqualTo(TargetId("bad"))
    }

    /** Guards against a request that waits although a place has become free, and against lost places. */
    @Test
    fun `a waiting request gets the place that becomes free`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(ask("r$it")) }
        val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(ask("waiting"), 60_000) }
        fleet.end(running.first(), UseEnd.SUCCEEDED)
        expectThat(waiting.await()).isA<PlaceResult.Placed>()
    }

    /** Guards against a place that stays taken by a caller that left while it waited. */
    @Test
    fun `a cancelled wait takes no place`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(ask("r$it")) }
        val waiting = launch(start = CoroutineStart.UNDISPATCHED) { fleet.place(ask("waiting"), 60_000) }
        fleet.end(running.first(), UseEnd.SUCCEEDED)
        waiting.cancel()
        waiting.join()
        running.drop(1).forEach { fleet.end(it, UseEnd.SUCCEEDED) }
        expectThat(fleet.use()).isEqualTo(emptyMap())
    }

    /** Guards against a cold target that gets the load of a warm one. */
    @Test
    fun `a cold target gets its share in each second`() {
        fleet.update(viewOf(known(record("cold"), coldUntilMs = timed.nowMs + 5_000)).copy(entryVms = 5))
        val small = { number: Int -> ask("r$number", prompt = 1, output = 1) }
        repeat(2) { expectThat(placeNow(small(it))).isA<PlaceResult.Placed>() }
        expectThat(placeNow(small(3))).isA<PlaceResult.Full>()
        timed.nowMs += 1_300
        expectThat(placeNow(small(4))).isA<PlaceResult.Placed>()
    }

    /** Guards against copies that take the room of requests, or that lie where the run is. */
    @Test
    fun `a copy goes to another target with much free memory`() {
        fleet.update(viewOf(known(record("a")), known(record("b"))))
        val run = placed(ask("run", prompt = 4_000, output = 1_000))
        val copy = checkNotNull(fleet.placeCopy(run))
        expectThat(copy.target.id).isNotEqualTo(run.target.id)
        expectThat(fleet.placeCopy(run)).isEqualTo(null)
    }
}
