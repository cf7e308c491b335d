/*
 * Seeded open-loop workloads in the shapes of the two users. Arrival times do not depend on the responses, so that a
 * slow system cannot hide its delays by slowing the callers down.
 */
package fulmarshunt.measurement

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** The shape of one user's installation and load. */
class UserShape(
    val name: String,
    val domains: List<String>,
    val engineCount: Int,
    val plainServiceCount: Int,
    /** The share of requests that are short tags. */
    val tagShare: Double,
    /** The median length of the long responses. */
    val medianLongTokens: Int,
    /** The standard deviation of the logarithm of the long responses' length. */
    val spread: Double,
)

val vatuvara = UserShape("vatuvara", listOf("suva", "nausori", "lautoka"), 10, 3, 0.5, 150, 1.0)
val repasso = UserShape("repasso", listOf("plateau", "parcelles", "rufisque"), 6, 3, 0.7, 80, 0.8)

/** The client accounts with their weights; the first two are large and ask for more than their share. */
val accountWeights: Map<String, Double> =
    (1..10).associate { "account-$it" to if (it <= 2) 2.0 else 1.0 }

/** One request of the workload. */
class Arrival(
    val atMs: Long,
    val account: String,
    val isTag: Boolean,
    val outputTokens: Int,
    val promptTokens: Int,
    val entry: Int,
)

private const val TAG_MIN_TOKENS = 4
private const val TAG_MAX_TOKENS = 16
private const val MAX_LONG_TOKENS = 2_000
private const val LARGE_ACCOUNT_SHARE = 0.6

/**
 * Returns the output tokens per second of one engine whose [memoryTokens] are always full, at [stepMs] per token.
 *
 * A request occupies its prompt and, on average, half of its output for as many steps as it has output tokens.
 */
fun engineTokensPerSecond(shape: UserShape, seed: Long, memoryTokens: Int, stepMs: Int): Double {
    val sample = workload(shape, seed, SAMPLE_MS, SAMPLE_TOKENS_PER_SECOND, entryCount = 1)
    val occupied = sample.sumOf { it.outputTokens * (promptMemory(it) + it.outputTokens / 2.0) }
    val batch = memoryTokens * sample.sumOf { it.outputTokens.toDouble() } / occupied
    return batch * 1_000 / stepMs
}

/** The memory of a prompt at the stand-in engine, which counts 4 characters as a token; a prompt token has 5. */
private fun promptMemory(arrival: Arrival): Double = arrival.promptTokens * 1.25

private const val SAMPLE_MS = 1_000_000L
private const val SAMPLE_TOKENS_PER_SECOND = 2_000.0

/** Returns the arrivals of [durationMs] with [tokensPerSecond] output tokens on average. */
fun workload(shape: UserShape, seed: Long, durationMs: Long, tokensPerSecond: Double, entryCount: Int): List<Arrival> {
    val random = Random(seed)
    val meanLong = shape.medianLongTokens * exp(shape.spread * shape.spread / 2)
    val meanTag = (TAG_MIN_TOKENS + TAG_MAX_TOKENS) / 2.0
    val meanTokens = shape.tagShare * meanTag + (1 - shape.tagShare) * meanLong
    val meanGapMs = 1_000 * meanTokens / tokensPerSecond
    val arrivals = mutableListOf<Arrival>()
    var atMs = 0.0
    while (true) {
        atMs += -ln(1 - random.nextDouble()) * meanGapMs
        if (atMs >= durationMs) return arrivals
        val isTag = random.nextDouble() < shape.tagShare
        val long = (shape.medianLongTokens * exp(shape.spread * gaussian(random))).toInt().coerceIn(8, MAX_LONG_TOKENS)
        arrivals +=
            Arrival(
                atMs = atMs.toLong(),
                account = if (random.nextDouble() < LARGE_ACCOUNT_SHARE) largeAccount(random) else smallAccount(random),
                isTag = isTag,
                outputTokens = if (isTag) random.nextInt(TAG_MIN_TOKENS, TAG_MAX_TOKENS + 1) else long,
                promptTokens = if (isTag) random.nextInt(20, 60) else random.nextInt(50, 300),
                entry = random.nextInt(entryCount),
            )
    }
}

private fun largeAccount(random: Random): String = "account-${random.nextInt(1, 3)}"

private fun smallAccount(random: Random): String = "account-${random.nextInt(3, 11)}"

/** Returns a normally distributed number by the polar method. */
private fun gaussian(random: Random): Double {
    while (true) {
        val u = random.nextDouble() * 2 - 1
        val v = random.nextDouble() * 2 - 1
        val s = u * u + v * v
        if (s > 0 && s < 1) return u * kotlin.math.sqrt(-2 * ln(s) / s)
    }
}
