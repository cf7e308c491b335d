/*
 * The measurements of the caller side as Micrometer meters.
 */
package fulmarshunt.caller

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

private val PERCENTILES = doubleArrayOf(0.5, 0.95, 0.99)

/** Returns meters in [registry]. */
public fun callerMeters(registry: MeterRegistry): CallerMeters {
    fun timer(name: String): (Long) -> Unit {
        val timer = Timer.builder(name).publishPercentiles(*PERCENTILES).register(registry)
        return { ms -> timer.record(ms, TimeUnit.MILLISECONDS) }
    }

    fun counter(name: String): () -> Unit = registry.counter(name).let { counter -> { counter.increment() } }

    return CallerMeters(
        request = { outcome -> registry.counter("fulmarshunt.requests", "outcome", outcome).increment() },
        queuedMs = timer("fulmarshunt.queue.wait"),
        firstTokenMs = timer("fulmarshunt.first.token"),
        betweenTokensMs = timer("fulmarshunt.between.tokens"),
        attempt = counter("fulmarshunt.attempts"),
        resume = counter("fulmarshunt.resumes"),
    )
}
