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

private const val MIGRATION_PATH = "/api/kv-move"

/** Moves queue behind each other on the engines' links. */
private const val MIGRATION_TIMEOUT_MS = 3_000L
private const val HTTP_OK = 200

@Serializable
private class WireMigration(
    /** The id of the request that runs. */
    val id: String,
    /** The address of the engine that gets the memory. */
    val target: String,
    /** Whether the run stops before it is copied. */
    val last: Boolean,
)

@Serializable
private class WireMigrationResult(
    val handle: String? = null,
    /** The events that the run has made. */
    @SerialName("made") val events: Long? = null,
)

/** Calls engines. Confined to the traffic thread. */
internal class EngineMigrationClient(private val connections: TargetConnections) {
    private val log = LogManager.getLogger(EngineMigrationClient::class.java)

    /** Copies the run of [request] at [source] to [destination]; the run stops if [isLast]. */
    suspend fun migrate(
        source: Address,
        request: RequestId,
        destination: Address,
        isLast: Boolean,
    ): Either<MoveFailure, Moved> {
        val body = platformJson.encodeToString(
            WireMigration.serializer(),
            WireMigration(request.value, "$destination", isLast),
        )
        val pipe = connections.open(source, mayBeStale = false).getOrElse { return MoveFailure(it, null).left() }
        val reply = pipe.callBuffered(
            "POST",
            MIGRATION_PATH,
            "$source",
            body.encodeToByteArray(),
            MIGRATION_TIMEOUT_MS,
        ).getOrElse {
            pipe.close()
            return MoveFailure(it, null).left()
        }
        if (reply.keepsOpen) connections.release(source, pipe) else pipe.close()
        return read(reply)
    }

    private fun read(reply: HttpReply): Either<MoveFailure, Moved> {
        val moved = try {
            platformJson.decodeFromString(WireMigrationResult.serializer(), reply.body.decodeToString())
        } catch (e: SerializationException) {
            log.warn("move answer unreadable status={} problem={}", reply.status, e.message)
            WireMigrationResult()
        }
        val handle = moved.handle
        return if (reply.status == HTTP_OK && handle != null) {
            Moved(handle, moved.events).right()
        } else {
            MoveFailure("status ${reply.status}", handle).left()
        }
    }
}
