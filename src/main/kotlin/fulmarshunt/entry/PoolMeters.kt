/*
 * Micrometer gauges of the hosted pools. The control thread takes the snapshots; a scrape reads the latest ones.
 */
package fulmarshunt.entry

import fulmarshunt.target.PoolView
import fulmarshunt.target.TargetHealth
import io.micrometer.core.instrument.MeterRegistry

/** Registers gauges over the pools that [views] returns. */
public fun bindPoolMeters(registry: MeterRegistry, views: () -> List<PoolView>) {
    fun gauge(name: String, read: (PoolView) -> Int) {
        registry.gauge(name, views) { current -> current().sumOf { read(it) }.toDouble() }
    }
    gauge("fulmarshunt.pools") { 1 }
    gauge("fulmarshunt.pool.queued.short") { it.queuedShort }
    gauge("fulmarshunt.pool.queued.long") { it.queuedLong }
    gauge("fulmarshunt.pool.targets.live") { pool -> pool.targets.count { it.health == TargetHealth.LIVE } }
    gauge("fulmarshunt.pool.targets.loading") { pool -> pool.targets.count { it.loading != null } }
    gauge("fulmarshunt.pool.in.flight") { pool -> pool.targets.sumOf { it.inFlight } }
    gauge("fulmarshunt.pool.limit") { pool -> pool.targets.sumOf { it.limit } }
    gauge("fulmarshunt.pool.preemptions") { it.preemptions.toInt() }
}
