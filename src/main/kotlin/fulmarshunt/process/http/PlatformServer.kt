/*
 * The HTTP server for the platform: the load balancer polls /readyz, the host polls /livez, and the monitoring system
 * scrapes /metrics.
 */
package fulmarshunt.process.http

import arrow.core.Either
import fulmarshunt.Address
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Returns the reason why the process is not ready for traffic, or null if it is ready. */
public typealias Readiness = () -> String?

/** The time that open responses have to finish when the server stops. */
private const val STOP_GRACE_MS = 100L

/** The content type of the Prometheus text format that the registry writes by default. */
private val prometheusText = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")

/** A running platform server. */
public class PlatformServer internal constructor(
    private val server: HttpServer,
    /** The address that the server listens at. */
    public val address: Address,
) : AutoCloseable {
    override fun close(): Unit = server.stop(STOP_GRACE_MS, STOP_GRACE_MS)
}

/**
 * Starts the platform server at [address].
 *
 * @return the server, or why it cannot listen.
 */
public suspend fun startPlatformServer(
    address: Address,
    metrics: PrometheusMeterRegistry,
    readiness: Readiness,
): Either<String, PlatformServer> {
    val server =
        httpServer(address) {
            routing {
                get("/livez") { call.respondText("live\n") }
                get("/readyz") {
                    val reason = readiness()
                    if (reason == null) {
                        call.respondText("ready\n")
                    } else {
                        call.respondText("not ready: $reason\n", status = HttpStatusCode.ServiceUnavailable)
                    }
                }
                get("/metrics") { call.respondText(metrics.scrape(), prometheusText) }
            }
        }
    return server.startAt(address).map { PlatformServer(server, it) }
}
