/*
 * The calls to engines that migrate runs.
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

/** The time limit for a migration, which may wait for other migrations on the links of the engines. */
private const val MIGRATION_TIMEOUT_MS = 3_000L
private const val HTTP_OK = 200
private const val HTTP_NOT_FOUND = 404
private const val HTTP_CONFLICT = 409

@Serializable
private class WireMigration(
    /** The id of the running request. */
    val id: String,
    /** The address of the engine that receives the memory. */
    val target: String,
    /** Whether the run is stopped before its memory is copied. */
    val last: Boolean,
)

@Serializable
private class WireMigrationResult(
    val handle: String? = null,
    /** The number of events that the run has produced. */
    @SerialName("made") val events: Long? = null,
)

/**
 * Requests migrations from engines. Each call has a connection of its own, because a reply does not name the run: an
 * earlier one that is written again could not be told from the reply to the next call. Confined to the traffic thread.
 */
internal class EngineMigrationClient(private val connections: TargetConnections) {
    private val log = LogManager.getLogger(EngineMigrationClient::class.java)

    /** Copies the memory of the run of [request] from [source] to [destination]; stops the run first if [isLast]. */
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
        val connection = connections.openNew(source).getOrElse { return MoveFailure.Unreachable(it).left() }
        return try {
            connection
                .callBuffered("POST", MIGRATION_PATH, "$source", body.encodeToByteArray(), MIGRATION_TIMEOUT_MS)
                .fold({ MoveFailure.NoResponse(it).left() }, ::read)
        } finally {
            connection.close()
        }
    }

    private fun read(reply: HttpReply): Either<MoveFailure, Moved> {
        val result = try {
            platformJson.decodeFromString(WireMigrationResult.serializer(), reply.body.decodeToString())
        } catch (e: SerializationException) {
            log.warn("move answer unreadable status={} problem={}", reply.status, e.message)
            WireMigrationResult()
        }
        val handle = result.handle
        return when {
            reply.status == HTTP_OK && handle != null -> Moved(handle, result.events).right()
            reply.status == HTTP_NOT_FOUND -> MoveFailure.NoSuchRun.left()
            reply.status == HTTP_CONFLICT -> MoveFailure.InProgress.left()
            handle != null -> MoveFailure.Stopped(handle).left()
            else -> MoveFailure.Rejected(reply.status).left()
        }
    }
}
