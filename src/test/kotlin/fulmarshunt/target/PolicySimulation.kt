/*
 * Simulates a pool and modelled engines with seeded arrivals, in the order of the engines' steps.
 */
package fulmarshunt.target

import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.Granted
import fulmarshunt.entry.TicketOutcome
import org.HdrHistogram.Histogram

private const val ENGINES = 4
private const val MEMORY_TOKENS = 24_000L
private const val FULL_LIMIT = 64
internal const val DURATION_MS = 300_000.0

/** Results are counted from this time on, when the length estimates are warm and the queues are full. */
internal const val WARM_MS = 60_000.0

/** The maximum output of tag requests. */
internal const val TAG_TOKENS = 16

/** A longer gap between tokens counts as a stall. */
private const val STALL_MS = 200.0

internal class Arrival(val atMs: Double, val request: AdmissionRequest, val length: Int)

internal class Results {
    var preemptions = 0L
    var stallMs = 0.0
    var finishedTokens = 0L
    var finished = 0
    var rejected = 0
    val gapsMs = Histogram(2)
    val tagWaitsMs = ArrayList<Double>()
    val served = HashMap<String, Double>()
}

internal class PolicySimulation(private val arrivals: List<Arrival>, policies: PoolPolicies, seed: Long) {
    private val results = Results()
    private val pool = pool(policies = policies, seed = seed)
    private val engines = (0 until ENGINES).map { EngineModel("e$it", MEMORY_TOKENS, ::recordGap) }
    private val byTicket = arrivals.associateBy { it.request.ticket }
    private var nowMs = 0.0
    private var next = 0
    private var nextAnnounceMs = 0.0
    private var preemptionsWhenWarm = -1L

    fun run(): Results {
        while (true) {
            val engine = engines.minBy { it.nowMs }
            nowMs = engine.nowMs
            if (nowMs >= DURATION_MS) break
            if (nowMs >= WARM_MS && preemptionsWhenWarm < 0) preemptionsWhenWarm = engines.sumOf { it.preemptions }
            if (nowMs >= nextAnnounceMs) report()
            while (next < arrivals.size && arrivals[next].atMs <= nowMs) {
                apply(pool.admit(arrivals[next++].request, nowMs.toLong()))
            }
            if (engine.running.isEmpty() && engine.waiting.isEmpty()) engine.nowMs += IDLE_MS else step(engine)
        }
        results.preemptions = engines.sumOf { it.preemptions } - preemptionsWhenWarm
        return results
    }

    private fun step(engine: EngineModel) {
        val ended = engine.step()
        for (generation in engine.running) {
            if (generation.tokens >= 16 && generation.tokens.countOneBits() == 1) progress(generation)
        }
        nowMs = engine.nowMs
        for (generation in ended) {
            count(generation)
            val request = generation.request
            apply(pool.end(request.ticket, generation.tokens, TicketOutcome.FINISHED, nowMs.toLong()))
        }
    }

    private fun report() {
        nextAnnounceMs += 1_000.0
        for (engine in engines) {
            val announcement = announcement(
                engine.name,
                startLimit = 4,
                fullLimit = FULL_LIMIT,
                memoryTokens = MEMORY_TOKENS,
                load = engine.load(),
                cacheEvents = engine.takeEvents(),
            )
            apply(pool.announce(announcement, nowMs.toLong()))
            engine.running.forEach(::progress)
        }
    }

    private fun progress(generation: Generation) {
        val firstMs = if (generation.firstTokenMs < 0) -1.0 else generation.firstTokenMs - generation.startedMs
        val betweenMs = if (generation.gaps == 0) -1.0 else generation.gapsMs / generation.gaps
        generation.gaps = 0
        generation.gapsMs = 0.0
        val ticket = generation.request.ticket
        apply(pool.progress(ticket, generation.tokens, firstMs.toLong(), betweenMs, nowMs.toLong()))
    }

    private fun apply(effects: List<PoolEffect>) {
        for (decide in effects.filterIsInstance<SendAdmissionReply>()) {
            val arrival = byTicket.getValue(decide.ticket)
            val granted = decide.reply as? Granted
            if (granted == null) {
                if (nowMs > WARM_MS) results.rejected++
                continue
            }
            val isTag = arrival.request.maxOutputTokens == TAG_TOKENS
            if (isTag && nowMs > WARM_MS) results.tagWaitsMs += nowMs - arrival.atMs
            val engine = engines.single { it.name == granted.target.value }
            engine.start(Generation(arrival.request, arrival.length, granted.priority, nowMs))
        }
    }

    private fun recordGap(gapMs: Double) {
        if (nowMs < WARM_MS) return
        results.gapsMs.recordValue(gapMs.toLong())
        results.stallMs += (gapMs - STALL_MS).coerceAtLeast(0.0)
    }

    private fun count(generation: Generation) {
        if (nowMs < WARM_MS) return
        val request = generation.request
        results.finished++
        results.finishedTokens += generation.tokens
        results.served.merge(request.account.value, generation.memory.toDouble(), Double::plus)
    }

    private companion object {
        /** An idle engine checks for new requests after this time. */
        const val IDLE_MS = 5.0
    }
}
