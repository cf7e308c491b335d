/*
 * The interface at which targets announce themselves.
 */
package fulmarshunt.target.http

import fulmarshunt.target.TargetAnnouncement
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException

/** Takes an announcement. */
public typealias AcceptAnnouncement = suspend (TargetAnnouncement) -> Unit

/** Adds the interface for announcements, which are passed to [accept]. */
public fun Route.announceRoutes(accept: AcceptAnnouncement) {
    post("/v1/targets/announce") {
        val announcement =
            try {
                engineJson.decodeFromString(TargetAnnouncement.serializer(), call.receiveText())
            } catch (e: SerializationException) {
                return@post call.respondText(
                    "announcement: ${e.message.orEmpty().lineSequence().first()}",
                    status = HttpStatusCode.BadRequest,
                )
            }
        accept(announcement)
        call.respond(HttpStatusCode.NoContent)
    }
}
