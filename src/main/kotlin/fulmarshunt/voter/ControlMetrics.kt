/*
 * Gauges of the control state for the monitoring system.
 */
package fulmarshunt.voter

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.flow.StateFlow

/** Registers a gauge that is 1 while the disk takes no writes. */
public fun bindDiskMetric(registry: MeterRegistry, diskProblem: StateFlow<String?>) {
    Gauge.builder("control.disk.blocked") { if (diskProblem.value == null) 0 else 1 }
        .description("1 while the disk takes no writes").register(registry)
}

/** Registers gauges that read the state of [machine] and the [leadership] when they are scraped. */
public fun bindMetrics(registry: MeterRegistry, machine: ControlStateMachine, leadership: StateFlow<Leadership>) {
    fun gauge(name: String, description: String, read: (ControlState) -> Number) {
        Gauge.builder(name) { read(machine.state.value) }.description(description).register(registry)
    }
    gauge("control.revision", "Revision of the configuration") { it.shared.configuration.revision.value }
    gauge("control.shared.index", "Last log entry that changed the shared state") { it.shared.index.value }
    gauge("control.entry.vms", "Registered entry VMs") { it.shared.entryVms.size }
    gauge("control.claims", "Recorded claims") { it.claims.claims.size }
    gauge("control.claims.bytes", "Size of the recorded claims") { it.claims.sizeBytes }
    gauge("control.quarantined", "Quarantined fingerprints") { it.shared.quarantine.size }
    Gauge.builder("control.leading") { if (leadership.value.isLeader) 1 else 0 }
        .description("1 while this voter leads").register(registry)
    Gauge.builder("control.term") { leadership.value.term.value }.description("Term of the log").register(registry)
}
