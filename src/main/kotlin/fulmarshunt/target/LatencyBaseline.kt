/*
 * The usual value of a latency at one target, used to detect that the target turned cold.
 */
package fulmarshunt.target

/** This many consecutive slow samples mean that the target turned cold; single ones come from bursts. */
private const val COLD_SAMPLES = 4

/** No sample counts as slow before the baseline has this many samples. */
private const val MIN_SAMPLES = 8

/** The weight of a new sample in the baseline. */
private const val LEARNING_RATE = 0.05

/** A running mean of a latency on which slow samples have little influence. */
internal class LatencyBaseline {
    /** The running mean, 0 before the first sample. */
    var meanMs = 0.0
        private set

    /** The number of samples that the mean is made of. */
    var samples = 0
        private set
    private var consecutiveSlow = 0

    /** True while the latest sample was slow. */
    val isSlow: Boolean get() = consecutiveSlow > 0

    /** Adds a sample and returns true if the target has just turned cold. */
    fun record(sampleMs: Double): Boolean {
        val bound = slowMs(meanMs)
        val slow = samples >= MIN_SAMPLES && sampleMs > bound
        // Early samples set the mean quickly; later, clamped samples let the baseline adapt to a lasting change.
        val rate = maxOf(LEARNING_RATE, 1.0 / (samples + 1))
        meanMs += rate * ((if (slow) bound else sampleMs) - meanMs)
        samples++
        consecutiveSlow = if (slow) consecutiveSlow + 1 else 0
        if (consecutiveSlow < COLD_SAMPLES) return false
        consecutiveSlow = 0
        return true
    }
}
