/*
 * Tests where the fleet places requests, and what happens without free capacity.
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

    private fun placeNow(request: PlacementRequest): PlacementResult = runBlocking { fleet.place(request, 0) }

    private fun placed(request: PlacementRequest): Placement = (placeNow(request) as PlacementResult.Placed).placement

    /** Guards against new work for targets that are leaving, have left or are in a drained failure domain. */
    @Test
    fun `only ready targets outside drained failure domains get work`() {
        fleet.update(
            viewOf(
                known(record("leaving", phase = TargetPhase.LEAVING)),
                known(record("left", phase = TargetPhase.LEFT)),
                known(record("drained", domain = there)),
                known(record("ready")),
            ).copy(drained = setOf(there)),
        )
        repeat(3) { expectThat(placed(request("r$it")).target.id).isEqualTo(TargetId("ready")) }
        fleet.update(fleet.view.copy(drained = setOf(here, there)))
        expectThat(placeNow(request("late"))).isEqualTo(PlacementResult.NoTarget)
    }

    /** Guards against a service without memory, the cost of whose targets is no number. */
    @Test
    fun `a service without memory does not end the caller`() {
        val empty = engines.copy(engine = engineProfile.copy(memoryTokens = 0))
        fleet.update(viewOf(known(record("a"))))
        expectThat(placeNow(request("r", empty, prompt = 0, output = 0))).isA<PlacementResult.Placed>()
    }

    /** Guards against generations that together exceed the memory of an engine, which then preempts. */
    @Test
    fun `an engine gets no more than its memory holds`() {
        fleet.update(viewOf(known(record("a"))))
        repeat(6) { expectThat(placeNow(request("r$it"))).isA<PlacementResult.Placed>() }
        expectThat(placeNow(request("one more"))).isEqualTo(PlacementResult.Full(0, 1))
    }

    /** Guards against entry VMs that together overload an engine because each counts only its own requests. */
    @Test
    fun `the use of other entry VMs counts`() {
        val use = TargetUse(5, 8_300, 0)
        fleet.update(viewOf(known(record("a")), known(record("b"))).copy(othersUse = mapOf(TargetId("a") to use)))
        repeat(6) { expectThat(placed(request("r$it")).target.id).isEqualTo(TargetId("b")) }
    }

    /** Guards against a burst of prompts that queue behind each other at one engine. */
    @Test
    fun `prompts are spread over the targets`() {
        fleet.update(viewOf(known(record("a")), known(record("b")), known(record("c"))))
        val targets = (1..3).map { placed(request("r$it")).target.id }.toSet()
        expectThat(targets.size).isEqualTo(3)
    }

    /** Guards against a target that fails its requests and gets ever more because it is idle. */
    @Test
    fun `a failing target is avoided and later tried again`() {
        val good = known(record("good", service = plain, domain = there))
        fleet.update(viewOf(known(record("bad", service = plain)), good))
        repeat(4) {
            val placement = placed(request("r$it", plain))
            val isBad = placement.target.id == TargetId("bad")
            fleet.end(placement, if (isBad) UseOutcome.FAILED else UseOutcome.SUCCEEDED)
        }
        expectThat(placed(request("next", plain)).target.id).isEqualTo(TargetId("good"))
        timed.nowMs += 60_000
        expectThat(placed(request("later", plain)).target.id).isEqualTo(TargetId("bad"))
    }

    /** Guards against a request that waits although capacity became free, and against lost capacity. */
    @Test
    fun `a waiting request gets capacity that becomes free`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(request("r$it")) }
        val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("waiting"), 60_000) }
        fleet.end(running.first(), UseOutcome.SUCCEEDED)
        expectThat(waiting.await()).isA<PlacementResult.Placed>()
    }

    /** Guards against capacity that stays taken by a caller that left while it waited. */
    @Test
    fun `a cancelled wait takes no capacity`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(request("r$it")) }
        val waiting = launch(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("waiting"), 60_000) }
        fleet.end(running.first(), UseOutcome.SUCCEEDED)
        waiting.cancel()
        waiting.join()
        running.drop(1).forEach { fleet.end(it, UseOutcome.SUCCEEDED) }
        expectThat(fleet.use()).isEqualTo(emptyMap())
    }

    /** Guards against a cold target that gets as many requests as a warm one. */
    @Test
    fun `a cold target gets a limited number of requests per second`() {
        fleet.update(viewOf(known(record("cold"), coldUntilMs = timed.nowMs + 5_000)).copy(entryVms = 5))
        val small = { number: Int -> request("r$number", prompt = 1, output = 1) }
        repeat(2) { expectThat(placeNow(small(it))).isA<PlacementResult.Placed>() }
        expectThat(placeNow(small(3))).isA<PlacementResult.Full>()
        timed.nowMs += 1_300
        expectThat(placeNow(small(4))).isA<PlacementResult.Placed>()
    }

    /** Guards against entry VMs that each use the whole limit of a cold target before they know of each other. */
    @Test
    fun `a cold target gets almost nothing from an entry VM that does not know the others`() {
        val cold = known(record("cold"), coldUntilMs = timed.nowMs + 5_000)
        fleet.update(FleetView(targets = mapOf(cold.id to cold)))
        val placed = (1..10).count { placeNow(request("r$it", prompt = 1, output = 1)) is PlacementResult.Placed }
        expectThat(placed).isEqualTo(1)
    }

    /** Guards against copies that take the memory of requests, or that are at the same target as the run. */
    @Test
    fun `a copy goes to another target while memory is free`() {
        fleet.update(viewOf(known(record("a")), known(record("b"))))
        val run = placed(request("run", prompt = 4_000, output = 1_000))
        val copy = checkNotNull(fleet.placeCopy(run))
        expectThat(copy.target.id).isNotEqualTo(run.target.id)
        expectThat(fleet.placeCopy(run)).isEqualTo(null)
    }

    /** Guards against copies because of which requests are refused once targets have left. */
    @Test
    fun `no copy is made while requests fill more than half of the memory`() {
        fleet.update(viewOf(known(record("a")), known(record("b")), known(record("c"))))
        val runs = (1..10).map { placed(request("r$it")) }
        expectThat(fleet.placeCopy(runs.first())).isNotEqualTo(null)
        placed(request("r11"))
        expectThat(fleet.placeCopy(runs.last())).isEqualTo(null)
    }

    /** Guards against an overload in which late requests take the capacity of timely ones. */
    @Test
    fun `a late request leaves capacity for timely ones`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val late = request("late").copy(objectiveDeadlineMs = timed.nowMs - 1)
        val running = (1..5).map { placed(request("r$it")) }
        expectThat(placeNow(late)).isA<PlacementResult.Full>()
        val first = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(late, 60_000) }
        val sixth = placed(request("timely"))
        expectThat(sixth.target.id).isEqualTo(TargetId("a"))
        expectThat(first.isCompleted).isEqualTo(false)
        running.take(3).forEach { fleet.end(it, UseOutcome.SUCCEEDED) }
        expectThat(first.await()).isA<PlacementResult.Placed>()
    }

    /** Guards against a burst after which requests that can still meet their objective wait behind others. */
    @Test
    fun `timely requests are admitted before late ones, and urgent ones before others`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a"))))
        val running = (1..6).map { placed(request("r$it")) }
        val order = mutableListOf<String>()
        val late = request("late").copy(objectiveDeadlineMs = timed.nowMs - 1)
        val requests =
            listOf(late, request("tag").copy(rank = 1, objectiveDeadlineMs = timed.nowMs + 10), request("letter"))
        val jobs = requests.map { request ->
            launch(start = CoroutineStart.UNDISPATCHED) {
                fleet.place(request, 60_000)
                order += request.requestId.value
            }
        }
        running.forEach {
            fleet.end(it, UseOutcome.SUCCEEDED)
            yield()
        }
        jobs.forEach { it.join() }
        expectThat(order.toList()).isEqualTo(listOf("letter", "tag", "late"))
    }

    /** Guards against entry VMs that all send their next request to the target that seemed least loaded. */
    @Test
    fun `targets of nearly equal cost share the requests`() {
        val randomValues = ArrayDeque(listOf(0.1, 0.9, 0.5))
        val fleet =
            Fleet(timed.clock, here, RepeatBudget(RepeatLimits(0.2, 10.0, 10_000), timed.nowMs) { 0.0 }, {
                randomValues.removeFirst()
            }) { 0.0 }
        val uses = mapOf(TargetId("a") to TargetUse(1, 500, 0), TargetId("b") to TargetUse(1, 600, 0))
        fleet.update(viewOf(known(record("a")), known(record("b"))).copy(othersUse = uses))
        val targets = (1..2).map { runBlocking { fleet.place(request("r$it", prompt = 10, output = 5), 0) } }
            .map { (it as PlacementResult.Placed).placement.target.id }
        expectThat(targets.toSet().size).isEqualTo(2)
    }

    /** Guards against callers that are refused although targets will announce themselves to restarted control VMs. */
    @Test
    fun `a request waits for targets that a new process has not discovered yet`(): Unit = runBlocking {
        val early = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("early"), 60_000) }
        fleet.update(viewOf(known(record("a"))))
        expectThat(early.await()).isA<PlacementResult.Placed>()
        fleet.update(viewOf())
        timed.nowMs += 60_000
        expectThat(fleet.place(request("later"), 60_000)).isEqualTo(PlacementResult.NoTarget)
    }

    private fun pausedTarget(durationMs: Long): KnownTarget {
        val target = known(record("a", service = plain))
        fleet.update(viewOf(target))
        fleet.recordPause(target, durationMs)
        return target
    }

    /** Guards against a pause that ends with a change of what control VMs list, or that holds for a new instance. */
    @Test
    fun `a pause holds for the instance that asked for it`() {
        pausedTarget(5_000)
        fleet.update(viewOf(known(record("a", sequence = 2, service = plain))))
        expectThat(placeNow(request("r1", plain))).isEqualTo(PlacementResult.Full(0, 1, 5_000))
        fleet.update(viewOf(known(record("a", startedAtMs = 2, service = plain))))
        expectThat(placeNow(request("r2", plain))).isA<PlacementResult.Placed>()
    }

    /** Guards against all entry VMs that return with all their requests when a pause ends. */
    @Test
    fun `after a pause one request is tried first`() {
        pausedTarget(5_000)
        timed.nowMs += 5_000
        val trial = placed(request("trial", plain))
        expectThat(placeNow(request("second", plain))).isA<PlacementResult.Full>()
        fleet.end(trial, UseOutcome.REFUSED)
        val next = placed(request("next", plain))
        fleet.end(next, UseOutcome.SUCCEEDED)
        repeat(3) { expectThat(placeNow(request("r$it", plain))).isA<PlacementResult.Placed>() }
    }

    /** Guards against requests that wait although no target will accept them while they wait. */
    @Test
    fun `a request that cannot be placed while it waits is refused at once`(): Unit = runBlocking {
        val target = known(record("a", service = plain))
        fleet.update(viewOf(target))
        val running = (1..16).map { placed(request("r$it", plain)) }
        val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("waiting", plain), 4_000) }
        fleet.recordPause(target, 5_000)
        expectThat(waiting.await()).isA<PlacementResult.Full>().get { pausedForMs }.isEqualTo(5_000)
        expectThat(fleet.place(request("next", plain), 4_000)).isA<PlacementResult.Full>()
        expectThat(running.size).isEqualTo(16)
    }

    /** Guards against a request that is refused although the pause ends while it can wait. */
    @Test
    fun `a request waits for the end of a short pause`(): Unit = runBlocking {
        pausedTarget(200)
        val waiting = async(start = CoroutineStart.UNDISPATCHED) { fleet.place(request("waiting", plain), 60_000) }
        timed.nowMs += 200
        expectThat(waiting.await()).isA<PlacementResult.Placed>()
    }

    /** Guards against a request that waits for targets that have all refused it. */
    @Test
    fun `a request that all targets have refused does not wait`(): Unit = runBlocking {
        fleet.update(viewOf(known(record("a", service = plain))))
        val refused = request("r", plain).copy(excluded = setOf(TargetId("a")))
        expectThat(fleet.place(refused, 60_000)).isEqualTo(PlacementResult.Full(0, 1))
    }

    /** Guards against a wrong value that takes a target out of service for good. */
    @Test
    fun `a pause has a maximum`() {
        pausedTarget(Long.MAX_VALUE)
        timed.nowMs += 301_000
        expectThat(placeNow(request("r", plain))).isA<PlacementResult.Placed>()
    }

    /** Guards against a generation that is lost because its copy is at a target that wants no new requests. */
    @Test
    fun `two running generations may continue at a target during its pause`() {
        // Its allowance of repeats cannot be used for a while after the start.
        timed.nowMs += 20_000
        val target = pausedTarget(5_000)
        expectThat((1..4).map { fleet.tryContinue(target) }).isEqualTo(listOf(true, true, false, false))
        timed.nowMs += 5_000
        expectThat(fleet.tryContinue(target)).isEqualTo(true)
    }

    /** Guards against a target that gets work again with its next announcement, although it said that it is leaving. */
    @Test
    fun `what a target says of leaving holds for its instance`() {
        val target = known(record("a"))
        fleet.update(viewOf(target))
        fleet.recordLeaving(target)
        fleet.update(viewOf(known(record("a", sequence = 2))))
        expectThat(placeNow(request("r1"))).isEqualTo(PlacementResult.NoTarget)
        expectThat(fleet.unlistedLeaving()).isEqualTo(setOf(target.instance))
        fleet.update(viewOf(known(record("a", sequence = 3, phase = TargetPhase.LEAVING))))
        expectThat(fleet.unlistedLeaving()).isEqualTo(emptySet())
        fleet.update(viewOf(known(record("a", startedAtMs = 2))))
        expectThat(placeNow(request("r2"))).isA<PlacementResult.Placed>()
    }
}
