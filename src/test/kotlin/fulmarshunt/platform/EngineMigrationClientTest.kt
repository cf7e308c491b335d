/*
 * Migration of runs between engines that close connections or send unexpected responses.
 */
package fulmarshunt.platform

import fulmarshunt.Address
import fulmarshunt.RequestId
import fulmarshunt.caller.relay.MoveFailure
import fulmarshunt.caller.relay.Moved
import fulmarshunt.caller.relay.ScriptedTarget
import fulmarshunt.http.Traffic
import fulmarshunt.monotonicClock
import fulmarshunt.target.fleet.TargetConnections
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val WAIT_MS = 2_000L

/** The number of bytes after which an engine ends its endless reply by itself. */
private const val MAX_WRITTEN_BYTES = 64_000_000L

/** An engine may have written this much when its connection is closed; most of it is in the buffers of the sockets. */
private const val MAX_ACCEPTED_BYTES = 24_000_000L
private const val BLOCK_BYTES = 16_384

class EngineMigrationClientTest {
    private val destination = Address("127.0.0.1", 9)

    private fun migrate(target: ScriptedTarget, times: Int) = Traffic().use { traffic ->
        val client = EngineMigrationClient(TargetConnections(traffic, monotonicClock()))
        runBlocking {
            withContext(traffic.scope.coroutineContext) {
                (1..times).map {
                    client.migrate(Address("127.0.0.1", target.port), RequestId("r"), destination, it > 1)
                }
            }
        }
    }

    private fun ScriptedTarget.RequestScope.reply(status: String, body: String, vararg headers: String) = write(
        "HTTP/1.1 $status\r\n" + headers.joinToString("") { "$it\r\n" } + "Content-Length: ${body.length}\r\n\r\n$body",
    )

    /** Guards against a migration that fails because the second call reuses a connection that the engine closes. */
    @Test
    fun `a connection that the engine closes is not reused`() {
        val target = ScriptedTarget("a") {
            reply("200 OK", """{"handle":"h$number","made":$number}""", "Connection: close")
            socket.close()
        }
        target.use {
            val results = migrate(target, 2).map { it.getOrNull() }
            expectThat(results).isEqualTo(listOf(Moved("h1", 1), Moved("h2", 2)))
            expectThat(target.requests.last().body).contains("\"last\":true")
        }
    }

    /** Guards against abandoning a stopped run that could resume at its source. */
    @Test
    fun `a refused migration keeps its handle`() {
        ScriptedTarget("a") { reply("503 Service Unavailable", """{"handle":"h"}""") }.use { target ->
            expectThat(migrate(target, 1).single().leftOrNull()).isEqualTo(MoveFailure.Stopped("h"))
        }
    }

    /** Guards against a malformed response that aborts the relay. */
    @Test
    fun `a malformed response is a failure`() {
        ScriptedTarget("a") { reply("200 OK", "not JSON") }.use { target ->
            expectThat(migrate(target, 1).single().leftOrNull()).isEqualTo(MoveFailure.Rejected(200))
        }
    }

    /** Guards against a run that is taken for ended, or for running, because refusals are not told apart. */
    @Test
    fun `the reasons of failures are told apart`() {
        for ((status, expected) in listOf(
            "404 Not Found" to MoveFailure.NoSuchRun,
            "409 Conflict" to MoveFailure.InProgress,
            "503 Service Unavailable" to MoveFailure.Rejected(503),
        )) {
            ScriptedTarget("a") { reply(status, "{}") }.use { target ->
                expectThat(migrate(target, 1).single().leftOrNull()).isEqualTo(expected)
            }
        }
        ScriptedTarget("a") { socket.close() }.use { target ->
            expectThat(migrate(target, 1).single().leftOrNull()).isA<MoveFailure.NoResponse>()
        }
        val gone = ScriptedTarget("a") {}.also { it.close() }
        expectThat(migrate(gone, 1).single().leftOrNull()).isA<MoveFailure.Unreachable>()
    }

    /** Guards against an earlier reply, which names no run, that is taken for the reply to the next call. */
    @Test
    fun `a reply that is written twice is not the reply to the next call`() {
        val answered = ConcurrentHashMap<Socket, String>()
        val target = ScriptedTarget("a") {
            answered[socket]?.let { reply("200 OK", it) }
            val body = """{"handle":"h$number","made":$number}"""
            answered[socket] = body
            reply("200 OK", body)
        }
        target.use {
            expectThat(migrate(target, 3).map { it.getOrNull() })
                .isEqualTo(listOf(Moved("h1", 1), Moved("h2", 2), Moved("h3", 3)))
        }
    }

    /** Guards against a connection that stays open after the run of its call has ended. */
    @Test
    fun `a cancelled call closes its connection`() {
        val hasArrived = CountDownLatch(1)
        val hasEnded = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            hasArrived.countDown()
            runCatching { socket.getInputStream().read() }
            hasEnded.countDown()
        }
        target.use {
            Traffic().use { traffic ->
                val client = EngineMigrationClient(TargetConnections(traffic, monotonicClock()))
                val call = traffic.scope.launch {
                    client.migrate(Address("127.0.0.1", target.port), RequestId("r"), destination, false)
                }
                expectThat(hasArrived.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue()
                call.cancel()
                expectThat(hasEnded.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue()
            }
        }
    }

    /** Guards against a reply without end that fills the memory. */
    @Test
    fun `an endless reply is a failure`() {
        val written = AtomicLong()
        val target = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\n\r\n{\"handle\":\"")
            val block = ByteArray(BLOCK_BYTES) { 'x'.code.toByte() }
            while (written.get() < MAX_WRITTEN_BYTES) {
                socket.getOutputStream().write(block)
                written.addAndGet(block.size.toLong())
            }
        }
        target.use {
            expectThat(migrate(target, 1).single().leftOrNull()).isNotNull()
            expectThat(written.get()).isLessThan(MAX_ACCEPTED_BYTES)
        }
    }
}
