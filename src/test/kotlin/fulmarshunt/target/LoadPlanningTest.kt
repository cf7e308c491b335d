/*
 * Tests which engines are ordered to load which services, over explicit sequences of events.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.operator.MAX_BYTES
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private val letters = ServiceId("letters")
private val tags = ServiceId("tags")
private const val WEIGHT_BYTES = 1_000L

class LoadPlanningTest {
    private var state = LoadState()

    private fun engine(id: String, service: ServiceId? = null, maxServices: Int = 1) =
        LoadTarget(TargetId(id), Address("127.0.0.1", 1), Incarnation(1), setOfNotNull(service), maxServices)

    private fun view(targets: List<LoadTarget>, vararg demands: Pair<ServiceId, ServiceDemand>) = LoadView(
        targets = targets,
        demands = mapOf(*demands),
        weightBytes = mapOf(letters to WEIGHT_BYTES, tags to WEIGHT_BYTES),
        bytesPerSecond = 100.0,
    )

    /** Returns the orders as `engine service replaced`, with `again` for a repeat. */
    private fun plan(view: LoadView, nowMs: Long): List<String> = state.plan(view, loadPolicy(), nowMs).let { plan ->
        state = plan.state
        plan.orders.map { "${it.target.id} ${it.service} ${it.replaces}" + if (it.isRepeat) " again" else "" }
    }

    private val used = letters to ServiceDemand()
    private val missing = tags to ServiceDemand(rejected = 1)

    /** Guards against a service that no engine loads, and against a load for a target that is only restarting. */
    @Test
    fun `a missing service replaces one with another target after a second`() {
        val view = view(listOf(engine("e1", letters), engine("e2", letters).copy(inFlight = 1)), used, missing)
        expectThat(plan(view, 0)).isEmpty()
        expectThat(plan(view, 999)).isEmpty()
        expectThat(plan(view, 1_000)).isEqualTo(listOf("e1 tags letters"))
    }

    /** Guards against loads that cost the pool another service, interrupt work, or go to an unsuitable engine. */
    @Test
    fun `no order goes to a last target or to an engine that is busy, suspected, loading or takes none`() {
        val spare = engine("e2", letters)
        val unsuitable = listOf(
            spare.copy(busy = setOf(letters)),
            spare.copy(isLive = false),
            spare.copy(loading = ServiceId("other")),
            spare.copy(maxServices = 0),
        )
        for (engine in unsuitable) {
            state = LoadState()
            val view = view(listOf(engine("e1", letters).copy(busy = setOf(letters)), engine), used, missing)
            expectThat((0L..30_000 step 250).flatMap { plan(view, it) }).describedAs("$engine").isEmpty()
        }
        state = LoadState()
        val last = view(listOf(engine("e1", letters)), used, missing)
        expectThat((0L..30_000 step 250).flatMap { plan(last, it) }).isEmpty()
    }

    /** Guards against an engine that loses an order, and against a service that waits for an engine that ignores it. */
    @Test
    fun `an order is repeated until a time limit and then given to another engine`() {
        val view = view(listOf("e1", "e2", "e3").map { engine(it, letters) }, used, missing)
        val orders = (0L..13_000 step 500).flatMap { plan(view, it) }
        expectThat(orders).isEqualTo(
            listOf("e1 tags letters") + List(9) { "e1 tags letters again" } +
                listOf("e2 tags letters") + List(2) { "e2 tags letters again" },
        )
    }

    /** Guards against a repeated order that costs the pool a service whose other target has crashed since. */
    @Test
    fun `an order is withdrawn when its engine becomes the last target`() {
        val before = view(listOf(engine("e1", letters), engine("e2", letters)), used, missing)
        expectThat(plan(before, 0) + plan(before, 1_000)).isEqualTo(listOf("e1 tags letters"))
        expectThat((2_000L..20_000 step 500).flatMap { plan(view(listOf(engine("e1", letters)), used, missing), it) })
            .isEmpty()
        expectThat(state.running.keys).isEmpty()
    }

    /** Guards against pacing whose arithmetic overflows, so that every order is allowed. */
    @Test
    fun `weights that take years to load are not ordered twice`() {
        val weights = mapOf(tags to MAX_BYTES, letters to MAX_BYTES)
        val view = LoadView(
            listOf("e1", "e2").map { engine(it) },
            mapOf(missing, letters to missing.second),
            weights,
            bytesPerSecond = 0.001,
        )
        expectThat((0L..100_000 step 500).flatMap { plan(view, it) }.filterNot { "again" in it }).hasSize(1)
    }

    /** Guards against repeated orders, a second load at an engine, and two concurrent loads of a service. */
    @Test
    fun `an order is not repeated once its load is announced`() {
        val before = listOf(engine("e1", letters), engine("e2", letters))
        plan(view(before, used, missing), 0)
        plan(view(before, used, missing), 1_000)
        val during = view(listOf(engine("e1").copy(loading = tags), engine("e2", letters)), used, missing)
        expectThat((1_500L..40_000 step 500).flatMap { plan(during, it) }).isEmpty()
        expectThat(state.running.keys.map { it.value }).isEqualTo(listOf("e1"))
        plan(view(listOf(engine("e1", tags), engine("e2", letters)), used, missing), 41_000)
        expectThat(state.running.keys).isEmpty()
    }

    /** Guards against two services that replace each other in turn. */
    @Test
    fun `a loaded service is kept although the demand is reversed`() {
        val view = view(listOf(engine("e1", letters), engine("e2", letters)), used, missing)
        plan(view, 0)
        plan(view, 1_000)
        val loaded = listOf(engine("e1", tags), engine("e2", letters))
        val reversed = view(loaded, letters to ServiceDemand(queued = 1_000), tags to ServiceDemand(isRecent = false))
        expectThat((2_000L..300_000 step 1_000).flatMap { plan(reversed, it) }).isEmpty()
        expectThat(plan(reversed, 302_000)).isEqualTo(listOf("e1 letters tags"))
    }

    /** Guards against a load for a short peak, and against a replacement that costs more than it gains. */
    @Test
    fun `an overloaded service replaces only one with much less demand`() {
        val targets = listOf(engine("e1", tags), engine("e2", letters), engine("e3", letters))
        val overloaded = tags to ServiceDemand(queued = 10)
        val even = view(targets, overloaded, letters to ServiceDemand(queued = 6))
        expectThat((0L..20_000 step 500).flatMap { plan(even, it) }).isEmpty()
        state = LoadState()
        val uneven = view(targets, overloaded, letters to ServiceDemand(queued = 5))
        expectThat((0L..4_500 step 500).flatMap { plan(uneven, it) }).isEmpty()
        expectThat(plan(uneven, 5_000)).isEqualTo(listOf("e2 tags letters"))
    }

    /** Guards against a new owner that ignores the loads of the former one and exceeds the rate. */
    @Test
    fun `a load of another owner counts against the rate`() {
        val engines = listOf(engine("e1").copy(loading = letters), engine("e2", maxServices = 2))
        val view = view(engines, missing)
        expectThat((0L..9_500 step 500).flatMap { plan(view, it) }).isEmpty()
        expectThat(plan(view, 10_000)).hasSize(1)
    }

    /** Guards against an overloaded weight store: in no interval are more bytes ordered than the rate allows. */
    @Property(tries = 200)
    fun neverMoreBytesAreOrderedThanTheRateAllows(@ForAll @Size(min = 20, max = 200) codes: List<Int>) {
        val services = (0..4).map { ServiceId("s$it") }
        val weights = services.mapIndexed { i, service -> service to 700L * (i + 1) }.toMap()
        val random = java.util.Random(codes.hashCode().toLong())
        val rate = 1.0 + random.nextInt(2_000)
        val ordered = ArrayList<Pair<Long, Long>>()
        var targets = (0..5).map { engine("e$it", services[it % 5], maxServices = 1 + it % 2) }
        var current = LoadState()
        var nowMs = 0L
        for (code in codes.map { it and Int.MAX_VALUE }) {
            nowMs += code % 3_000
            val demands = services.associateWith {
                ServiceDemand(random.nextInt(30), random.nextInt(3), random.nextInt(3), random.nextBoolean())
            }
            val plan = current.plan(LoadView(targets, demands, weights, emptySet(), rate), loadPolicy(), nowMs)
            current = plan.state
            plan.orders.filterNot { it.isRepeat }.forEach { ordered += nowMs to weights.getValue(it.service) }
            expectThat(plan.orders.map { it.target.id }.toSet()).hasSize(plan.orders.size)
            targets = targets.map { target -> target.after(current.running[target.id], random.nextInt(4)) }
        }
        for (first in ordered.indices) {
            var bytes = 0L
            for (last in first until ordered.size) {
                expectThat(
                    bytes.toDouble(),
                ).isLessThanOrEqualTo((ordered[last].first - ordered[first].first) * rate / 1_000)
                bytes += ordered[last].second
            }
        }
    }

    /** Returns this engine after it ignored, began, failed or finished its load. */
    private fun LoadTarget.after(load: RunningLoad?, choice: Int): LoadTarget = when {
        load == null || choice == 0 -> this
        choice == 1 -> copy(services = services - setOfNotNull(load.replaces), loading = load.service)
        choice == 2 -> copy(loading = null)
        else -> copy(services = services - setOfNotNull(load.replaces) + load.service, loading = null)
    }
}
