/*
 * The factors by which a latency counts as near the usual one or as far above it, for the pools of the product and for
 * the pace of targets of the platform.
 */
package fulmarshunt.target

/** A latency up to this many times that of warm targets is near it; cold engines are several times slower. */
private const val NEAR_FACTOR = 1.5

/** A latency above this many times the usual one is far above it. */
private const val SLOW_FACTOR = 4.0

/** Latencies below this are treated as equal, because clock granularity dominates them. */
private const val MIN_COMPARED_MS = 1.0

/** After this long without improvement, a target that is slower than the others counts as a slower machine. */
internal const val SLOWER_MACHINE_MS: Long = 60_000L

/** Returns the longest latency that is near [usualMs]. */
internal fun nearMs(usualMs: Double): Double = NEAR_FACTOR * maxOf(usualMs, MIN_COMPARED_MS)

/** Returns the longest latency that is not far above [usualMs]. */
internal fun slowMs(usualMs: Double): Double = SLOW_FACTOR * maxOf(usualMs, MIN_COMPARED_MS)
