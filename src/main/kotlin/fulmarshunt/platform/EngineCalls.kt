/*
 * Calls to engines about the memory of runs.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.RequestId
import fulmarshunt.caller.relay.MoveFailure
import fulmarshunt.caller.relay.Moved
import fulmarshunt.http.HttpReply
import fulmarshunt.http.callBuffered
import fulmarshunt.target.fleet.TargetConnections
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.LogManager

private const val MOVE_PATH = "/api/kv-move"

/** Moves queue behind each other on the engines' links. */
private const val MOVE_LIMIT_MS = 3_000L
private const val HTTP_OK = 200

@Serializable
private class WireMove(
    /** The id of the request that runs. */
    val id: String,
    /** The address of the engine that gets the memory. */
    val target: String,
    /** Whether the run stops before it is copied. */
    val last: Boolean,
)

@Serializable
private class WireMoved(
    val handle: String? = null,
    /** The events that the run has made. */
    @SerialName("made") val events: Long? = null,
)

/** Calls engines. Confined to the traffic thread. */
internal class EngineCalls(private val connections: TargetConnections) {
    private val log = LogManager.getLogger(EngineCalls::class.java)

    /** Copies the run of [request] at [source] to [destination]; the run stops if [isLast]. */
    suspend fun migrate(
        source: Address,
        request: RequestId,
        destination: Address,
        isLast: Boolean,
    ): Either<MoveFailure, Moved> {
        val body = platformJson.encodeToString(WireMove.serializer(), WireMove(request.value, "$destination", isLast))
        val connection = connections.open(source, mayBeStale = false).getOrElse { return MoveFailure(it, null).left() }
        val reply = connection.callBuffered(
            "POST",
            MOVE_PATH,
            "$source",
            body.encodeToByteArray(),
            MOVE_LIMIT_MS,
        ).getOrElse {
            connection.close()
            return MoveFailure(it, null).left()
        }
        if (reply.keepsOpen) connections.release(source, connection) else connection.close()
        return read(reply)
    }

    private fun read(reply: HttpReply): Either<MoveFailure, Moved> {
        val moved = try {
            platformJson.decodeFromString(WireMoved.serializer(), reply.body.decodeToString())
        } catch (e: SerializationException) {
            log.warn("move answer unreadable status={} problem={}", reply.status, e.message)
            WireMoved()
        }
        val handle = moved.handle
        return if (reply.status == HTTP_OK && handle != null) {
            Moved(handle, moved.events).right()
        } else {
            MoveFailure("status ${reply.status}", handle).left()
        }
    }
}
