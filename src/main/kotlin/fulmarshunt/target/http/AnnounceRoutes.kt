/*
 * The interface at which targets announce themselves.
 */
package fulmarshunt.target.http

import fulmarshunt.target.AcceptAnnouncement
import fulmarshunt.target.AnnouncementResult
import fulmarshunt.target.TargetAnnouncement
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException

/** The greatest announcement; its cache events dominate. */
private const val MAX_ANNOUNCEMENT_BYTES = 1_048_576L

/** Adds the interface for announcements, which are passed to [accept]. */
public fun Route.announceRoutes(accept: AcceptAnnouncement) {
    post("/v1/targets/announce") {
        val bytes = call.receiveChannel().readRemaining(MAX_ANNOUNCEMENT_BYTES + 1).readByteArray()
        if (bytes.size > MAX_ANNOUNCEMENT_BYTES) {
            return@post call.respondText("body: is too large\n", status = HttpStatusCode.PayloadTooLarge)
        }
        val announcement =
            try {
                engineJson.decodeFromString(TargetAnnouncement.serializer(), bytes.decodeToString())
            } catch (e: SerializationException) {
                val problem = e.message.orEmpty().lineSequence().first()
                return@post call.respondText("announcement: $problem\n", status = HttpStatusCode.BadRequest)
            }
        when (val result = accept(announcement)) {
            is AnnouncementResult.Accepted -> call.respond(HttpStatusCode.NoContent)
            is AnnouncementResult.Invalid ->
                call.respondText("${result.problem}\n", status = HttpStatusCode.BadRequest)
            is AnnouncementResult.NoOwner ->
                call.respondText("${result.reason}\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
}
