/*
 * Requests that crash each target that begins to run them, and the clause of BUDGET on them. Such a request comes again
 * with the same path and body, at any entry VM. Half of the targets exit at once; the others break all connections off
 * while their listening sockets stay open, as with a supervisor that owns them.
 */
package fulmarshunt.soak

import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** The beginning of the body of a request that crashes its target. */
internal const val CRASHING = "crashing"

/** How long a crashed target is down. */
internal const val CRASH_DOWN_MS = 3_000L

private const val CRASHES_UNTIL_LIMIT = 3
private const val RETRIES_AFTER_LIMIT = 3
private const val CONNECT_TIMEOUT_MS = 1_000

/** What of a target survives its crash until it starts again. */
internal enum class SoakCrashStyle { EXIT, LISTENING }

private val crashingRequests = AtomicInteger()

/** Creates a request of [kind] whose body is [content]. */
internal fun crashingRequest(seed: Long, kind: String, content: String, limitMs: Int): SoakRequest {
    val id = "%d-c%05x".format(seed, crashingRequests.incrementAndGet())
    val generation = if (kind != STREAM) {
        ""
    } else {
        "Fulmarshunt-Model: m\r\nFulmarshunt-Token-Counts: 400,40\r\n" +
            "Fulmarshunt-Prefix-Hash: c0ffee:300,$content:100\r\n"
    }
    val text = "POST /$kind/x HTTP/1.1\r\nHost: site.example\r\nFulmarshunt-Request-Id: $id\r\n" +
        "Fulmarshunt-Deadline-Ms: $limitMs\r\n${generation}Content-Length: ${content.length}\r\n\r\n$content"
    return SoakRequest(id, kind, SoakFraming.LENGTH, 0, content, listOf(SoakPart(text, 0)), limitMs)
}

/** Sends [request] to an entry VM on a connection of its own, and waits for its end. */
internal fun SoakDeployment.sendCrashing(entry: Int, request: SoakRequest) {
    val connection = try {
        SoakConnection(callerAddress(entry), CONNECT_TIMEOUT_MS)
    } catch (e: IOException) {
        return
    }
    record.add(
        SoakKind.SEND,
        "request" to request.id,
        "kind" to request.kind,
        "entry" to "entry-$entry",
        "service" to request.service,
        "connection" to "new",
        "crashing" to request.body,
        "bytes" to request.body.length,
        "hash" to request.body.hashCode(),
        "limit_ms" to request.deadlineMs,
        "max_attempts" to request.maxAttempts,
    )
    val status = connection.use {
        try {
            it.send(request.parts.single().text)
            it.receive(request.deadlineMs)?.status
        } catch (e: IOException) {
            null
        }
    }
    val end = if (status == null) SoakKind.FAIL else SoakKind.ANSWER
    record.add(end, "request" to request.id, "by" to "crash", "status" to (status ?: 0), "sound" to true)
}

/** Sends requests of one of [kinds] that crash their targets, [sends] times each, until [isOver]. */
internal fun SoakDeployment.sendCrashingInTurn(
    seed: Long,
    kinds: List<String>,
    sends: Int,
    random: Random,
    isOver: () -> Boolean,
) {
    var number = 0
    while (!isOver()) {
        val kind = kinds[number % kinds.size]
        val content = "$CRASHING-$kind-${++number}"
        repeat(sends) {
            if (isOver()) return
            val limitMs = if (kind == STREAM) site.streamLimitMs else site.plainLimitMs
            sendCrashing(random.nextInt(entryCount), crashingRequest(seed, kind, content, limitMs))
            Thread.sleep(random.nextLong(300, 2_000))
        }
    }
}

/** Contents that reached targets more often than allowed, [SoakBounds.contactMs] after their third crash. */
internal fun CheckedRecords.crashRetries(): List<SoakViolation> {
    fun contentOf(event: SoakEvent) = sendOf[event["request"]]?.get("crashing").orEmpty()
    val arrivals = events.filter { it.kind == SoakKind.ARRIVE && contentOf(it).isNotEmpty() }.groupBy(::contentOf)
    return events.filter { it.kind == SoakKind.KILLED && contentOf(it).isNotEmpty() }.groupBy(::contentOf)
        .mapNotNull { (content, crashes) ->
            val third = crashes.getOrNull(CRASHES_UNTIL_LIMIT - 1) ?: return@mapNotNull null
            val late = arrivals[content].orEmpty().filter {
                it.atNs > third.atNs + bounds.contactMs * NS_PER_MS && !wasDisturbed(entryOf(it), it.atNs, it.atNs)
            }
            if (late.size <= RETRIES_AFTER_LIMIT) return@mapNotNull null
            val evidence = "clause=crashes content=$content crashes=" +
                crashes.joinToString(",") { "${it["node"]}/${it["style"]}@${it.atNs.inS()}" } + " late_arrivals=" +
                late.joinToString(",") { "${it["request"]}@${it.atNs.inS()}/${it["target"]}" }
            SoakViolation(SoakRule.BUDGET, late.last()["request"], evidence)
        }
}
