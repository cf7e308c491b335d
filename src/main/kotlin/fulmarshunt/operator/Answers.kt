/*
 * The answers of a team to the questionnaire. They describe the desired state of the team's part of the configuration;
 * the parts of other teams are not mentioned and stay unchanged.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The desired state of a client account. */
@Serializable
public data class AccountAnswer(
    public val name: ClientAccountId,
    public val weight: Double = 1.0,
    @SerialName("max_requests_per_second")
    public val maxRequestsPerSecond: Double = 100.0,
    @SerialName("max_concurrent_requests")
    public val maxConcurrentRequests: Int = 256,
    /** The hash of an existing key; if null, a new account is issued a new key. */
    @SerialName("key_sha256")
    public val keySha256: String? = null,
)

/** A rule for calls that must run at most once. */
@Serializable
public data class NonRepeatableAnswer(
    public val method: String = "*",
    @SerialName("path_prefix")
    public val pathPrefix: String,
)

/** The desired state of a service. */
@Serializable
public data class ServiceAnswer(
    public val name: ServiceId,
    public val kind: ServiceKind,
    /** The calls that must run at most once; null keeps those of an existing service. */
    @SerialName("non_repeatable")
    public val nonRepeatable: List<NonRepeatableAnswer>? = null,
    @SerialName("short_max_tokens")
    public val shortMaxTokens: Int = 32,
    @SerialName("default_max_tokens")
    public val defaultMaxTokens: Int = 4_096,
    @SerialName("weight_bytes")
    public val weightBytes: Long = 0,
)

/** The desired state of a failure domain. */
@Serializable
public data class FailureDomainAnswer(
    public val name: FailureDomainId,
    public val region: String = "default",
    public val shards: Int = 1,
)

/** The desired state of an operator. */
@Serializable
public data class OperatorAnswer(
    public val name: OperatorId,
    public val permissions: Set<Permission>,
    /** The hash of an existing key; if null, a new operator is issued a new key. */
    @SerialName("key_sha256")
    public val keySha256: String? = null,
)

/** The parts to remove; ids that do not exist are ignored. */
@Serializable
public data class RemovalAnswer(
    public val accounts: List<ClientAccountId> = emptyList(),
    public val services: List<ServiceId> = emptyList(),
    public val operators: List<OperatorId> = emptyList(),
)

/** All answers of one team. */
@Serializable
public data class Answers(
    /** The name of the team, recorded in the audit trail. */
    public val team: String,
    public val accounts: List<AccountAnswer> = emptyList(),
    public val services: List<ServiceAnswer> = emptyList(),
    @SerialName("failure_domains")
    public val failureDomains: List<FailureDomainAnswer> = emptyList(),
    public val operators: List<OperatorAnswer> = emptyList(),
    /** The read rate of the weight store, which all teams share; null keeps the current rate. */
    @SerialName("weight_store_bytes_per_second")
    public val weightStoreBytesPerSecond: Long? = null,
    public val remove: RemovalAnswer = RemovalAnswer(),
)
