/*
 * Where the fleet places requests, and what happens when there is no room.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class FleetTest {
    private val timed = TimedFleet()
    private val fleet = timed.fleet

    private fun placeNow(ask: PlacementRequest): PlacementResult = runBlocking { fleet.place(ask, 0) }

    private fun placed(ask: PlacementRequest): Placement = (placeNow(ask) as PlacementResult.Placed).placement

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
        expectThat(placeNow(ask("late"))).isEqualTo(PlacementResult.NoTarget)
    }

    /** Guards against generations that together outgrow the memory of an engine, which then preempts. */
    @Test
    fun `an engine gets no more than its memory holds`() {
        fleet.update(viewOf(known(record("a"))))
        repeat(6) { expectThat(placeNow(ask("r$it"))).isA<PlacementResult.Placed>() }
        expectThat(placeNow(ask("one more"))).isEqualTo(PlacementResult.Full(0, 1))
    }

    /** Guards against entry VMs that fill an engine together because each sees only its own work. */
    @Test
    fun `the use of other entry VMs counts`() {
        val use = TargetUse(5, 8_300, 0)
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
            fleet.end(placement, if (isBad) UseOutcome.FAILED else UseOutcome.SUCCEEDED)
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
        fleet.end(running.first(), UseOutcome.SUCCEEDED)
        expectThat(waiting.await()).isA<PlacementResult.Placed>()
    }

    /** Guards against a place that stays taken by a caller that left while it waited. */
    @Test
    fun `a cancelled wait takes no place`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(ask("r$it")) }
        val waiting = launch(start = CoroutineStart.UNDISPATCHED) { fleet.place(ask("waiting"), 60_000) }
        fleet.end(running.first(), UseOutcome.SUCCEEDED)
        waiting.cancel()
        waiting.join()
        running.drop(1).forEach { fleet.end(it, UseOutcome.SUCCEEDED) }
        expectThat(fleet.use()).isEqualTo(emptyMap())
    }

    /** Guards against a cold target that gets the load of a warm one. */
    @Test
    fun `a cold target gets its share in each second`() {
        fleet.update(viewOf(known(record("cold"), coldUntilMs = timed.nowMs + 5_000)).copy(entryVms = 5))
        val small = { number: Int -> ask("r$number", prompt = 1, output = 1) }
        repeat(2) { expectThat(placeNow(small(it))).isA<PlacementResult.Placed>() }
        expectThat(placeNow(small(3))).isA<PlacementResult.Full>()
        timed.nowMs += 1_300
        expectThat(placeNow(small(4))).isA<PlacementResult.Placed>()
    }

    /** Guards against copies that take the room of requests, or that lie where the run is. */
    @Test
    fun `a copy goes to another target while memory is free`() {
        fleet.update(viewOf(known(record("a")), known(record("b"))))
        val run = placed(ask("run", prompt = 4_000, output = 1_000))
        val copy = checkNotNull(fleet.placeCopy(run))
        expectThat(copy.target.id).isNotEqualTo(run.target.id)
        expectThat(fleet.placeCopy(run)).isEqualTo(null)
    }

    /** Guards against copies for which requests are refused once targets have left. */
    @Test
    fun `no copy is made while requests fill more than half of the memory`() {
        fleet.update(viewOf(known(record("a")), known(record("b")), known(record("c"))))
        val runs = (1..10).map { placed(ask("r$it")) }
        expectThat(fleet.placeCopy(runs.first())).isNotEqualTo(null)
        placed(ask("r11"))
        expectThat(fleet.placeCopy(runs.last())).isEqualTo(null)
    }

    /** Guards against overload in which requests that are late already take the places of timely ones. */
    @Test
    fun `a late request leaves room for timely ones`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val late = ask("late").copy(timelyUntilMs = timed.nowMs - 1)
        val running = (1..5).map { placed(ask("r$it")) }
        expectThat(placeNow(late)).isA<PlacementResult.Full>()
        val first = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(late, 60_000) }
        val sixth = placed(ask("timely"))
        expectThat(sixth.target.id).isEqualTo(TargetId("a"))
        expectThat(first.isCompleted).isEqualTo(false)
        running.take(3).forEach { fleet.end(it, UseOutcome.SUCCEEDED) }
        expectThat(first.await()).isA<PlacementResult.Placed>()
    }

    /** Guards against a burst after which callers that can still be served in time wait behind others. */
    @Test
    fun `timely requests are admitted before late ones, and urgent ones before others`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(ask("r$it")) }
        val order = mutableListOf<String>()
        val late = ask("late").copy(timelyUntilMs = timed.nowMs - 1)
        val asks = listOf(late, ask("tag").copy(rank = 1, timelyUntilMs = timed.nowMs + 10), ask("letter"))
        val jobs = asks.map { ask ->
            launch(start = CoroutineStart.UNDISPATCHED) {
                fleet.place(ask, 60_000)
                order += ask.request.value
            }
        }
        running.forEach {
            fleet.end(it, UseOutcome.SUCCEEDED)
            yield()
        }
        jobs.forEach { it.join() }
        expectThat(order.toList()).isEqualTo(listOf("letter", "tag", "late"))
    }

    /** Guards against entry VMs that all send their next request to the one target that looked idlest. */
    @Test
    fun `targets of nearly equal cost share the requests`() {
        val draws = ArrayDeque(listOf(0.1, 0.9, 0.5))
        val fleet =
            Fleet(timed.clock, here, RepeatBudget(RepeatLimits(0.2, 10.0, 10_000)), { draws.removeFirst() }) { 0.0 }
        val uses = mapOf(TargetId("a") to TargetUse(1, 500, 0), TargetId("b") to TargetUse(1, 600, 0))
        fleet.update(viewOf(known(record("a")), known(record("b"))).copy(othersUse = uses))
        val targets = (1..2).map { runBlocking { fleet.place(ask("r$it", prompt = 10, output = 5), 0) } }
            .map { (it as PlacementResult.Placed).placement.target.id }
        expectThat(targets.toSet().size).isEqualTo(2)
    }

    /** Guards against callers that are refused for good while targets announce themselves to restarted control VMs. */
    @Test
    fun `a request waits for targets that a new process does not know yet`(): Unit = runBlocking {
        val early = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(ask("early"), 60_000) }
        fleet.update(viewOf(known(record("a"))))
        expectThat(early.await()).isA<PlacementResult.Placed>()
        fleet.update(viewOf())
        timed.nowMs += 60_000
        expectThat(fleet.place(ask("later"), 60_000)).isEqualTo(PlacementResult.NoTarget)
    }
}
