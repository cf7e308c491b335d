/*
 * A stand-in for a model engine, run as a separate process. It batches running generations in steps, keeps their
 * tokens so that streams can be resumed, preempts the newest low-priority generation when its memory is full, and
 * takes longer steps while it warms up. It loads services on request, one at a time. Control requests under `/standin`
 * make it crash, stall one of its streams, turn cold or announce that it leaves.
 */
package fulmarshunt.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** The properties of a stand-in engine, given as `name=value` arguments. */
class EngineOptions(private val values: Map<String, String>) {
    val id = values.getValue("id")
    val port = values.getValue("port").toInt()

    /** The port in the announcement: that of a proxy in front, or [port]. */
    val announcedPort = values["seen_port"]?.toInt() ?: port
    val domain = values["domain"] ?: "suva"
    val services = (values["services"] ?: "letters").split(',')
    val announceTo = (values["announce"] ?: "").split(',').filter { it.isNotEmpty() }
    val incarnation = long("incarnation", System.currentTimeMillis())
    val memoryTokens = long("memory", 20_000)
    val stepMs = long("step", 10)
    val startLimit = long("start_limit", 2).toInt()
    val fullLimit = long("full_limit", 16).toInt()
    val warmUpMs = long("warm_up", 0)
    val checksFencing = values["checks_fencing"] == "true"
    val announceEveryMs = long("announce_every", 500)

    /** The number of services that it holds at once, or 0 if it takes no orders to load. */
    val maxServices = long("max_services", 0).toInt()
    val loadMs = long("load", 1_000)

    /** Requests above [startLimit] during the warm-up crash the process when set. */
    val isFragile = values["fragile"] == "true"

    private fun long(name: String, default: Long): Long = values[name]?.toLong() ?: default
}

/** The number of tokens generated so far, and how the generation ended if it has. */
private data class Progress(val tokens: Int = 0, val finish: String? = null, val isCancelled: Boolean = false) {
    val isOver: Boolean get() = finish != null || isCancelled
}

private class Generation(
    val id: String,
    val service: String,
    val entryVm: String,
    val promptTokens: Int,
    val length: Int,
    val maxTokens: Int,
    val priority: Int,
) {
    private val mutableProgress = MutableStateFlow(Progress())

    /** A single value, so that a stream that waits for the next token also observes an end without a token. */
    val progress: StateFlow<Progress> = mutableProgress
    val total = minOf(length, maxTokens)

    /** True while the KV cache of the generation is evicted. */
    var isPreempted = false

    /** The steps that remain to recompute the evicted KV cache. */
    var recomputeSteps = 0

    fun usedTokens(): Long = promptTokens.toLong() + progress.value.tokens

    fun decode() {
        mutableProgress.update {
            val reason = if (length <= maxTokens) "stop" else "length"
            it.copy(tokens = it.tokens + 1, finish = reason.takeIf { _ -> it.tokens + 1 >= total })
        }
    }

    fun cancel() {
        mutableProgress.update { it.copy(isCancelled = true) }
    }

    fun token(offset: Int): String = "$id:$offset "
}

/** Starts a stand-in engine; arguments are `name=value`. */
fun main(arguments: Array<String>): Unit = runBlocking {
    EngineStandIn(EngineOptions(arguments.associate { it.substringBefore('=') to it.substringAfter('=') })).run()
}

class EngineStandIn(private val options: EngineOptions) {
    private val generations = ConcurrentHashMap<String, Generation>()
    private val batch = mutableListOf<Generation>()
    private val preemptions = AtomicLong()
    private val waiting = AtomicInteger()
    private val started = AtomicInteger()
    private val maxConcurrent = AtomicInteger()
    private val startedAtMs = System.currentTimeMillis()
    private val services = CopyOnWriteArrayList(options.services)
    private val loads = AtomicInteger()
    private val loadScope = CoroutineScope(Dispatchers.Default)

    @Volatile
    private var loading: String? = null

    @Volatile
    private var highestFencingNumber = 0L

    @Volatile
    private var coldUntilMs = startedAtMs + options.warmUpMs

    @Volatile
    private var isLeaving = false

    @Volatile
    private var stalledStreams = 0

    suspend fun run() {
        val scope = CoroutineScope(Dispatchers.Default)
        scope.launch { decode() }
        scope.launch { announce() }
        server().start(wait = true)
    }

