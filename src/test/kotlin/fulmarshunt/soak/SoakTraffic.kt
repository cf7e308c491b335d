/*
 * The clients and the operator of the fault soak. They behave as the platform's pages say: what they retry, when they
 * give up, and at which VM they try next.
 */
package fulmarshunt.soak

import java.io.IOException
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

private const val CONNECT_TIMEOUT_MS = 1_000
private const val STREAM_GAP_MS = 2_400
private const val EARLY_LEAVE_MS = 300
private const val MAX_ATTEMPTS = 3
private const val MIN_PLAIN_CLIENTS = 16
private const val MIN_STREAM_CLIENTS = 16
private const val ORDER_TIMEOUT_MS = 1_000
private const val MAX_BACKOFF_MS = 400L

/** The clients of a run; [close] ends them. */
internal class SoakClients(private val site: SoakDeployment, private val seed: Long) : AutoCloseable {
    private val requests = AtomicInteger()
    private val failures = ConcurrentLinkedQueue<Throwable>()
    private val ready = ConcurrentHashMap.newKeySet<Int>()
    private val plainCount = maxOf(MIN_PLAIN_CLIENTS, site.entryCount)
    private val streamCount = maxOf(MIN_STREAM_CLIENTS, site.entryCount / 2)

    @Volatile
    private var isOver = false

    private val threads =
        (0 until plainCount + streamCount).map { startClient(it) } +
            (0 until site.entryCount).map { thread(isDaemon = true) { probe(it) } }

    /** Asks for readiness once a second; a second miss takes the entry VM out. */
    private fun probe(entry: Int) {
        var misses = 0
        while (!isOver) {
            misses = if (site.isReady(entry)) 0 else misses + 1
            if (misses == 0) ready += entry
            if (misses == 2) ready -= entry
            Thread.sleep(1_000)
        }
    }

    /** The entry VMs that get new connections: the ready ones, or all if fewer than half are ready. */
    private fun inRotation(): List<Int> {
        // Copied at once: toList reads the size first, and the set may shrink in between.
        val found = ArrayList(ready)
        return if (found.size * 2 < site.entryCount) (0 until site.entryCount).toList() else found
    }

    override fun close() {
        isOver = true
        threads.forEach { it.join(site.site.streamLimitMs.toLong()) }
        failures.peek()?.let { throw IllegalStateException("a client ended early", it) }
    }

    private fun startClient(number: Int) =
        thread(isDaemon = true) { runCatching { Client(number).run() }.onFailure(failures::add) }

