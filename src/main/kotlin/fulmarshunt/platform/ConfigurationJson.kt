/*
 * Decoding and validation of the configurations that operators send.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.ClientAccountId
import fulmarshunt.ConfigurationVersion
import fulmarshunt.ServiceId
import fulmarshunt.operator.serving.AccountKeys
import fulmarshunt.operator.serving.CallerLimits
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.EngineProfile
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.ServiceProfile
import fulmarshunt.operator.serving.ServiceShare
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.operator.serving.problemOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json

/** The JSON format of the platform. Unknown fields are ignored, because the platform may add fields. */
internal val platformJson: Json = Json { ignoreUnknownKeys = true }

@Serializable
private class WireConfiguration(
    val version: Long,
    val routes: List<WireRoute>,
    val services: List<WireService>,
    val limits: WireLimits? = null,
    val tenants: WireTenants = WireTenants(null),
)

@Serializable
private class WireRoute(
    val name: String,
    val host: String,
    @SerialName("path_prefix") val pathPrefix: String,
    /** The repeatability of requests: `safe`, `unsafe` or `stream`. */
    val type: String,
    @SerialName("timeout_ms") val timeoutMs: Long,
    @SerialName("slo_ms") val objectiveMs: Double = 0.0,
    @SerialName("gap_slo_ms") val gapObjectiveMs: Double = 0.0,
    val priority: Int = 0,
    /** The only service of the route; ignored if there are [backends]. */
    val service: String? = null,
    /** The services that share the route. */
    val backends: List<WireShare>? = null,
    @SerialName("max_attempts") val maxTargets: Int = 1,
    @SerialName("public") val isPublic: Boolean = false,
    @SerialName("resumable") val isResumable: Boolean = false,
)

@Serializable
private class WireShare(val service: String, val weight: Double)

@Serializable
private class WireService(
    val name: String,
    @SerialName("health_path") val healthPath: String = "/health",
    @SerialName("max_conns") val maxConnections: Int = Int.MAX_VALUE,
    /** The requests that a cold target can start in a second. */
    @SerialName("cold_per_s") val coldRequestsPerS: Double = 0.0,
    val engine: WireEngine? = null,
)

@Serializable
private class WireEngine(
    val slots: Int,
    /** The number of tokens that fit into the memory. */
    @SerialName("kv_capacity") val memoryTokens: Int,
    val moves: Boolean = false,
    val backups: Boolean = false,
    /** The number of tokens in one event of a stream. */
    val stride: Int = 1,
)

@Serializable
private class WireLimits(
    @SerialName("max_header_bytes") val maxHeaderBytes: Int,
    @SerialName("max_body_bytes") val maxBodyBytes: Long,
    @SerialName("header_timeout_ms") val headerTimeoutMs: Long,
    @SerialName("idle_timeout_ms") val idleTimeoutMs: Long,
)

/** The client accounts: [list] is null if the field is absent, which opens all routes. A JSON null is no list. */
@Serializable(with = WireTenantsSerializer::class)
private class WireTenants(val list: List<WireTenant>?)

private object WireTenantsSerializer : KSerializer<WireTenants> {
    private val listSerializer = ListSerializer(WireTenant.serializer())

    override val descriptor: SerialDescriptor get() = listSerializer.descriptor

    override fun deserialize(decoder: Decoder): WireTenants =
        WireTenants(decoder.decodeSerializableValue(listSerializer))

    override fun serialize(encoder: Encoder, value: WireTenants): Unit =
        encoder.encodeSerializableValue(listSerializer, checkNotNull(value.list) { "an absent field is not written" })
}

@Serializable
private class WireTenant(
    val name: String,
    @SerialName("api_keys") val keys: List<String> = emptyList(),
    /** Overrides the priority of routes. */
    val priority: Int? = null,
)

/** The limits of a configuration that sets none. */
private val defaultLimits = CallerLimits(16_384, 4L * 1_024 * 1_024, 3_000, 15_000)

/** Decodes and validates a configuration; on the left is why it is invalid. */
internal fun decodeConfiguration(bytes: ByteArray): Either<String, ServingConfiguration> {
    val wire = try {
        platformJson.decodeFromString(
            WireConfiguration.serializer(),
            bytes.decodeToString(throwOnInvalidSequence = true),
        )
    } catch (e: SerializationException) {
        return "the configuration cannot be read: ${e.message?.lineSequence()?.first()}".left()
    } catch (e: CharacterCodingException) {
        return "the configuration is not UTF-8: ${e.message}".left()
    }
    wire.routes.find { repeatabilityOrNull(it.type) == null }
        ?.let { return "route ${it.name} has the unknown type ${it.type}".left() }
    val configuration = ServingConfiguration(
        ConfigurationVersion(wire.version),
        wire.routes.map(::routeOf),
        wire.services.map(::serviceOf),
        wire.limits?.let { CallerLimits(it.maxHeaderBytes, it.maxBodyBytes, it.headerTimeoutMs, it.idleTimeoutMs) }
            ?: defaultLimits,
        wire.tenants.list?.map { AccountKeys(ClientAccountId(it.name), it.keys, it.priority) },
    )
    return configuration.problemOrNull()?.left() ?: configuration.right()
}

/** Decodes and validates a stored configuration; on the left is why it is invalid. */
internal fun decodeDocument(document: ConfigurationDocument): Either<String, ServingConfiguration> =
    decodeConfiguration(document.bytes)

private fun repeatabilityOrNull(type: String): Repeatability? = when (type) {
    "safe" -> Repeatability.IDEMPOTENT
    "unsafe" -> Repeatability.AT_MOST_ONCE
    "stream" -> Repeatability.STREAM
    else -> null
}

private fun routeOf(wire: WireRoute) = Route(
    name = wire.name,
    host = wire.host,
    pathPrefix = wire.pathPrefix,
    repeatability = checkNotNull(repeatabilityOrNull(wire.type)),
    timeoutMs = wire.timeoutMs,
    objectiveMs = if (wire.objectiveMs > 0) wire.objectiveMs.toLong() else wire.timeoutMs,
    gapObjectiveMs = wire.gapObjectiveMs.toLong(),
    rank = wire.priority,
    shares = wire.backends?.map { ServiceShare(ServiceId(it.service), it.weight) }
        ?: listOfNotNull(wire.service?.let { ServiceShare(ServiceId(it), 1.0) }),
    maxTargets = wire.maxTargets,
    isPublic = wire.isPublic,
    isResumable = wire.isResumable,
)

private fun serviceOf(wire: WireService) = ServiceProfile(
    ServiceId(wire.name),
    wire.healthPath,
    wire.maxConnections,
    wire.coldRequestsPerS,
    wire.engine?.let { EngineProfile(it.slots, it.memoryTokens, it.moves, it.backups, it.stride) },
)
