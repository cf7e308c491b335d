/*
 * Decoding of the announcements and deregistrations of targets.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.parseAddress
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

@Serializable
private class WireAnnouncement(
    val service: String,
    val address: String,
    val zone: String,
    val slots: Int = 1,
    val state: String,
    /** The remaining time for which the target is cold after its start. */
    @SerialName("cold_remaining_ms") val coldForMs: Double = 0.0,
    @SerialName("seq") val sequence: Long,
    /** The start time in milliseconds since the Unix epoch. */
    @SerialName("born") val startedAtMs: Long = 0,
)

@Serializable
private class WireDeregistration(@SerialName("born") val startedAtMs: Long? = null)

/** Decodes the announcement of target [id]; on the left is why it is invalid. */
internal fun decodeAnnouncement(id: TargetId, body: ByteArray): Either<String, TargetRecord> {
    val wire = try {
        platformJson.decodeFromString(WireAnnouncement.serializer(), body.decodeToString(throwOnInvalidSequence = true))
    } catch (e: SerializationException) {
        return "cannot be read: ${e.message?.lineSequence()?.first()}".left()
    } catch (e: CharacterCodingException) {
        return "is not UTF-8: ${e.message}".left()
    }
    val address = parseAddress(wire.address).getOrElse { return it.left() }
    val phase = when (wire.state) {
        "ready" -> TargetPhase.READY
        "draining" -> TargetPhase.LEAVING
        else -> return "has the unknown state ${wire.state}".left()
    }
    return TargetRecord(
        id, wire.startedAtMs, wire.sequence, ServiceId(wire.service), address, FailureDomainId(wire.zone),
        wire.slots, phase, wire.coldForMs.toLong(),
    ).right()
}

/** Returns the start time in the deregistration of a target, or null if it is missing or cannot be decoded. */
internal fun decodeDeregistrationOrNull(body: ByteArray): Long? = try {
    if (body.isEmpty()) {
        null
    } else {
        platformJson.decodeFromString(
            WireDeregistration.serializer(),
            body.decodeToString(),
        ).startedAtMs
    }
} catch (_: SerializationException) {
    null
}