    private inner class Client(private val number: Int) {
        private val random = Random(seed * 1_000 + number)
        private val connections = HashMap<Int, SoakConnection>()

        /** Every other client comes back to its entry VM until its connections are refused there. */
        private val isClinging = number % 2 == 0

        fun run() {
            while (!isOver) {
                val kind = when {
                    number >= plainCount -> STREAM
                    random.nextInt(3) == 0 -> "unsafe"
                    else -> SAFE
                }
                var entry = chooseEntry(isRetry = false)
                for (attempt in 1..MAX_ATTEMPTS) {
                    if (attempt > 1) connections.remove(entry)?.close()
                    val status = attempt(entry, kind, attempt)
                    val mayRetry = status in promises || kind == SAFE && (status == 0 || status >= 500)
                    if (!mayRetry || isOver) break
                    Thread.sleep(random.nextLong(50, 300))
                    entry = chooseEntry(isRetry = true)
                }
                Thread.sleep(random.nextLong(10, 60))
            }
            connections.values.forEach { it.close() }
        }

        private fun chooseEntry(isRetry: Boolean): Int {
            val choices = inRotation()
            val home = number % site.entryCount
            if (isClinging && !isRetry) return home
            // An open connection stays with its entry VM, whether that one is ready or not.
            val mayUseHome = home in choices || home in connections
            return if (mayUseHome && random.nextInt(4) > 0) home else choices.random(random)
        }

        /** Sends a request and returns the status of its response, or 0 if there is none. */
        private fun attempt(entry: Int, kind: String, number: Int): Int {
            val isNew = entry !in connections
            val isReady = entry in inRotation()
            val connection = try {
                connections.getOrPut(entry) { SoakConnection(site.callerAddress(entry), CONNECT_TIMEOUT_MS) }
            } catch (e: IOException) {
                null
            }
            val request = soakRequest("%d-%06x".format(seed, requests.incrementAndGet()), kind, random, site.site)
            val startedNs = System.nanoTime()
            site.record.add(
                SoakKind.SEND,
                "request" to request.id,
                "kind" to kind,
                "entry" to "entry-$entry",
                "service" to request.service,
                "connection" to when {
                    connection == null -> "none"
                    isNew -> "new"
                    else -> "kept"
                },
                "ready" to isReady,
                "attempt" to number,
                "framing" to request.framing,
                "bytes" to request.body.length,
                "hash" to request.body.hashCode(),
                "limit_ms" to request.deadlineMs,
                "max_attempts" to request.maxAttempts,
            )
            if (connection == null) {
                site.record.add(SoakKind.FAIL, "request" to request.id, "by" to "connect", "status" to 0)
                return 0
            }
            val isWhole = send(connection, request)
            if (isWhole) site.record.add(SoakKind.SENT, "request" to request.id)
            val leftMs = request.deadlineMs - ((System.nanoTime() - startedNs) / 1_000_000).toInt()
            val patienceMs = when {
                random.nextInt(40) == 0 -> EARLY_LEAVE_MS
                request.isStream -> STREAM_GAP_MS
                else -> maxOf(1, leftMs)
            }
            val response = receiveOrNull(connection, request, patienceMs)
            if (response == null || response.isLast || !isWhole) connections.remove(entry)?.close()
            return response?.status ?: 0
        }

        /** Sends [request] unless a response comes before its end; returns whether all of it was sent. */
        private fun send(connection: SoakConnection, request: SoakRequest): Boolean {
            val stopsForResponse = random.nextBoolean()
            return try {
                request.parts.all { part ->
                    Thread.sleep(part.pauseMs)
                    val goesOn = !(stopsForResponse && connection.hasResponse)
                    if (goesOn) connection.send(part.text)
                    goesOn
                }
            } catch (e: IOException) {
                false
            }
        }

        private fun receiveOrNull(connection: SoakConnection, request: SoakRequest, patienceMs: Int): SoakMessage? {
            var status = 0
            var chunkCount = 0
            val body = StringBuilder()
            val response = try {
                connection.receive(
                    patienceMs,
                    { status = it.status },
                    {
                        chunkCount += 1
                        body.append(it)
                    },
                ) ?: throw IOException("closed")
            } catch (e: IOException) {
                site.record.add(
                    SoakKind.FAIL,
                    "request" to request.id,
                    "by" to when {
                        e !is SocketTimeoutException -> "peer"
                        patienceMs == EARLY_LEAVE_MS -> "leave"
                        else -> "client"
                    },
                    "status" to status,
                    "order" to orderProblemOrNull(status, "$body", request, isWhole = false).orEmpty(),
                    "chunks" to chunkCount,
                    "problem" to "${e.message}",
                )
                return null
            }
            val problem = problemOrNull(response, request)
            site.record.add(
                SoakKind.ANSWER,
                "request" to request.id,
                "status" to response.status,
                "sound" to (problem == null),
                "problem" to problem.orEmpty(),
                "order" to orderProblemOrNull(status, response.body, request, isWhole = true).orEmpty(),
            )
            return response
        }

        private fun problemOrNull(response: SoakMessage, request: SoakRequest): String? {
            val stamp = response.headers["fulmarshunt-server-stamp"]
            val expected = request.expectedBody()
            return when {
                response.status / 100 != 2 -> null
                stamp == null -> "no_stamp"
                stamp.substringAfter('.') != request.id -> "stamp_of_${stamp.substringAfter('.')}"
                request.isStream || response.body == expected -> null
                else -> "body_differs_bytes=${response.body.length}_of_${expected.length}"
            }
        }
    }
}

/** Returns what is wrong with the events in [body]; if [isWhole], the response looked complete to its client. */
internal fun orderProblemOrNull(status: Int, body: String, request: SoakRequest, isWhole: Boolean): String? {
    val expected = request.expectedBody()
    val sameCount = expected.commonPrefixWith(body).split("\n\n").size - 1
    return when {
        !request.isStream || status / 100 != 2 -> null
        !expected.startsWith(body) -> "differs_after=$sameCount"
        isWhole && body != expected -> "complete_after=${sameCount}_of=${request.eventCount}"
        else -> null
    }
}

private val promises = setOf(408, 421, 429, 503)

/** The operator of a run. Orders are sent one after another. */
internal class SoakOperator(private val site: SoakDeployment, seed: Long) {
    private val random = Random(seed + 17)

