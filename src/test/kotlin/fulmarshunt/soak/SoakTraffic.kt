/*
 * The clients and the operator of the fault soak. They behave as the platform's pages say: what they retry, when they
 * give up, and at which VM they try next.
 */
package fulmarshunt.soak

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

private const val CONNECT_TIMEOUT_MS = 1_000
private const val PLAIN_DEADLINE_MS = 2_500
private const val STREAM_DEADLINE_MS = 8_000
private const val STREAM_GAP_MS = 2_400
private const val EARLY_LEAVE_MS = 300
private const val STREAM_EVENTS = 30
private const val MAX_ATTEMPTS = 3
private const val PLAIN_CLIENTS = 16
private const val STREAM_CLIENTS = 8
private const val ORDER_TIMEOUT_MS = 1_000
private const val MAX_BACKOFF_MS = 400L

/** The clients of a run; [close] ends them. */
internal class SoakClients(private val site: SoakDeployment, private val seed: Long) : AutoCloseable {
    private val requests = AtomicInteger()
    private val ready = ConcurrentHashMap.newKeySet<Int>()

    @Volatile
    private var isOver = false

    private val threads =
        (0 until PLAIN_CLIENTS + STREAM_CLIENTS).map { thread(isDaemon = true) { Client(it).run() } } +
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

    override fun close() {
        isOver = true
        threads.forEach { it.join(STREAM_DEADLINE_MS.toLong()) }
    }

    private inner class Client(private val number: Int) {
        private val random = Random(seed * 1_000 + number)
        private val connections = HashMap<Int, SoakConnection>()

        fun run() {
            while (!isOver) {
                val kind = when {
                    number >= PLAIN_CLIENTS -> "stream"
                    random.nextInt(3) == 0 -> "unsafe"
                    else -> "safe"
                }
                var entry = chooseEntry()
                for (attempt in 1..MAX_ATTEMPTS) {
                    if (attempt > 1) connections.remove(entry)?.close()
                    val status = attempt(entry, kind)
                    val mayRetry = status in promises || kind == "safe" && (status == 0 || status >= 500)
                    if (!mayRetry || isOver) break
                    Thread.sleep(random.nextLong(50, 300))
                    entry = chooseEntry()
                }
                Thread.sleep(random.nextLong(10, 60))
            }
            connections.values.forEach { it.close() }
        }

        private fun chooseEntry(): Int {
            val choices = ready.toList().ifEmpty { (0 until site.entryCount).toList() }
            // A client stays with its entry VM while that one is ready.
            return (number % site.entryCount).takeIf { it in choices && random.nextInt(4) > 0 }
                ?: choices.random(random)
        }

        /** Sends a request and returns the status of its response, or 0 if there is none. */
        private fun attempt(entry: Int, kind: String): Int {
            val isStream = kind == "stream"
            val connection = try {
                connections.getOrPut(entry) { SoakConnection(site.callerAddress(entry), CONNECT_TIMEOUT_MS) }
            } catch (e: IOException) {
                return 0
            }
            val request = "%d-%06x".format(seed, requests.incrementAndGet())
            val deadlineMs = if (isStream) STREAM_DEADLINE_MS else PLAIN_DEADLINE_MS
            val head = "POST /$kind/x HTTP/1.1\r\nHost: site.example\r\nFulmarshunt-Request-Id: $request\r\n" +
                "Fulmarshunt-Deadline-Ms: $deadlineMs" + if (!isStream) {
                    ""
                } else {
                    "\r\nFulmarshunt-Model: m\r\nFulmarshunt-Token-Counts: 400,${STREAM_EVENTS * 4}\r\n" +
                        "Fulmarshunt-Prefix-Hash: ${request.hashCode().toUInt().toString(16)}:400"
                }
            site.record.add(
                SoakKind.SEND,
                "request" to request,
                "kind" to kind,
                "entry" to "entry-$entry",
                "service" to if (isStream) ENGINE else PLAIN,
            )
            val patienceMs = when {
                random.nextInt(40) == 0 -> EARLY_LEAVE_MS
                isStream -> STREAM_GAP_MS
                else -> PLAIN_DEADLINE_MS
            }
            val response = try {
                connection.call(head, "", patienceMs) ?: throw IOException("closed")
            } catch (e: IOException) {
                connections.remove(entry)?.close()
                site.record.add(SoakKind.FAIL, "request" to request, "problem" to "${e.message}")
                return 0
            }
            val problem = problemOrNull(response, request, isStream)
            site.record.add(
                SoakKind.ANSWER,
                "request" to request,
                "status" to response.status,
                "sound" to (problem == null),
                "problem" to problem.orEmpty(),
            )
            if (response.isLast) connections.remove(entry)?.close()
            return response.status
        }

        private fun problemOrNull(response: SoakMessage, request: String, isStream: Boolean): String? {
            val stamp = response.headers["fulmarshunt-server-stamp"]
            val expected = if (!isStream) {
                "body of $request"
            } else {
                (1..STREAM_EVENTS).joinToString("") { "id: $it\ndata: $request\n\n" }
            }
            return when {
                response.status / 100 != 2 -> null
                stamp == null -> "no_stamp"
                stamp.substringAfter('.') != request -> "stamp_of_${stamp.substringAfter('.')}"
                response.body != expected -> "body_differs_bytes=${response.body.length}_of_${expected.length}"
                else -> null
            }
        }
    }
}

private val promises = setOf(408, 421, 429, 503)

/** The operator of a run. Orders are sent one after another. */
internal class SoakOperator(private val site: SoakDeployment, seed: Long) {
    private val random = Random(seed + 17)
    private var version = 0

    /** Channels of calls that were given up and are left open. */
    private val abandoned = mutableListOf<SoakConnection>()

    /** Sends the next configuration. */
    @Synchronized
    fun configure(limitMs: Long): Boolean {
        version += 1 + random.nextInt(3)
        return order("/api/config/replace", soakConfiguration(version, 2_500 + random.nextInt(500)), null, limitMs)
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

private fun soakConfiguration(version: Int, plainTimeoutMs: Int): String {
    fun route(kind: String, service: String, timeoutMs: Int, more: String) =
        """{"name":"r-$kind","host":"site.example","path_prefix":"/$kind/","type":"$kind","timeout_ms":$timeoutMs,""" +
            """"slo_ms":600,"priority":1,"service":"$service","public":true,$more}"""

    fun service(name: String, more: String) =
        """{"name":"$name","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,""" +
            """"cold_start_s":0.0,"cold_per_s":0.0$more}"""
    val routes = listOf(
        route("safe", PLAIN, plainTimeoutMs, """"max_attempts":3"""),
        route("unsafe", PLAIN, plainTimeoutMs, """"max_attempts":2"""),
        route("stream", ENGINE, 8_000, """"max_attempts":2,"sticky":true,"resumable":false,"gap_slo_ms":180"""),
    )
    val engine = ""","engine":{"slots":8,"kv_capacity":34330,"kv_token_bytes":131072,"link_mbps":19000.0,""" +
        """"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,""" +
        """"models":[{"name":"m"}]}"""
    return """{"version":$version,"routes":[${routes.joinToString(",")}],"services":[${service(PLAIN, "")},""" +
        """${service(ENGINE, engine)}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,""" +
        """"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
}
