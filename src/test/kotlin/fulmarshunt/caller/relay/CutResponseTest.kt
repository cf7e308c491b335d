/*
 * Targets that stop in the middle of a response and close the connection: in its head, between head and body, and at
 * each kind of place in the body. What the caller gets must not look complete.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** A pause within a response, so that its parts arrive in separate reads. */
private const val PAUSE_MS = 50L

/** A head without its last line; each part of it ends where a target may stop. */
private val headParts = listOf(
    "HTTP/1.1 ",
    "200",
    " OK",
    "\r\n",
    "id",
    ": r1\r\n",
    "stamp: 1\r\n",
    "content-type: text/plain\r\ncon",
)

private const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\ntransfer-encoding: chunked\r\n\r\n"
private const val EVENT = "id: 1\ndata: token 1\n\n"
private val eventChunk = "${EVENT.length.toString(16)}\r\n$EVENT\r\n"

/** Responses that stop after their head, from a target that closes the connection in order. */
private val cutBodies = listOf(
    "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\ncontent-length: 20\r\n\r\n",
    "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\ncontent-length: 20\r\n\r\nten bytes.",
    CHUNKED_HEAD,
    CHUNKED_HEAD + "1",
    CHUNKED_HEAD + eventChunk.dropLast(6),
    CHUNKED_HEAD + eventChunk,
    CHUNKED_HEAD + eventChunk + "0",
    CHUNKED_HEAD + eventChunk + "0\r\n",
)

class CutResponseTest {
    /** Returns a target that writes [parts] in response to a request and closes; with [keptFirst], to the second. */
    private fun cutting(parts: List<String>, keptFirst: Boolean) = ScriptedTarget("a") {
        if (keptFirst && number == 1) {
            respond("200 OK", "first")
        } else {
            parts.forEachIndexed { index, part ->
                if (index > 0) Thread.sleep(PAUSE_MS)
                write(part)
            }
            socket.close()
        }
    }

    private fun responseTo(path: String, parts: List<String>, keptFirst: Boolean): RawMessage? =
        cutting(parts, keptFirst).use { target ->
            RelayFixture(target).use { relay ->
                if (keptFirst) {
                    expectThat(relay.call("/once/first")?.body).isEqualTo("first")
                    relay.awaitIdle()
                }
                relay.call(path, "", "tokens: 10").also {
                    expectThat(target.requests).hasSize(if (keptFirst) 2 else 1)
                }
            }
        }

    /** Guards against a 200 with an empty or short body that is framed as complete (MIXED, ORDER). */
    @Test
    fun `a response that stops in its head is a failure`() {
        for (count in 1..headParts.size) {
            val head = headParts.take(count)
            for (path in listOf("/once/x", "/stream/x")) {
                for (keptFirst in listOf(false, true)) {
                    val response = responseTo(path, listOf(head.joinToString("")), keptFirst)
                    expectThat(
                        response?.startLine,
                    ).describedAs("$path kept=$keptFirst $head").isNotNull().contains(" 502 ")
                }
            }
            val slow = responseTo("/stream/x", head, keptFirst = false)
            expectThat(slow?.startLine).describedAs("slow $head").isNotNull().contains(" 502 ")
        }
    }

    /** Guards against the end of a connection that is taken for the end of a response with a length or chunks. */
    @Test
    fun `a response that stops in its body is never complete`() {
        for (text in cutBodies) {
            for (keptFirst in listOf(false, true)) {
                val plain = responseTo("/once/x", listOf(text), keptFirst)
                expectThat(plain?.startLine).describedAs("kept=$keptFirst $text").isNotNull().contains(" 502 ")
            }
            val head = text.substringBefore("\r\n\r\n") + "\r\n\r\n"
            val stream = responseTo("/stream/x", listOf(head, text.removePrefix(head)), keptFirst = false)
            if (eventChunk in text) {
                expectThat(stream?.body).describedAs("stream $text").isNotNull().endsWith(TRUNCATED)
            } else {
                expectThat(stream?.startLine).describedAs("stream $text").isNotNull().contains(" 502 ")
            }
        }
    }
}
