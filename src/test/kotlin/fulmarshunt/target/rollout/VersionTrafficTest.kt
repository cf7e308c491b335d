/*
 * Which versions requests go to, at one entry VM and over many.
 */
package fulmarshunt.target.rollout

import fulmarshunt.LogIndex
import fulmarshunt.SoftwareVersion
import fulmarshunt.VmId
import fulmarshunt.clockOf
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.rollout.RolloutOrder
import fulmarshunt.operator.rollout.RolloutPhase
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.PlacementResult
import fulmarshunt.target.fleet.RepeatBudget
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.UseOutcome
import fulmarshunt.target.fleet.engines
import fulmarshunt.target.fleet.here
import fulmarshunt.target.fleet.known
import fulmarshunt.target.fleet.plain
import fulmarshunt.target.fleet.record
import fulmarshunt.target.fleet.request
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

private const val SHARE = 0.1
private const val SLACK = 50.0
private const val STOP_MS = 5_000L

class VersionTrafficTest {
    private var nowMs = 1_000_000L
    private val random = Random(7)
    private val old = List(4) { versioned("old$it", "v1", startedAtMs = 1) }
    private val new = List(4) { versioned("new$it", "v2", startedAtMs = 10_000) }

    private fun versioned(id: String, version: String, startedAtMs: Long, service: String = "plain"): TargetRecord =
        record(id, startedAtMs = startedAtMs, service = if (service == "plain") plain else engines)
            .copy(version = SoftwareVersion(version))

    private fun fleet(bounds: TrialBounds? = TrialBounds(SHARE, SLACK, STOP_MS)) = Fleet(
        clockOf { nowMs },
        here,
        RepeatBudget(RepeatLimits(0.2, 10.0, 10_000), nowMs) { 0.0 },
        random::nextDouble,
        bounds,
    ) { 0.0 }

    private fun view(phase: RolloutPhase?, targets: List<TargetRecord>, entryVms: Int = 1): FleetView {
        val service = targets.first().service
        val order = RolloutOrder(service, SoftwareVersion("v2"), 12_000)
        val refused = if (phase == RolloutPhase.ROLLED_BACK) setOf(order.target) else emptySet()
        return FleetView(
            revision = LogIndex(1),
            targets = targets.map { known(it) }.associateBy { it.id },
            entryVms = entryVms,
            rollouts = if (phase == null) {
                emptyMap()
            } else {
                mapOf(service to Rollout(order, LogIndex(1), phase, refused = refused))
            },
        )
    }

    private fun Fleet.placeOrNull(): Placement? = runBlocking {
        (place(request("r", plain), 0) as? PlacementResult.Placed)?.placement
    }

    /** Places and ends [count] requests, and returns how many went to the new version. */
    private fun Fleet.serve(count: Int): Int = (1..count).count {
        val placement = placeOrNull() ?: error("no target")
        end(placement, UseOutcome.SUCCEEDED)
        placement.target.id in new.map { it.id }
    }

    /** Guards against a share that is exceeded by many entry VMs together, also when they start again. */
    @Test
    fun `all entry VMs together stay within the share and the slack`() {
        for (entryVms in listOf(1, 8, 68, 330)) {
            for (perVm in listOf(1, 5, 60)) {
                fun served(sawBefore: Boolean) = (1..entryVms).sumOf {
                    val fleet = fleet()
                    if (sawBefore) fleet.update(view(null, old, entryVms))
                    fleet.update(view(RolloutPhase.RUNNING, old + new, entryVms))
                    // All of the slack is given out by now.
                    nowMs += 8_000
                    fleet.versions.recordContact()
                    fleet.serve(perVm)
                }
                val total = served(sawBefore = true) + served(sawBefore = false)
                expectThat(total.toDouble()).isLessThan(2 * entryVms * perVm * SHARE + SLACK)
                expectThat(total).isGreaterThan(0)
            }
        }
    }

    /** Guards against a VM that cannot hear of a roll-back and goes on with a bad version. */
    @Test
    fun `a VM out of contact sends nothing to the version on trial`() {
        val fleet = fleet()
        fleet.update(view(RolloutPhase.RUNNING, old + new))
        expectThat(fleet.serve(50)).isGreaterThan(0)
        nowMs += STOP_MS / 2
        expectThat(fleet.serve(50)).isEqualTo(0)
        fleet.versions.recordContact()
        expectThat(fleet.serve(50)).isGreaterThan(0)
    }

    /** Guards against half of the requests at a new version whose targets are up before the order for it is known. */
    @Test
    fun `a new version without an order gets nothing, unless it replaces the first one`() {
        val fleet = fleet()
        fleet.update(view(null, old + new))
        expectThat(fleet.serve(50)).isEqualTo(0)
        fleet.update(view(null, old.take(1) + new))
        expectThat(fleet.serve(50)).isGreaterThan(20)
        // Targets of several versions that started together are no new version.
        fleet.update(view(null, old + new.map { it.copy(startedAtMs = 2) }))
        expectThat(fleet.serve(50)).isGreaterThan(10)
    }

