/*
 * The HTTP server for callers. A request is cancelled when its caller closes the connection, even while nothing is
 * written: Ktor's CIO engine, since version 3.4, reports this to the request if the plugin below is installed. Requests
 * are counted until their response is written, so that a graceful shutdown can wait for them.
 */
package fulmarshunt.caller.http

import fulmarshunt.Address
import fulmarshunt.process.http.HttpServer
import fulmarshunt.process.http.httpServer
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update

/** Returns a server at [address] that counts its open requests in [openRequests]. */
public fun callerServer(address: Address, openRequests: MutableStateFlow<Int>, routes: Route.() -> Unit): HttpServer =
    httpServer(address) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        intercept(ApplicationCallPipeline.Setup) {
            openRequests.update { it + 1 }
            try {
                proceed()
            } finally {
                openRequests.update { it - 1 }
            }
        }
        routing { routes() }
    }
