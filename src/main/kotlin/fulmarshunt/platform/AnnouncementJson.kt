/*
 * Decoding of the announcements and deregistrations of targets. They may come from any writer, so that whatever is not
 * as the platform specifies it is refused.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.TargetId
import fulmarshunt.parseAddress
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.problemOrNull
import fulmarshunt.target.fleet.startTimeProblemOrNull
import fulmarshunt.target.fleet.timeProblemOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.JsonTransformingSerializer

/** The maximum size of the body of an announcement or deregistration; those of targets have less than a kilobyte. */
private const val MAX_ANNOUNCEMENT_BYTES = 65_536

/** The maximum nesting of the body of an announcement or deregistration; those of targets have 4 levels. */
private const val MAX_ANNOUNCEMENT_NESTING = 32

private val numberPattern = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

/** Decodes a number as JSON defines it; the JSON library also accepts it in quotes or without its exponent. */
private open class StrictNumber<T : Any>(serializer: KSerializer<T>) : JsonTransformingSerializer<T>(serializer) {
    override fun transformDeserialize(element: JsonElement): JsonElement {
        val isNumber = element is JsonPrimitive && !element.isString && numberPattern.matches(element.content)
        return if (isNumber) element else throw SerializationException("there is no number where one is needed")
    }
}

private object StrictInt : StrictNumber<Int>(Int.serializer())

private object StrictLong : StrictNumber<Long>(Long.serializer())

private object StrictDouble : StrictNumber<Double>(Double.serializer())

@Serializable
private class WireAnnouncement(
    val service: String,
    val address: String,
    val zone: String,
    @Serializable(with = StrictInt::class) val slots: Int,
    val state: String,
    val version: String? = null,
    /** The remaining time for which the target is cold after its start. */
    @Serializable(with = StrictDouble::class)
    @SerialName("cold_remaining_ms")
    val coldForMs: Double,
    @Serializable(with = StrictLong::class)
    @SerialName("seq")
    val sequence: Long,
    /** The start time in milliseconds since the Unix epoch. */
    @Serializable(with = StrictLong::class)
    @SerialName("born")
    val startedAtMs: Long = 0,
)

/** Decodes the announcement of target [id] at [nowMs] since the Unix epoch; on the left is why it is invalid. */
internal fun decodeAnnouncement(id: TargetId, body: ByteArray, nowMs: Long): Either<String, TargetRecord> {
    val wire = decodeBody(WireAnnouncement.serializer(), body).getOrElse { return it.left() }
    val address = parseAddress(wire.address).getOrElse { return it.left() }
    // Other spellings of the same address would count as different ones.
    if ("$address" != wire.address) return "\"${wire.address}\" is not how $address is written".left()
    val phase = when (wire.state) {
        "ready" -> TargetPhase.READY
        "draining" -> TargetPhase.LEAVING
        else -> return "has the unknown state ${wire.state}".left()
    }
    val record = TargetRecord(
        id, wire.startedAtMs, wire.sequence, ServiceId(wire.service), address, FailureDomainId(wire.zone),
        wire.slots, phase, wire.coldForMs.toLong(), wire.version?.let(::SoftwareVersion),
    )
    val problem = record.problemOrNull() ?: record.timeProblemOrNull(nowMs)
    return problem?.left() ?: record.right()
}

/**
 * Decodes the deregistration of a target at [nowMs] since the Unix epoch.
 *
 * @return the start time of the target, or null if it names none; on the left is why the deregistration is invalid.
 */
internal fun decodeDeregistration(body: ByteArray, nowMs: Long): Either<String, Long?> {
    if (body.isEmpty()) return null.right()
    val fields = decodeBody(JsonObject.serializer(), body).getOrElse { return it.left() }
    val element = fields["born"] ?: return null.right()
    return decode { platformJson.decodeFromJsonElement(StrictLong, element) }
        .flatMap { startedAtMs -> startTimeProblemOrNull(startedAtMs, nowMs)?.left() ?: startedAtMs.right() }
}

private fun <T> decodeBody(deserializer: DeserializationStrategy<T>, body: ByteArray): Either<String, T> = when {
    body.size > MAX_ANNOUNCEMENT_BYTES -> "has more than $MAX_ANNOUNCEMENT_BYTES bytes".left()
    body.isNestedDeeperThan(MAX_ANNOUNCEMENT_NESTING) -> "is nested more than $MAX_ANNOUNCEMENT_NESTING deep".left()
    else -> decode {
        platformJson.decodeFromString(deserializer, body.decodeToString(throwOnInvalidSequence = true))
    }
}

/** Returns the result of [decode]; the JSON library has no common type for the exceptions that odd input causes. */
private fun <T> decode(decode: () -> T): Either<String, T> = try {
    decode().right()
} catch (e: Exception) {
    "cannot be read: ${e.message?.lineSequence()?.first()}".left()
}