    /** Without copies that are kept up to date, all runs that continue elsewhere are moved with their last move. */
    private val hasBackups = seed % 2 == 0L
    private var version = 0

    /** Channels of calls that were given up and are left open. */
    private val abandoned = mutableListOf<SoakConnection>()

    /** Sends the next configuration. */
    @Synchronized
    fun configure(limitMs: Long): Boolean {
        version += 1 + random.nextInt(3)
        val configuration = soakConfiguration(site.site, version, random.nextInt(500), hasBackups)
        return order("/api/config/replace", configuration, null, limitMs).also { if (it) site.startProbes(version) }
    }

    @Synchronized
    fun evacuate(zone: String, isStart: Boolean, first: Int? = null, limitMs: Long = 8_000): Boolean =
        order("/api/evacuation/$zone/${if (isStart) "start" else "end"}", "", first, limitMs)

    /** Sends an order to control VMs in turn until it is acknowledged, to [first] first. */
    private fun order(path: String, body: String, first: Int?, limitMs: Long): Boolean {
        val endNs = System.nanoTime() + limitMs * 1_000_000
        var node = first ?: random.nextInt(CONTROL_VMS)
        var backoffMs = 50L
        while (System.nanoTime() < endNs) {
            site.record.add(SoakKind.ORDER, "path" to path, "node" to "control-$node")
            if (sendOrder(node, path, body, isLeftOpen = first != null || random.nextInt(3) == 0) == 200) {
                site.record.add(SoakKind.ACKNOWLEDGED, "path" to path, "node" to "control-$node")
                return true
            }
            node = (node + 1 + random.nextInt(CONTROL_VMS - 1)) % CONTROL_VMS
            Thread.sleep(backoffMs)
            backoffMs = minOf(MAX_BACKOFF_MS, backoffMs * 2)
        }
        return false
    }

    private fun sendOrder(node: Int, path: String, body: String, isLeftOpen: Boolean): Int? {
        val address = site.controlAddress(node)
        val connection = try {
            SoakConnection(address, ORDER_TIMEOUT_MS)
        } catch (e: IOException) {
            return null
        }
        return try {
            val head = "POST $path HTTP/1.1\r\nHost: $address\r\nContent-Type: application/json"
            connection.call(head, body, ORDER_TIMEOUT_MS)?.status.also { connection.close() }
        } catch (e: IOException) {
            if (isLeftOpen) abandoned += connection else connection.close()
            null
        }
    }
}

private fun soakConfiguration(site: SoakSite, version: Int, moreTimeMs: Int, hasBackups: Boolean): String {
    val plainTimeoutMs = site.plainLimitMs + moreTimeMs

    fun route(kind: String, service: String, timeoutMs: Int, more: String): String {
        val objectiveMs = if (kind == STREAM) site.streamObjectiveMs else site.plainObjectiveMs
        return """{"name":"r-$kind","host":"site.example","path_prefix":"/$kind/","type":"$kind",""" +
            """"timeout_ms":$timeoutMs,"slo_ms":$objectiveMs,"priority":1,"service":"$service","public":true,$more}"""
    }

    fun service(name: String, more: String) =
        """{"name":"$name","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,""" +
            """"cold_start_s":0.0,"cold_per_s":0.0$more}"""
    val routes = listOf(
        route(SAFE, PLAIN, plainTimeoutMs, """"max_attempts":$SAFE_ATTEMPTS"""),
        route("unsafe", PLAIN, plainTimeoutMs, """"max_attempts":$UNSAFE_ATTEMPTS"""),
        route(
            STREAM,
            ENGINE,
            site.streamLimitMs,
            """"max_attempts":$UNSAFE_ATTEMPTS,"sticky":true,"resumable":false,"gap_slo_ms":180""",
        ),
    )
    val engine = ""","engine":{"slots":${site.engineSlots},"kv_capacity":34330,""" +
        """"kv_token_bytes":131072,"link_mbps":19000.0,""" +
        """"moves":true,"backups":$hasBackups,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,""" +
        """"models":[{"name":"m"}]}"""
    val others = moreRoutes(version, site.moreRoutes)
    return """{"version":$version,"routes":[$others${routes.joinToString(",")}],"services":[$serviceWithoutTargets,""" +
        """${service(PLAIN, "")},""" +
        """${service(ENGINE, engine)}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,""" +
        """"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
}
