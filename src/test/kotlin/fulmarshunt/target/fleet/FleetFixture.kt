/*
 * Sample targets, services and requests for tests of the fleet.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.clockOf
import fulmarshunt.operator.serving.EngineProfile
import fulmarshunt.operator.serving.ServiceProfile

internal val here = FailureDomainId("here")
internal val there = FailureDomainId("there")
internal val engineProfile = EngineProfile(8, 10_000, canMigrate = true, canBackUp = true, tokensPerEvent = 4)
internal val engines = ServiceProfile(ServiceId("engines"), "/health", 100, 10.0, engineProfile)
internal val plain = ServiceProfile(ServiceId("plain"), "/health", 100, 0.0, null)

internal fun record(
    id: String,
    sequence: Long = 1,
    startedAtMs: Long = 1,
    service: ServiceProfile = engines,
    domain: FailureDomainId = here,
    phase: TargetPhase = TargetPhase.READY,
    port: Int = 1_000 + id.hashCode().mod(50_000),
    coldForMs: Long = 0,
): TargetRecord = TargetRecord(
    TargetId(id), startedAtMs, sequence, service.id, Address("127.0.0.1", port), domain, 8, phase, coldForMs,
)

internal fun known(record: TargetRecord, coldUntilMs: Long = 0) = KnownTarget(record, false, coldUntilMs)

internal fun viewOf(vararg targets: KnownTarget) = FleetView(targets = targets.associateBy { it.id }, entryVms = 1)

internal fun request(name: String, service: ServiceProfile = engines, prompt: Int = 1_000, output: Int = 500) =
    PlacementRequest(RequestId(name), service, prompt, output, 0)

/** A fleet with a clock that the test sets. */
internal class TimedFleet(
    coldLimitPerS: Double = 10.0,
    limits: RepeatLimits = RepeatLimits(0.2, 10.0, 10_000),
    nextRandom: () -> Double = { 0.0 },
) {
    var nowMs = 1_000_000L
    val clock: Clock = clockOf { nowMs }
    val fleet = Fleet(clock, here, RepeatBudget(limits, nowMs) { 0.0 }, nextRandom) {
        if (it.engine ==
            null
        ) {
            0.0
        } else {
            coldLimitPerS
        }
    }
}
