/*
 * Counters and latency histograms of the relay.
 */
package fulmarshunt.caller.relay

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

private const val MAX_EXPECTED_MINUTES = 2L

/** What the relay counts. The functions may be called from any thread. */
public class RelayMeters(private val registry: MeterRegistry) {
    /** Counts a request that was refused before it was routed. */
    internal fun refused(answer: LocalResponse) {
        registry.counter("fulmarshunt_refused", "status", answer.status.code().toString()).increment()
    }

    /** Counts a request that ended, with the time until then. */
    internal fun ended(outcome: String, service: String, elapsedMs: Long) {
        registry.counter("fulmarshunt_requests", "outcome", outcome, "service", service).increment()
        timer("fulmarshunt_request_duration", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Notes the time until the first byte of an answer. */
    internal fun firstByte(service: String, elapsedMs: Long) {
        timer("fulmarshunt_first_byte", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Notes the time that a request waited for a target. */
    internal fun placed(service: String, elapsedMs: Long) {
        timer("fulmarshunt_placement", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Counts an attempt that failed. */
    internal fun attemptFailed(kind: String, service: String) {
        registry.counter("fulmarshunt_failed_attempts", "kind", kind, "service", service).increment()
    }

    /** Counts a run that went on at another target, or could not. */
    internal fun continued(how: String, isSuccess: Boolean) {
        registry.counter("fulmarshunt_continued_runs", "how", how, "success", isSuccess.toString()).increment()
    }

    private fun timer(name: String, service: String) = Timer
        .builder(name)
        .tag("service", service)
        .publishPercentileHistogram()
        .maximumExpectedValue(java.time.Duration.ofMinutes(MAX_EXPECTED_MINUTES))
        .register(registry)
}
