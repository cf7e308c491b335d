/*
 * A discrete-time model of an engine with continuous batching, for measurements of pool policies. A step decodes one
 * token of each running generation; its time grows with the batch and with the prompt tokens that it computes. When
 * the memory is full, the generation with the least priority that started last is preempted: its memory is freed, and
 * its prompt and tokens are computed again later.
 */
package fulmarshunt.target

import fulmarshunt.entry.AdmissionRequest

/** The time of a step with an empty batch, and the increments for each generation and each computed token. */
private const val STEP_MS = 8.0
private const val GENERATION_MS = 0.25
private const val PROMPT_TOKEN_MS = 0.1

/** The maximum number of prompt tokens that one step computes. */
private const val PREFILL_TOKENS = 512

/** The number of prefixes that fit into the cache. */
private const val CACHED_PREFIXES = 64

internal class Generation(val request: AdmissionRequest, val length: Int, val priority: Int, val startedMs: Double) {
    var tokens = 0
    var uncomputed = 0
    var lastTokenMs = -1.0
    var firstTokenMs = -1.0

    /** The gaps between tokens since the last progress report. */
    var gapsMs = 0.0
    var gaps = 0
    val memory: Int get() = request.promptTokens + tokens
}

internal class EngineModel(val name: String, private val memoryTokens: Long, private val onGap: (Double) -> Unit) {
    val running = ArrayList<Generation>()
    val waiting = ArrayList<Generation>()
    var preemptions = 0L
    var nowMs = 0.0
    private val cache = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>) = size > CACHED_PREFIXES
    }
    private var sequence = 0L
    private val events = ArrayList<CacheEvent>()

    val usedTokens: Long get() = running.sumOf { it.memory.toLong() }

    fun load() = TargetLoad(usedTokens, running.size, waiting.size, preemptions)

    fun takeEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    fun start(generation: Generation) {
        waiting += generation
        waiting.sortByDescending { it.priority }
    }

    /** Runs one step and returns the generations that ended. */
    fun step(): List<Generation> {
        while (waiting.isNotEmpty() && usedTokens + waiting.first().memory + running.size < memoryTokens) {
            val next = waiting.removeFirst()
            val hashes = next.request.prefixHashes
            val matched = hashes.takeWhile { it in cache }.size
            next.uncomputed =
                next.memory - if (hashes.isEmpty()) 0 else next.request.promptTokens * matched / hashes.size
            for (hash in hashes) {
                if (hash !in cache) events += CacheEvent(++sequence, CacheOperation.STORED, hash)
                cache[hash] = Unit
            }
            running += next
        }
        while (usedTokens + running.size > memoryTokens && running.size > 1) {
            val victim = running.minWith(compareBy({ it.priority }, { -it.startedMs }))
            running -= victim
            waiting.add(0, victim)
            preemptions++
        }
        var budget = PREFILL_TOKENS
        for (generation in running) {
            val now = minOf(budget, generation.uncomputed)
            generation.uncomputed -= now
            budget -= now
        }
        nowMs += STEP_MS + GENERATION_MS * running.size + PROMPT_TOKEN_MS * (PREFILL_TOKENS - budget)
        val decoding = running.filter { it.uncomputed == 0 }
        for (generation in decoding) {
            if (generation.firstTokenMs < 0) generation.firstTokenMs = nowMs
            if (generation.lastTokenMs >= 0) {
                generation.gapsMs += nowMs - generation.lastTokenMs
                generation.gaps++
                onGap(nowMs - generation.lastTokenMs)
            }
            generation.lastTokenMs = nowMs
            generation.tokens++
        }
        val ended = decoding.filter { it.tokens >= it.length }
        running -= ended.toSet()
        return ended
    }
}
