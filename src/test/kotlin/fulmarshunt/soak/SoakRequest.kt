/*
 * The requests that the clients of the fault soak send. Bodies come with a length or in chunks, in one write or in
 * many, some with pauses between them and some longer than the buffers on the way.
 */
package fulmarshunt.soak

import kotlin.random.Random

internal const val STREAM = "stream"
internal const val SAFE = "safe"
internal const val SAFE_ATTEMPTS = 3
internal const val UNSAFE_ATTEMPTS = 2
private const val LONG_STREAM_ONE_IN = 2
private const val LARGE_BODY_ONE_IN = 4
private const val MAX_SHORT_PAUSE_MS = 40L
private const val MIN_LONG_PAUSE_MS = 200L
private const val MAX_LONG_PAUSE_MS = 1_500L

/** How the length of a body is told. */
internal enum class SoakFraming { NONE, LENGTH, CHUNKED }

/** What is sent in one write, after a pause. */
internal class SoakPart(val text: String, val pauseMs: Long)

/** One request; [parts] is all that is sent, in order. */
internal class SoakRequest(
    val id: String,
    val kind: String,
    val framing: SoakFraming,
    val eventCount: Int,
    val body: String,
    val parts: List<SoakPart>,
    val deadlineMs: Int,
) {
    val isStream: Boolean get() = kind == STREAM

    val maxAttempts: Int get() = if (kind == SAFE) SAFE_ATTEMPTS else UNSAFE_ATTEMPTS

    val service: String get() = if (isStream) ENGINE else PLAIN

    /** Returns the body of the complete response. */
    fun expectedBody(): String =
        if (isStream) (1..eventCount).joinToString("") { "id: $it\ndata: $id\n\n" } else "body of $id"
}

/** Creates a request of [kind] with a body and pauses drawn from [random]. */
internal fun soakRequest(id: String, kind: String, random: Random, site: SoakSite = SoakSite()): SoakRequest {
    val isStream = kind == STREAM
    val eventCount = when {
        !isStream -> 0
        random.nextInt(LONG_STREAM_ONE_IN) == 0 -> site.longStreamEvents
        else -> site.shortStreamEvents
    }
    val deadlineMs = if (isStream) site.streamLimitMs else site.plainLimitMs
    val head = "POST /$kind/x HTTP/1.1\r\nHost: site.example\r\nFulmarshunt-Request-Id: $id\r\n" +
        "Fulmarshunt-Deadline-Ms: $deadlineMs\r\n" + if (!isStream) {
            ""
        } else {
            "Fulmarshunt-Model: m\r\nFulmarshunt-Token-Counts: 400,${eventCount * TOKENS_PER_EVENT}\r\n" +
                "Fulmarshunt-Prefix-Hash: ${id.hashCode().toUInt().toString(HEX)}:400\r\n"
        }
    return when (random.nextInt(8)) {
        0, 1 -> {
            SoakRequest(
                id,
                kind,
                SoakFraming.NONE,
                eventCount,
                "",
                listOf(SoakPart("${head}Content-Length: 0\r\n\r\n", 0)),
                deadlineMs,
            )
        }
        2 -> {
            val body = pieces(random).joinToString("")
            val text = "${head}Content-Length: ${body.length}\r\n\r\n$body"
            SoakRequest(id, kind, SoakFraming.LENGTH, eventCount, body, listOf(SoakPart(text, 0)), deadlineMs)
        }
        else -> {
            val pieces = pieces(random)
            val parts = chunkedParts("${head}Transfer-Encoding: chunked\r\n\r\n", pieces, random)
            SoakRequest(id, kind, SoakFraming.CHUNKED, eventCount, pieces.joinToString(""), parts, deadlineMs)
        }
    }
}

private fun pieces(random: Random): List<String> = if (random.nextInt(LARGE_BODY_ONE_IN) == 0) {
    List(random.nextInt(5, 9)) { text(random, random.nextInt(14_000, 32_000)) }
} else {
    List(random.nextInt(1, 5)) { text(random, random.nextInt(1, 600)) }
}

private fun text(random: Random, length: Int): String {
    val word = random.nextInt().toUInt().toString(HEX).padStart(HEX, 'x')
    return word.repeat(length / HEX + 1).take(length)
}

/** Sends the head and each chunk in a write of its own; the end comes with the last chunk or by itself. */
private fun chunkedParts(head: String, pieces: List<String>, random: Random): List<SoakPart> {
    val chunks = pieces.map { "${it.length.toString(HEX)}\r\n$it\r\n" }
    val end = "0\r\n\r\n"
    val texts = listOf(head) + if (random.nextBoolean()) chunks + end else chunks.dropLast(1) + (chunks.last() + end)
    val style = random.nextInt(5)
    val longPauseAt = random.nextInt(1, texts.size)
    return texts.mapIndexed { index, text ->
        val pauseMs = when {
            index == 0 -> 0L
            style == 0 -> random.nextLong(MAX_SHORT_PAUSE_MS)
            style == 1 && index == longPauseAt -> random.nextLong(MIN_LONG_PAUSE_MS, MAX_LONG_PAUSE_MS)
            else -> 0L
        }
        SoakPart(text, pauseMs)
    }
}

private const val HEX = 16
