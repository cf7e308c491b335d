/*
 * The latency of answers, compared with the usual one of the targets of the same service that have no limit of their
 * pace, as one entry VM sees them. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.LatencyBaseline
import fulmarshunt.target.LatencyKey
import fulmarshunt.target.LatencyKind
import fulmarshunt.target.SLOWER_MACHINE_MS
import fulmarshunt.target.nearMs
import fulmarshunt.target.slowMs

/** Latencies until the first event are compared for prompts of this length. */
private const val COMPARED_PROMPT_TOKENS = 1_000.0

/** A prompt takes at least the time of so many tokens, which no request is spared. */
private const val MIN_PROMPT_TOKENS = 200

/** A few samples are enough, because the signs of all entry VMs are added up. */
private const val MIN_SAMPLES = 3

/** The usual latencies of the targets of one entry VM. */
internal class AnswerLatency {
    private val usual = mutableMapOf<LatencyKey, LatencyBaseline>()

    /** Adds the latency of a target without a limit. */
    fun recordPeer(request: PlacementRequest, isFirstEvent: Boolean, latencyMs: Long) {
        usual.getOrPut(keyOf(request, isFirstEvent)) { LatencyBaseline() }
            .record(comparedMs(request, isFirstEvent, latencyMs))
    }

    /**
     * Returns whether a latency is as usual (true) or far above that (false), or null if it shows neither.
     *
     * @param limitedForMs how long its target has had a limit; a target that is slower for long is a slower machine.
     */
    fun isOnPaceOrNull(
        request: PlacementRequest,
        isFirstEvent: Boolean,
        latencyMs: Long,
        limitedForMs: Long,
    ): Boolean? {
        if (limitedForMs >= SLOWER_MACHINE_MS) return true
        val baseline = usual[keyOf(request, isFirstEvent)]?.takeIf { it.samples >= MIN_SAMPLES } ?: return null
        val comparedMs = comparedMs(request, isFirstEvent, latencyMs)
        return when {
            comparedMs <= nearMs(baseline.meanMs) -> true
            comparedMs > slowMs(baseline.meanMs) -> false
            else -> null
        }
    }

    private fun keyOf(request: PlacementRequest, isFirstEvent: Boolean) =
        LatencyKey(request.service.id, if (isFirstEvent) LatencyKind.FIRST_EVENT else LatencyKind.WHOLE)

    private fun comparedMs(request: PlacementRequest, isFirstEvent: Boolean, latencyMs: Long): Double =
        if (isFirstEvent) {
            latencyMs * COMPARED_PROMPT_TOKENS / request.promptTokens.coerceAtLeast(MIN_PROMPT_TOKENS)
        } else {
            latencyMs.toDouble() / request.outputTokens.coerceAtLeast(1)
        }
}
