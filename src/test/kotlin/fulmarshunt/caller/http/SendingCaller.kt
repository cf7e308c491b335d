/*
 * A caller over raw sockets that goes on sending while its server shuts down.
 */
package fulmarshunt.caller.http

import fulmarshunt.caller.relay.RawMessage
import fulmarshunt.caller.relay.readMessageOrNull
import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

private const val MAX_REQUESTS = 20_000

/** How a response says that its request did not run. */
internal const val NOT_RUN: String = "\"ran\":\"not_run\""

/** Sends a request for [path], and [body], which may be a part of the announced length. */
internal fun Socket.sendRequest(path: String, body: String = "", lengthBytes: Int = body.length, key: String = "k") {
    val head = "POST /v1/services/bookings/$path HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer test-key\r\n"
    val lines = "Idempotency-Key: $key\r\nContent-Length: $lengthBytes\r\n\r\n"
    getOutputStream().write("$head$lines$body".encodeToByteArray())
}

/** The ids of the requests of some callers, by what became of them. */
internal class SentRequests {
    val answered: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val refused: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Requests without a response or with another one than those that are allowed. */
    val lost: MutableCollection<String> = ConcurrentLinkedQueue()
}

/** Sends requests on connections that it keeps until their end is announced, and stops when no connection opens. */
internal class SendingCaller(
    private val name: String,
    private val requests: SentRequests,
    private val connect: () -> Socket,
    private val isAnswer: (id: String, RawMessage) -> Boolean,
) : Thread("caller-$name") {
    private var count = 0

    override fun run() {
        try {
            while (count < MAX_REQUESTS) connect().use { useConnection(it) }
        } catch (_: IOException) {
            // The server no longer listens.
        }
    }

    private fun useConnection(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        var isFirst = true
        while (true) {
            val id = "$name-${count++}"
            val startNanos = System.nanoTime()
            val isSent = runCatching { socket.sendRequest("x", id) }.isSuccess
            val response = if (isSent) input.readMessageOrNull() else null
            when {
                // A connection that is opened while the server stops listening is never read.
                response == null ->
                    if (!isFirst) requests.lost += "$id on a kept connection after ${msSince(startNanos)} ms"
                isAnswer(id, response) -> requests.answered += id
                NOT_RUN in response.body -> requests.refused += id
                else -> requests.lost += "$id: ${response.startLine} ${response.body}"
            }
            if (response == null || response.header("connection") == "close") return
            isFirst = false
        }
    }
}

private fun msSince(startNanos: Long): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
