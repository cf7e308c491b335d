/*
 * What one read from a target may bring into memory.
 */
package fulmarshunt.http

import fulmarshunt.Address
import fulmarshunt.caller.relay.ScriptedTarget
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

private const val DIAL_TIMEOUT_MS = 2_000

/** One read takes at most 65,536 bytes, and the smallest chunk has 6. */
private const val MAX_UNREAD_MESSAGES = 11_000

private const val CHUNKS_PER_WRITE = 2_000
private const val WRITES = 100

class TrafficTest {
    /** Reads one response and returns the largest number of messages that were in memory, and that of all. */
    private suspend fun HttpConnection.readResponse(): Pair<Int, Int> {
        var most = 0
        var all = 0
        var isLast = false
        while (!isLast) {
            var unread = 0
            do {
                val message = checkNotNull(receiveOrNull())
                isLast = message is LastHttpContent
                ReferenceCountUtil.release(message)
                unread += 1
            } while (!isInboxEmpty)
            most = maxOf(most, unread)
            all += unread
        }
        return most to all
    }

    /** Guards against a target whose tiny chunks fill the memory before the first of them is forwarded. */
    @Test
    fun `one read brings a bounded number of messages`() {
        val target = ScriptedTarget("a") {
            startStream()
            repeat(WRITES) { write("1\r\nx\r\n".repeat(CHUNKS_PER_WRITE)) }
            endStream()
        }
        target.use {
            Traffic().use { traffic ->
                val (most, all) = runBlocking {
                    withContext(traffic.scope.coroutineContext) {
                        val connection = traffic.dial(Address("127.0.0.1", target.port), DIAL_TIMEOUT_MS)
                            .fold({ error(it) }, { it })
                        connection.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"))
                        connection.readResponse().also { connection.close() }
                    }
                }
                expectThat(all).isGreaterThan(WRITES * CHUNKS_PER_WRITE)
                expectThat(most).isLessThan(MAX_UNREAD_MESSAGES)
            }
        }
    }
}
