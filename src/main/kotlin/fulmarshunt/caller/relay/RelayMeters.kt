/*
 * Counters and latency histograms of the relay.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.RepeatDecision
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

private const val MAX_EXPECTED_MINUTES = 2L

/** Records measurements of the relay. The functions may be called from any thread. */
public class RelayMeters(private val registry: MeterRegistry) {
    /** Counts a request that was refused before it was routed. */
    internal fun refused(response: LocalResponse) {
        registry.counter("fulmarshunt_refused", "status", response.status.code().toString()).increment()
    }

    /** Counts a request that ended, and records its duration. */
    internal fun ended(outcome: String, service: String, elapsedMs: Long) {
        registry.counter("fulmarshunt_requests", "outcome", outcome, "service", service).increment()
        timer("fulmarshunt_request_duration", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Records the time from the arrival of a request to the first byte of its response. */
    internal fun firstByte(service: String, elapsedMs: Long) {
        timer("fulmarshunt_first_byte", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Records the time that a request waited for a target. */
    internal fun placed(service: String, elapsedMs: Long) {
        timer("fulmarshunt_placement", service).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Records the time that a request with [rank] waited for the target that it got. */
    internal fun waited(service: String, rank: Int, elapsedMs: Long) {
        registry.timer("fulmarshunt_wait", "service", service, "rank", rank.toString())
            .record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Counts a request with [rank] for which there was no target. */
    internal fun placementRefused(service: String, rank: Int, reason: String) {
        val tags = arrayOf("service", service, "rank", rank.toString(), "reason", reason)
        registry.counter("fulmarshunt_placement_refusals", *tags).increment()
    }

    /** Counts an attempt that failed. */
    internal fun attemptFailed(kind: String, service: String) {
        registry.counter("fulmarshunt_failed_attempts", "kind", kind, "service", service).increment()
    }

    /** Counts a statement of a target on its load. */
    internal fun loadStated(isUsable: Boolean) {
        registry.counter("fulmarshunt_stated_loads", "result", if (isUsable) "used" else "unusable").increment()
    }

    /** Counts an attempt to continue a run at another target. */
    internal fun continued(how: String, isSuccess: Boolean) {
        registry.counter("fulmarshunt_continued_runs", "how", how, "success", isSuccess.toString()).increment()
    }

    /** Counts a stream that ended at its target, by what its end proves. */
    internal fun streamEnded(proof: String, hasEndMark: Boolean) {
        registry.counter("fulmarshunt_stream_ends", "proof", proof, "end_mark", hasEndMark.toString()).increment()
    }

    /** Counts a repeat that was taken from the budget or refused, and records the share that decided it. */
    internal fun repeatDecided(service: String, decision: RepeatDecision) {
        val result = if (decision.isTaken) "taken" else "refused"
        registry.counter("fulmarshunt_repeats", "result", result, "service", service).increment()
        registry.summary("fulmarshunt_repeat_used", "service", service).record(decision.used.toDouble())
        registry.summary("fulmarshunt_repeat_bound", "service", service).record(decision.bound.toDouble())
        registry.summary("fulmarshunt_repeat_requests", "service", service).record(decision.requests.toDouble())
        registry.summary("fulmarshunt_repeat_entry_vms").record(decision.entryVms.toDouble())
    }

    /** Counts a request for a tunnel that this VM made ([isOrigin]) or received, with its result. */
    internal fun tunnelRequested(isOrigin: Boolean, result: String) {
        val side = if (isOrigin) "origin" else "forwarder"
        registry.counter("fulmarshunt_tunnels", "side", side, "result", result).increment()
    }

    private fun timer(name: String, service: String) = Timer
        .builder(name)
        .tag("service", service)
        .publishPercentileHistogram()
        .maximumExpectedValue(java.time.Duration.ofMinutes(MAX_EXPECTED_MINUTES))
        .register(registry)
}
