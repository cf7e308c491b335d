/*
 * The server for callers with the service for plain calls behind it; tests write the responses of its target.
 */
package fulmarshunt.caller.http

import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.PoolId
import fulmarshunt.ServiceId
import fulmarshunt.VmId
import fulmarshunt.caller.Admissions
import fulmarshunt.caller.ClaimCall
import fulmarshunt.caller.ClaimRecorded
import fulmarshunt.caller.Claimed
import fulmarshunt.caller.GracefulStop
import fulmarshunt.caller.PlainServiceDependencies
import fulmarshunt.caller.RecordClaim
import fulmarshunt.caller.callerGate
import fulmarshunt.caller.plainService
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.granted
import fulmarshunt.monotonicClock
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.NonRepeatableRule
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.process.startControlThread
import fulmarshunt.target.PlainCall
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseHead
import fulmarshunt.target.PlainResponseReceiver
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

private const val CAPACITY = 1_000
private const val SOCKET_TIMEOUT_MS = 10_000
private val service = ServiceId("bookings")
private val account = ClientAccount(ClientAccountId("labs"), "", maxRequestsPerSecond = 1e6)

/** A server whose calls wait for a placement in [place] and are served by [serve]; `/once` must run at most once. */
internal class CallerServerFixture(
    private val place: suspend () -> Unit = {},
    private val serve: suspend (PlainCall, PlainResponseReceiver) -> PlainOutcome,
) : AutoCloseable {
    private val control = startControlThread()
    private val clock = monotonicClock()
    private val state = SharedState(
        configuration = Configuration(
            accounts = mapOf(account.id to account),
            services = mapOf(
                service to Service(service, ServiceKind.PLAIN, listOf(NonRepeatableRule("*", "/once"))),
            ),
        ),
    )
    val gracefulStop = GracefulStop()

    /** The claims that calls have recorded, finished or withdrawn. */
    val claims: MutableList<ClaimCall> = CopyOnWriteArrayList()
    val server: CallerServer = runBlocking {
        startCallerServer(Address("127.0.0.1", 0), gracefulStop) {
            serviceRoutes({ account.id }, plainService(plain()))
        }
    }.getOrNull()!!

    private fun plain() = PlainServiceDependencies(
        vm = VmId("entry-1"),
        clock = clock,
        state = { state },
        gate = callerGate(control, clock, { state }, CAPACITY),
        admissions = Admissions(
            admit = { request ->
                place()
                PlacedGrant(PoolId("suva/0"), request, granted(), clock.nowMs()).right()
            },
            use = { null },
            progress = { _, _, _, _ -> },
            end = { _, _, _ -> },
        ),
        send = { _, call, receiver -> serve(call, receiver) },
        claims = { call ->
            claims += call
            if (call is RecordClaim) Claimed else ClaimRecorded
        },
        traffic = CoroutineScope(Dispatchers.Default),
        givenUp = gracefulStop.givenUp,
    )

    /** Opens a connection of a caller; a small buffer makes a slow reader delay its writer. */
    fun connect(receiveBufferBytes: Int? = null): Socket = Socket().also { socket ->
        receiveBufferBytes?.let { socket.receiveBufferSize = it }
        socket.connect(InetSocketAddress("127.0.0.1", server.address.port))
        socket.soTimeout = SOCKET_TIMEOUT_MS
    }

    override fun close() {
        runBlocking { server.stop() }
        control.close()
    }
}

/** Passes a complete response with [body] to the receiver. */
internal suspend fun PlainResponseReceiver.respond(body: String): PlainOutcome {
    onHead(PlainResponseHead(200, "text/plain"))
    onBytes(body.encodeToByteArray())
    return PlainOutcome.Completed
}
