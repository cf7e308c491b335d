/*
 * The metrics of a process: those of the JVM, and those that the components of the system register.
 */
package fulmarshunt.process

import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Returns a registry that measures memory, garbage collection, threads and CPU of this process. */
public fun processMetrics(): PrometheusMeterRegistry =
    PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { it.measureProcess() }

/** Measures memory, garbage collection, threads and CPU of this process from now on. */
internal fun PrometheusMeterRegistry.measureProcess() {
    val registry = this
    JvmMemoryMetrics().bindTo(registry)
    // The binder listens to the garbage collector until the process ends, so it is not closed.
    JvmGcMetrics().bindTo(registry)
    JvmThreadMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
}
