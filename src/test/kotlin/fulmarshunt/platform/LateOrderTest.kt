/*
 * Orders to drain or restore a failure domain that a control VM reads or commits late.
 */
package fulmarshunt.platform

import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.entry.watch.WatchService
import fulmarshunt.entry.watch.WatchServiceDependencies
import fulmarshunt.http.HttpCall
import fulmarshunt.http.Traffic
import fulmarshunt.http.serveBuffered
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.ServingStateAccess
import fulmarshunt.operator.serving.ServingStateMachine
import fulmarshunt.process.ByteBudget
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.TargetDirectory
import fulmarshunt.voter.Leadership
import fulmarshunt.voter.LogAccess
import fulmarshunt.wallClock
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetSocketAddress
import java.net.Socket

private const val OK = 200
private const val UNAVAILABLE = 503
private const val SOCKET_TIMEOUT_MS = 20_000

/** Longer than an operator waits for a response. */
private const val PAUSE_MS = 1_500L

@Timeout(60)
class LateOrderTest {
    private val own = Address("127.0.0.1", 1)
    private val zone = FailureDomainId("z")
    private val control = startControlThread()
    private val links = linksOf("a", "secret-of-the-test", LinkHandlers())
    private val machine = ServingStateMachine()
    private var index = 0L

    /** Completes when the proposal with its number may be committed. */
    private val held = mutableMapOf<Int, CompletableDeferred<Unit>>()
    private val proposed = MutableStateFlow(0)
    private val log = LogAccess(
        propose = { command, _ ->
            proposed.value += 1
            held[proposed.value]?.await()
            control.run {
                index += 1
                machine.asReplicated.apply(LogIndex(index), command)
            }.right()
        },
        confirmLeadership = { true },
        holdsQuorum = { true },
        leadership = MutableStateFlow(Leadership(Term(1), true, own)),
        addVoter = { _, _, _, _ -> Unit.right() },
        removeVoter = { _, _ -> "the voter does not exist".left() },
        status = { emptyList() },
    )
    private val watches = WatchService(
        WatchServiceDependencies(
            VmId("a"),
            machine.snapshots,
            { listOf(own) },
            own,
            { true },
            TargetDirectory(1_000),
        ),
        control,
        monotonicClock(),
    )
    private val access = ServingStateAccess(log, machine, monotonicClock(), own)
    private val api = ControlApi(access, watches, links, SimpleMeterRegistry(), wallClock())

    @AfterEach
    fun close() {
        links.close()
        control.close()
    }

    private fun path(order: String, domain: String = zone.value) = "/api/evacuation/$domain/$order"

    private suspend fun order(order: String, domain: String = zone.value) =
        api.handle(HttpCall("POST", path(order, domain), ByteArray(0))).status

    private fun drained() = machine.snapshots.value.drained

    /** Guards against an order that is executed after its caller has given it up and left. */
    @Test
    fun `an order whose caller has left is not executed`(): Unit = runBlocking {
        expectThat(order("start")).isEqualTo(OK)
        val call = HttpCall("POST", path("end"), ByteArray(0), isCallerConnected = { false })
        expectThat(api.handle(call).status).isEqualTo(UNAVAILABLE)
        expectThat(drained()).isEqualTo(setOf(zone))
    }

    /** Guards against a delayed proposal that undoes a newer order, which was acknowledged. */
    @Test
    fun `an order that is committed after a newer one changes nothing`(): Unit = runBlocking {
        expectThat(order("start")).isEqualTo(OK)
        val release = CompletableDeferred<Unit>().also { held[2] = it }
        coroutineScope {
            val late = async { order("end") }
            proposed.first { it >= 2 }
            expectThat(order("end")).isEqualTo(OK)
            expectThat(order("start")).isEqualTo(OK)
            release.complete(Unit)
            expectThat(late.await()).isEqualTo(UNAVAILABLE)
        }
        expectThat(drained()).isEqualTo(setOf(zone))
    }

    /** Guards against a delayed proposal that undoes a newer order that found the domain as ordered. */
    @Test
    fun `an order that is committed after a newer one without a change changes nothing`(): Unit = runBlocking {
        expectThat(order("start")).isEqualTo(OK)
        val release = CompletableDeferred<Unit>().also { held[2] = it }
        coroutineScope {
            val late = async { order("end") }
            proposed.first { it >= 2 }
            expectThat(order("start")).isEqualTo(OK)
            release.complete(Unit)
            expectThat(late.await()).isEqualTo(UNAVAILABLE)
        }
        expectThat(drained()).isEqualTo(setOf(zone))
    }

    /** Guards against the refusal of an order whose first copy took effect, and of orders for another domain. */
    @Test
    fun `copies of an order and orders for other domains are acknowledged`(): Unit = runBlocking {
        val release = CompletableDeferred<Unit>().also { held[1] = it }
        coroutineScope {
            val first = async { order("start") }
            proposed.first { it >= 1 }
            expectThat(order("start", "other")).isEqualTo(OK)
            expectThat(order("start")).isEqualTo(OK)
            release.complete(Unit)
            expectThat(first.await()).isEqualTo(OK)
        }
        expectThat(order("start")).isEqualTo(OK)
        expectThat(drained()).isEqualTo(setOf(zone, FailureDomainId("other")))
    }

    /** Guards against an order that is executed seconds after it arrived, while its caller leaves the socket open. */
    @Test
    fun `an order that arrived while the process did not run is not executed`() {
        Traffic().use { traffic ->
            val channel = runBlocking {
                traffic.listen(Address("127.0.0.1", 0), { 8_192 }) { connection ->
                    connection.serveBuffered(1_000, ByteBudget(1_000), respond = api::handle)
                }.fold({ error(it) }, { it })
            }
            val port = (channel.localAddress() as InetSocketAddress).port
            fun send(): String? = Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = SOCKET_TIMEOUT_MS
                val text = "POST ${path("start")} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                socket.getOutputStream().write(text.encodeToByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            val isPaused = CompletableDeferred<Unit>()
            traffic.scope.launch {
                isPaused.complete(Unit)
                Thread.sleep(PAUSE_MS)
            }
            runBlocking { isPaused.await() }
            expectThat(send()).isNotNull().contains(" 503 ")
            expectThat(drained()).isEqualTo(emptySet())
            Thread.sleep(PAUSE_MS)
            expectThat(send()).isNotNull().contains(" 200 ")
            expectThat(drained()).isEqualTo(setOf(zone))
        }
    }

    /** Guards against a target that is taken for gone because its former process had said so under the same id. */
    @Test
    fun `a late deregistration without a start time is not accepted`() {
        fun deregister(ageMs: Long, body: String): Int = runBlocking {
            val nowMs = monotonicClock().nowMs()
            val call = HttpCall("POST", "/api/instances/i/deregister", body.encodeToByteArray(), nowMs, nowMs - ageMs)
            api.handle(call).status
        }
        expectThat(deregister(PAUSE_MS, "")).isEqualTo(UNAVAILABLE)
        expectThat(deregister(PAUSE_MS, """{"born":1}""")).isEqualTo(OK)
        expectThat(deregister(0, "")).isEqualTo(OK)
        val left = HttpCall("POST", "/api/instances/i/deregister", ByteArray(0), isCallerConnected = { false })
        expectThat(runBlocking { api.handle(left).status }).isEqualTo(UNAVAILABLE)
    }
}