    private suspend fun decode() {
        while (true) {
            delay(if (isCold()) options.stepMs * COLD_FACTOR else options.stepMs)
            synchronized(batch) {
                batch.removeIf { it.progress.value.isOver }
                waiting.set(0)
                var memory = 0L
                for (generation in batch.sortedByDescending { it.priority }) {
                    memory += generation.usedTokens() + 1
                    if (memory <= options.memoryTokens) step(generation) else preempt(generation)
                }
            }
        }
    }

    private fun step(generation: Generation) {
        if (generation.isPreempted) {
            generation.isPreempted = false
            generation.recomputeSteps = (generation.usedTokens() / RECOMPUTED_TOKENS_PER_STEP).toInt()
        }
        if (generation.recomputeSteps > 0) {
            generation.recomputeSteps--
            return
        }
        generation.decode()
    }

    private fun preempt(generation: Generation) {
        waiting.incrementAndGet()
        if (generation.isPreempted) return
        generation.isPreempted = true
        if (generation.progress.value.tokens > 0) preemptions.incrementAndGet()
    }

    private fun isCold(): Boolean = System.currentTimeMillis() < coldUntilMs

    private suspend fun announce() {
        if (options.announceTo.isEmpty()) return
        val client = HttpClient(CIO)
        while (true) {
            val entry = options.announceTo.random()
            runCatching {
                // A frozen entry VM accepts the connection and never responds.
                withTimeoutOrNull(options.announceEveryMs) {
                    client.post("http://$entry/v1/targets/announce") { setBody(announcement().toString()) }
                }
            }
            delay(options.announceEveryMs)
        }
    }

    private fun announcement(): JsonObject = buildJsonObject {
        put("target", options.id)
        putJsonObject("address") {
            put("host", "127.0.0.1")
            put("port", options.announcedPort)
        }
        put("incarnation", options.incarnation)
        put("failure_domain", options.domain)
        put("kind", "engine")
        putJsonArray("services") { services.forEach { add(it) } }
        put("max_services", options.maxServices)
        loading?.let { put("loading", it) }
        put("checks_fencing", options.checksFencing)
        put("memory_tokens", options.memoryTokens)
        put("start_limit", options.startLimit)
        put("full_limit", options.fullLimit)
        put("leaving", isLeaving)
        putJsonObject("load") {
            val running = synchronized(batch) { batch.toList() }
            put("used_tokens", running.sumOf { it.usedTokens() })
            put("running", running.size)
            put("waiting", waiting.get())
            put("preemptions", preemptions.get())
        }
    }

    private fun server() = embeddedServer(io.ktor.server.cio.CIO, port = options.port, host = "127.0.0.1") {
        routing {
            post("/v1/generations") { call.start() }
            get("/v1/generations") { call.list() }
            get("/v1/generations/{id}") {
                val generation = generations[call.parameters["id"]] ?: return@get call.respond(HttpStatusCode.NotFound)
                call.streamFrom(generation, call.request.queryParameters["from"]?.toInt() ?: 0)
            }
            delete("/v1/generations/{id}") {
                val generation =
                    generations[call.parameters["id"]] ?: return@delete call.respond(HttpStatusCode.NotFound)
                generation.cancel()
                call.respond(HttpStatusCode.NoContent)
            }
            post("/v1/engine/orders") { call.respond(takeOrder(call.receiveText())) }
            post("/standin/{action}") { call.performAction(call.parameters["action"].orEmpty()) }
            get("/standin/stats") {
                call.respondText(stats().toString(), ContentType.Application.Json)
            }
        }
    }

    private fun stats(): JsonObject = buildJsonObject {
        put("started", started.get())
        put("max_concurrent", maxConcurrent.get())
        put("running", synchronized(batch) { batch.count { !it.progress.value.isOver } })
        put("cancelled", generations.values.count { it.progress.value.isCancelled })
        put("finished", generations.values.count { it.progress.value.finish != null })
        put("preemptions", preemptions.get())
        put("loads", loads.get())
    }