    /** Guards against targets of a release without an order that get nothing for good. */
    @Test
    fun `a new version waits some seconds for its order`() {
        val fleet = fleet()
        fleet.update(view(null, old + new))
        nowMs += 9_000
        fleet.update(view(null, old + new))
        expectThat(fleet.serve(50)).isGreaterThan(10)
    }

    /** Guards against a service that ends because its present version was replaced without an order. */
    @Test
    fun `another version replaces the present one without an order only if it was not refused`() {
        val fleet = fleet()
        fleet.update(view(RolloutPhase.COMPLETED, old))
        expectThat(fleet.placeOrNull()).isNotNull()
        fleet.update(view(RolloutPhase.ROLLED_BACK, new))
        expectThat(fleet.placeOrNull()).isNull()
    }

    /** Guards against versions that have an effect where the deployment has no roll-outs. */
    @Test
    fun `without bounds versions have no effect`() {
        val fleet = fleet(bounds = null)
        fleet.update(view(null, old + new))
        expectThat(fleet.serve(100)).isGreaterThan(30)
    }

    /** Guards against requests at a version after its roll-back, and at the former one after a move. */
    @Test
    fun `targets of versions without a role are leaving`() {
        val fleet = fleet()
        fun leaving() = fleet.view.targets.values.filter {
            it.record.phase == TargetPhase.LEAVING
        }.map { it.id }.toSet()
        fleet.update(view(RolloutPhase.ROLLED_BACK, old + new))
        expectThat(leaving()).isEqualTo(new.map { it.id }.toSet())
        expectThat(fleet.serve(50)).isEqualTo(0)
        fleet.update(view(RolloutPhase.MOVING, old + new))
        expectThat(leaving()).isEqualTo(old.map { it.id }.toSet())
        expectThat(fleet.serve(50)).isEqualTo(50)
    }

    /** Guards against requests of the present version that flow to the one on trial when the present one is full. */
    @Test
    fun `a full present version does not raise the share`() {
        val fleet = fleet()
        fleet.update(view(RolloutPhase.RUNNING, old + new))
        val placed = generateSequence { fleet.placeOrNull() }.toList()
        val trial = placed.count { it.target in new.map { target -> known(target) } }
        expectThat(trial.toDouble()).isLessThan(placed.size * SHARE + SLACK)
        expectThat(trial).isLessThan(new.size * plain.let { 8 })
    }

    /** Guards against a generation that goes on at the other version. */
    @Test
    fun `a generation moves within its version`() {
        val fleet = fleet()
        val one = versioned("e1", "v1", startedAtMs = 1, service = "engines")
        val two = versioned("e2", "v2", startedAtMs = 2, service = "engines")
        fleet.update(view(RolloutPhase.RUNNING, listOf(one, two)))
        val placement = generateSequence { runBlocking { fleet.place(request("r", prompt = 100), 0) } }
            .filterIsInstance<PlacementResult.Placed>().first { it.placement.target.id == one.id }.placement
        expectThat(fleet.placeForMigration(placement, 100)).isNull()
        fleet.update(view(RolloutPhase.MOVING, listOf(one, two)))
        expectThat(fleet.placeForMigration(placement, 100)?.target?.id).isEqualTo(two.id)
    }

    /** Guards against evidence that is lost, repeated, or counted for a version that did not give it. */
    @Test
    fun `answers are counted by version and reported when they change`() {
        val fleet = fleet()
        val vm = VmId("e")
        fleet.update(view(null, old))
        expectThat(fleet.versions.reportOrNull(vm, 0)).isNull()
        fleet.update(view(RolloutPhase.RUNNING, old + new))
        val trial = fleet.serve(100)
        val failed = fleet.placeOrNull() ?: error("no target")
        fleet.end(failed, UseOutcome.FAILED_BY_STATUS)
        val report = fleet.versions.reportOrNull(vm, 0) ?: error("no report")
        val (onTrial, present) = report.cells.partition { it.key.trialTarget != null }
        expectThat(
            onTrial.sumOf {
                it.counts.good + it.counts.errors
            } + present.sumOf { it.counts.good + it.counts.errors },
        )
            .isEqualTo(101)
        expectThat(onTrial.sumOf { it.counts.good }).isEqualTo(trial)
        expectThat(report.cells.sumOf { it.counts.errors }).isEqualTo(1)
        expectThat(fleet.versions.reportOrNull(vm, report.number)).isNull()
        expectThat(fleet.versions.reportOrNull(vm, 0)).isNotNull()
    }
}
