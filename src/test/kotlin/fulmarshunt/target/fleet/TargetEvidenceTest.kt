/*
 * Tests what the placement makes of the load that targets state and of the time that they take to answer.
 */
package fulmarshunt.target.fleet

import arrow.core.getOrElse
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.target.TargetInstance
import kotlinx.coroutines.runBlocking
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val WORK_MS = 50L
private const val SLOWER = 5

class TargetEvidenceTest {
    private val random = Random(1)
    private val timed = TimedFleet(nextRandom = random::nextDouble)
    private val fleet = timed.fleet
    private val a = known(record("a", service = plain))
    private val b = known(record("b", service = plain))
    private val c = known(record("c", service = plain))
    private val instance = TargetInstance(TargetId("t"), Incarnation(1))

    private fun stated(running: Long, waiting: Long, workPercent: Long? = null) =
        statedLoad(running, waiting, 8, workPercent).getOrElse { error(it) }

    private fun place(service: ServiceProfile = plain): Placement =
        runBlocking { fleet.place(request("r", service), 0) as PlacementResult.Placed }.placement

    /** Serves [requests] one after another; [workMs] is the time of a target, [percent] what it says of it. */
    private fun serve(
        requests: Int,
        workMs: (TargetId) -> Long,
        percent: (TargetId) -> Long? = { null },
    ): Map<TargetId, Int> = (1..requests).map {
        val placement = place()
        val elapsedMs = workMs(placement.target.id)
        timed.nowMs += elapsedMs
        percent(placement.target.id)?.let { fleet.evidence.recordLoad(placement.target, stated(1, 0, it), timed.nowMs) }
        if (percent(placement.target.id) == null) fleet.evidence.recordAnswer(placement, elapsedMs)
        fleet.end(placement, UseOutcome.SUCCEEDED)
        placement.target.id
    }.groupingBy { it }.eachCount()

    private fun workOf(vararg slow: KnownTarget): (TargetId) -> Long =
        { id -> if (slow.any { it.id == id }) WORK_MS * SLOWER else WORK_MS }

    /** Guards against a slow target that gets as many requests as the others because its answers are not timed. */
    @Test
    fun `a target that answers slowly gets few requests`() {
        fleet.update(viewOf(a, b, c))
        expectThat(serve(600, workOf(c))[c.id] ?: 0).isLessThanOrEqualTo(600 * 8 / 100)
    }

    /** Guards against a statement that work takes long at a target which is not read. */
    @Test
    fun `a target that says that work takes long gets few requests`() {
        fleet.update(viewOf(a, b, c))
        val shares = serve(600, { WORK_MS }, { if (it == c.id) 450 else 100 })
        expectThat(shares[c.id] ?: 0).isLessThanOrEqualTo(600 * 8 / 100)
    }

    /** Guards against a slow median, by which the only fast target counts as usual. */
    @Test
    fun `the only fast target gets most requests, and others the rest when it is full`() {
        fleet.update(viewOf(a, b, c))
        expectThat(serve(600, workOf(b, c))[a.id] ?: 0).isGreaterThan(600 * 8 / 10)
        val placed = (1..20).map { place().target.id }
        expectThat(placed.count { it == a.id }).isGreaterThan(8).isLessThan(20)
    }

    /** Guards against targets that count as slow because they are all under load, and are then not used. */
    @Test
    fun `targets that are all slow are used alike`() {
        fleet.update(viewOf(a, b, c))
        val shares = serve(600, workOf(a, b, c))
        shares.values.forEach { expectThat(it).isGreaterThan(150) }
    }

    /** Guards against requests that swing between targets whose figures change with every answer. */
    @Test
    fun `a figure that changes many times a second does not drive the requests away`() {
        fleet.update(viewOf(a, b, c))
        val figures = Random(2)
        val shares = serve(600, { WORK_MS }, { figures.nextLong(60, 180) })
        shares.values.forEach { expectThat(it).isGreaterThan(100) }
    }

    /** Guards against a target that is avoided for good because it was slow once. */
    @Test
    fun `a target that was slow is tried again`() {
        fleet.update(viewOf(a, b, c))
        serve(60, workOf(c))
        expectThat(serve(600, workOf()).getValue(c.id)).isGreaterThan(50)
    }