    /** Starts loading a service unless it is loading or loaded, and returns the status of the response. */
    private fun takeOrder(text: String): HttpStatusCode = synchronized(batch) {
        val order = Json.parseToJsonElement(text).jsonObject
        val service = order.getValue("service").jsonPrimitive.content
        val replaces = order["replaces"]?.jsonPrimitive?.contentOrNull
        val fencingNumber = order.getValue("fencing_number").jsonPrimitive.long
        if (options.checksFencing && fencingNumber < highestFencingNumber) return HttpStatusCode.Conflict
        highestFencingNumber = maxOf(highestFencingNumber, fencingNumber)
        if (service in services || service == loading) return HttpStatusCode.Accepted
        val isInUse = batch.any { it.service == replaces && !it.progress.value.isOver }
        val remaining = services - setOfNotNull(replaces)
        if (loading != null || isInUse || remaining.size >= options.maxServices) return HttpStatusCode.Conflict
        services.remove(replaces)
        loading = service
        loads.incrementAndGet()
        loadScope.launch {
            delay(options.loadMs)
            services += service
            loading = null
        }
        return HttpStatusCode.Accepted
    }

    private suspend fun ApplicationCall.performAction(action: String) {
        when (action) {
            "crash" -> Runtime.getRuntime().halt(CRASH_EXIT)
            "cold" -> coldUntilMs = System.currentTimeMillis() + COLD_MS
            "leave" -> isLeaving = true
            "stall" -> stalledStreams++
            else -> return respond(HttpStatusCode.NotFound)
        }
        respond(HttpStatusCode.NoContent)
    }

    private suspend fun ApplicationCall.start() {
        val body = Json.parseToJsonElement(receiveText()).jsonObject
        val fencingNumber = body.getValue("fencing_number").jsonPrimitive.long
        if (options.checksFencing && fencingNumber < highestFencingNumber) return respond(HttpStatusCode.Conflict)
        highestFencingNumber = maxOf(highestFencingNumber, fencingNumber)
        val service = body.getValue("service").jsonPrimitive.content
        if (service !in services) return respond(HttpStatusCode.Conflict)
        val prompt =
            body.getValue("messages").jsonArray.joinToString("\n") {
                it.jsonObject.getValue("content").jsonPrimitive.content
            }
        if ("CRASH-THE-ENGINE" in prompt) Runtime.getRuntime().halt(CRASH_EXIT)
        val generation =
            Generation(
                id = body.getValue("generation_id").jsonPrimitive.content,
                service = service,
                entryVm = body.getValue("entry_vm").jsonPrimitive.content,
                promptTokens = prompt.length / CHARS_PER_TOKEN + 1,
                length = lengthFor(prompt),
                maxTokens = body.getValue("max_tokens").jsonPrimitive.int,
                priority = body.getValue("priority").jsonPrimitive.int,
            )
        generations[generation.id] = generation
        val running =
            synchronized(batch) {
                batch += generation
                batch.count { !it.progress.value.isOver }
            }
        started.incrementAndGet()
        maxConcurrent.accumulateAndGet(running, ::maxOf)
        if (options.isFragile && isCold() && running > options.startLimit) Runtime.getRuntime().halt(CRASH_EXIT)
        streamFrom(generation, 0)
    }

    private suspend fun ApplicationCall.list() {
        val running = synchronized(batch) { batch.filter { !it.progress.value.isOver } }
        val text = running.joinToString(",", "[", "]") { """{"generation_id":"${it.id}","entry_vm":"${it.entryVm}"}""" }
        respondText(text, ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.streamFrom(generation: Generation, from: Int) {
        respondBytesWriter(ContentType.Text.EventStream) {
            var next = from
            while (true) {
                if (stalledStreams > 0) {
                    stalledStreams--
                    delay(Long.MAX_VALUE)
                }
                val seen = generation.progress.first { it.tokens > next || it.isOver }
                while (next < seen.tokens) {
                    writeStringUtf8("""data: {"offset":$next,"token":"${generation.token(next)}"}""" + "\n\n")
                    next++
                }
                seen.finish?.let { writeStringUtf8("""data: {"offset":$next,"finish":"$it"}""" + "\n\n") }
                flush()
                if (seen.isOver) return@respondBytesWriter
            }
        }
    }

    private companion object {
        const val COLD_FACTOR = 8
        const val RECOMPUTED_TOKENS_PER_STEP = 100L
        const val COLD_MS = 5_000L
        const val CRASH_EXIT = 70
        const val CHARS_PER_TOKEN = 4

        /** A prompt that contains `length=N` gets N tokens; others get a heavy-tailed length fixed by their text. */
        fun lengthFor(prompt: String): Int = Regex("length=(\\d+)").find(prompt)?.groupValues?.get(1)?.toInt()
            ?: (8 / Math.pow(Random(prompt.hashCode()).nextDouble().coerceAtLeast(0.001), 0.8)).toInt()
    }
}
