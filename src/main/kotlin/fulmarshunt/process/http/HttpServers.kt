/*
 * HTTP servers that return a failure to listen as a value. The accept job of the engine would also report a failed bind
 * as an uncaught exception, which would make the process end as with a broken invariant.
 */
package fulmarshunt.process.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.net.SocketException

/** An HTTP server, started by [startAt]. */
public typealias HttpServer = EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>

/** The maximum depth to which causes of an exception are followed, because they may form a cycle. */
private const val MAX_CAUSES = 10

/** Returns a server for [address] that serves [module] once it is started. */
public fun httpServer(address: Address, module: Application.() -> Unit): HttpServer =
    CoroutineScope(SupervisorJob() + bindFailures)
        .embeddedServer(CIO, port = address.port, host = address.host, module = module)

/**
 * Starts the server of [address].
 *
 * @return the address with the port that the server listens at, or why it cannot listen.
 */
public suspend fun HttpServer.startAt(address: Address): Either<String, Address> = try {
    startSuspend(wait = false)
    Address(address.host, engine.resolvedConnectors().first().port).right()
} catch (e: CancellationException) {
    // The engine reports a failed bind as the cancellation of its own job.
    currentCoroutineContext().ensureActive()
    "cannot listen at $address: ${rootMessage(e)}".left()
} catch (e: Exception) {
    "cannot listen at $address: ${rootMessage(e)}".left()
}

/** Ignores failures to bind, which [startAt] returns, and passes all others to the uncaught exception handler. */
private val bindFailures = CoroutineExceptionHandler { _, e ->
    val thread = Thread.currentThread()
    if (e !is SocketException) thread.uncaughtExceptionHandler.uncaughtException(thread, e)
}

private fun rootMessage(e: Throwable): String? = generateSequence(e) { it.cause }.take(MAX_CAUSES).last().message