    /** Guards against a slow target that is not noticed because callers leave before its answers. */
    @Test
    fun `a request that is given up shows that its target is slow`() {
        fleet.update(viewOf(a, b, c))
        serve(30, workOf())
        val placement = generateSequence {
            place().also {
                if (it.target.id !=
                    c.id
                ) {
                    fleet.end(it, UseOutcome.SUCCEEDED)
                }
            }
        }
            .first { it.target.id == c.id }
        timed.nowMs += 1_000
        fleet.evidence.recordGivenUp(placement)
        fleet.end(placement, UseOutcome.ABANDONED)
        val next = (1..12).map { place().also { fleet.end(it, UseOutcome.SUCCEEDED) } }
        expectThat(next.count { it.target.id == c.id }).isEqualTo(0)
    }

    /** Guards against requests that queue at an engine behind work that this VM does not know of. */
    @Test
    fun `an engine at which requests wait gets none while another has room, for a moment`() {
        val engineA = known(record("a"))
        val engineB = known(record("b"))
        fleet.update(viewOf(engineA, engineB))
        fleet.evidence.recordLoad(engineA, stated(8, 3), timed.nowMs)
        repeat(3) { expectThat(place(engines).target.id).isEqualTo(engineB.id) }
        timed.nowMs += 4_000
        expectThat(place(engines).target.id).isEqualTo(engineA.id)
    }

    /** Guards against a target that gets the next request right after it refused one for lack of room. */
    @Test
    fun `a target that has refused a request counts as full for a moment`() {
        fleet.update(viewOf(a, known(record("b", service = plain, domain = there))))
        val first = place()
        expectThat(first.target.id).isEqualTo(a.id)
        fleet.end(first, UseOutcome.REFUSED)
        repeat(4) { expectThat(place().target.id).isEqualTo(b.id) }
    }

    /** Guards against a new run of a target that is avoided because of what the former one said or did. */
    @Test
    fun `an answer of a former run says nothing of the present one`() {
        fleet.update(viewOf(a, b, c))
        val late = generateSequence { place() }.first { it.target.id == c.id }
        fleet.update(viewOf(a, b, known(record("c", service = plain, startedAtMs = 2))))
        fleet.evidence.recordLoad(c, stated(8, 20, 900), timed.nowMs)
        fleet.evidence.recordAnswer(late, 10_000)
        expectThat(fleet.evidence.slowness(plain.id)).isEqualTo(emptyMap())
        expectThat(fleet.evidence.unknownLoad(fleet.view.targets.getValue(c.id), 16.0)).isEqualTo(UnknownLoad.NONE)
    }

    /** Guards against answers that are handled late or in another order, as after a pause of this process. */
    @Test
    fun `stale statements count for nothing`() {
        val loads = TargetLoads()
        loads.record(instance, stated(8, 20), receivedAtMs = 0, ownRequests = 0, nowMs = 3_001)
        expectThat(loads.unknown(instance, 0, 0, 16.0, 3_001)).isEqualTo(UnknownLoad.NONE)
        loads.record(instance, stated(1, 0), receivedAtMs = 5_000, ownRequests = 0, nowMs = 5_000)
        loads.record(instance, stated(8, 20), receivedAtMs = 4_990, ownRequests = 0, nowMs = 5_000)
        expectThat(loads.unknown(instance, 1, 0, 16.0, 5_000)).isEqualTo(UnknownLoad.NONE)
    }

    /** Guards against a wrong figure of a target that is not bounded, or counts more the older it is. */
    @Property(tries = 200)
    fun `unknown load is bounded and fades`(
        @ForAll @LongRange(min = 0, max = 1_000_000) running: Long,
        @ForAll @LongRange(min = 0, max = 1_000_000) waiting: Long,
        @ForAll @IntRange(max = 100) known: Int,
        @ForAll @LongRange(max = 4_000) ageMs: Long,
    ) {
        val loads = TargetLoads()
        loads.record(instance, stated(running, waiting), 0, 0, 0)
        val younger = loads.unknown(instance, known, 0, 16.0, ageMs)
        val older = loads.unknown(instance, known, 0, 16.0, ageMs + 100)
        expectThat(younger.requests).isLessThanOrEqualTo(32.0)
        expectThat(older.requests).isLessThanOrEqualTo(younger.requests)
        expectThat(older.waiting).isLessThanOrEqualTo(younger.waiting)
    }
}
