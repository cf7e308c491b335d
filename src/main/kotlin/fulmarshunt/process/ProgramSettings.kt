/*
 * The settings of the programs. Each section of a settings file is a separate class, so that programs can share
 * sections. docs/settings.md lists every key, and a test compares the list with these classes.
 */
package fulmarshunt.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.VmId
import fulmarshunt.isSha256Hex
import fulmarshunt.parseAddress
import fulmarshunt.target.poolPolicies
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val MAX_DRAIN_DELAY_MS = 60_000L
private const val MAX_FINISH_LIMIT_MS = 24L * 60 * 60 * 1_000

/** The VM that a process runs on. */
@Serializable
public data class VmSettings(
    public val id: VmId,
    @SerialName("failure_domain")
    public val failureDomain: FailureDomainId,
    /** Where an entry VM stores the highest revision that it has applied; absent on VMs without a disk. */
    @SerialName("data_directory")
    public val dataDirectory: String? = null,
)

/** The VM that a control process runs on. */
@Serializable
public data class ControlVmSettings(
    public val id: VmId,
    @SerialName("failure_domain")
    public val failureDomain: FailureDomainId? = null,
)

/** Links between our processes. */
@Serializable
public data class LinkSettings(
    public val listen: String,
    public val secret: Secret,
    /** The address at which other processes reach this one, if it differs from [listen]. */
    public val advertise: String? = null,
)

/** Links of a program that does not listen. */
@Serializable
public data class DialSettings(public val secret: Secret)

/** The durable files of a control VM. */
@Serializable
public data class DataSettings(public val directory: String)

/** A control VM of a new deployment. */
@Serializable
public data class VoterMember(public val vm: VmId, public val address: String)

/** The voters of the replicated log. */
@Serializable
public data class VotersSettings(
    /** True on the control VMs that form a new deployment; ignored once the data directory contains a log. */
    public val bootstrap: Boolean = false,
    public val members: List<VoterMember> = emptyList(),
)

/** The first operator of a new deployment, with every permission; ignored once an operator exists. */
@Serializable
public data class FirstOperatorSettings(
    @SerialName("bootstrap_operator")
    public val id: OperatorId? = null,
    @SerialName("bootstrap_operator_key_sha256")
    public val keySha256: String? = null,
)

/** The addresses of the control VMs. */
@Serializable
public data class ControlAddresses(public val addresses: List<String>)

/** An address to listen at. */
@Serializable
public data class ListenSettings(public val listen: String)

/** The operator who gives commands; environment variables can override each field. */
@Serializable
public data class OperatorIdentity(public val id: OperatorId? = null, public val key: Secret? = null)

/** The settings of `entry`. */
@Serializable
public data class EntrySettings(
    public val vm: VmSettings,
    public val link: LinkSettings,
    public val control: ControlAddresses,
    public val callers: ListenSettings,
    public val targets: ListenSettings,
    public val platform: ListenSettings,
    public val policies: PolicySettings = PolicySettings(),
    public val shutdown: ShutdownSettings = ShutdownSettings(),
)

/** The names of the policies of the pools that this VM owns. */
@Serializable
public data class PolicySettings(
    public val queue: String = "fair",
    public val routing: String = "expected-memory",
    public val admission: String = "expected-memory",
    @SerialName("slow_start")
    public val slowStart: String = "on",
)

/** The time limits of a graceful shutdown. */
@Serializable
public data class ShutdownSettings(
    /** How long new requests are still accepted after readiness fails, so that load balancers notice. */
    @SerialName("drain_delay_ms")
    public val drainDelayMs: Long = 2_000,
    /** How long running requests may take to finish. */
    @SerialName("finish_limit_ms")
    public val finishLimitMs: Long = 600_000,
)

/** The settings of `control`. */
@Serializable
public data class ControlSettings(
    public val vm: ControlVmSettings,
    public val link: LinkSettings,
    public val data: DataSettings,
    public val voters: VotersSettings = VotersSettings(),
    public val platform: ListenSettings,
    public val operator: FirstOperatorSettings = FirstOperatorSettings(),
)

/** Returns the address at which other processes reach this one; call it on checked settings only. */
public fun ControlSettings.reachableAddress(): Address {
    val member = voters.members.firstOrNull { it.vm == vm.id }?.address
    val text = member ?: link.advertise ?: link.listen
    return validatedAddress(text)
}

/** Returns the address at which other processes reach this one; call it on checked settings only. */
public fun EntrySettings.reachableAddress(): Address {
    val text = link.advertise ?: link.listen
    return validatedAddress(text)
}

/** The settings of `orders` and `questionnaire`. */
@Serializable
public data class OperatorSettings(
    public val link: DialSettings,
    public val control: ControlAddresses,
    public val operator: OperatorIdentity = OperatorIdentity(),
)

/** Returns the parsed control addresses; call it on checked settings only. */
public fun ControlAddresses.parsed(): List<Address> = addresses.map(::validatedAddress)

/** Parses [text], which the check of the settings has validated. */
internal fun validatedAddress(text: String): Address =
    checkNotNull(parseAddress(text).getOrNull()) { "address $text was not validated" }

/** Checks the values of [EntrySettings]. */
public val entrySettingsCheck: SettingsCheck<EntrySettings> =
    checkAll(
        { notBlank("vm.id", it.vm.id.value) },
        { notBlank("vm.failure_domain", it.vm.failureDomain.value) },
        { validListenAddress("link.listen", it.link.listen) },
        { settings -> settings.link.advertise?.let { validPeerAddress("link.advertise", it) } ?: Unit.right() },
        { strongSecret("link.secret", it.link.secret) },
        { notEmpty("control.addresses", it.control.addresses) },
        { each("control.addresses", it.control.addresses, ::validPeerAddress) },
        { validListenAddress("callers.listen", it.callers.listen) },
        { validListenAddress("targets.listen", it.targets.listen) },
        { validListenAddress("platform.listen", it.platform.listen) },
        { settings ->
            settings.policies.run { poolPolicies(queue, routing, admission, slowStart) }
                .fold({ SettingsProblem("policies: $it").left() }, { Unit.right() })
        },
        { inRange("shutdown.drain_delay_ms", it.shutdown.drainDelayMs, 0L..MAX_DRAIN_DELAY_MS) },
        { inRange("shutdown.finish_limit_ms", it.shutdown.finishLimitMs, 0L..MAX_FINISH_LIMIT_MS) },
    )

/** Checks the values of [ControlSettings]. */
public val controlSettingsCheck: SettingsCheck<ControlSettings> =
    checkAll(
        { notBlank("vm.id", it.vm.id.value) },
        { validListenAddress("link.listen", it.link.listen) },
        { settings -> settings.link.advertise?.let { validPeerAddress("link.advertise", it) } ?: Unit.right() },
        { strongSecret("link.secret", it.link.secret) },
        { notBlank("data.directory", it.data.directory) },
        { settings ->
            each("voters.members", settings.voters.members) { field, member -> notBlank("$field.vm", member.vm.value) }
        },
        { settings ->
            each("voters.members", settings.voters.members) { field, member ->
                validPeerAddress("$field.address", member.address)
            }
        },
        { bootstrapMemberListed(it) },
        { validListenAddress("platform.listen", it.platform.listen) },
        { validFirstOperator(it.operator) },
    )

private fun bootstrapMemberListed(settings: ControlSettings): Either<SettingsProblem, Unit> {
    val isListed = settings.voters.members.any { it.vm == settings.vm.id }
    return if (settings.voters.bootstrap && !isListed) {
        SettingsProblem("voters.members: does not list this VM \"${settings.vm.id}\": add it or unset bootstrap").left()
    } else {
        Unit.right()
    }
}

private fun validFirstOperator(settings: FirstOperatorSettings): Either<SettingsProblem, Unit> {
    val id = settings.id
    val hash = settings.keySha256
    val field = "operator.bootstrap_operator"
    return when {
        id == null && hash == null -> Unit.right()
        id == null || id.value.isBlank() -> SettingsProblem("$field: is empty: give the operator's id").left()
        hash == null || !isSha256Hex(hash) ->
            SettingsProblem("${field}_key_sha256: is no SHA-256: give 64 hexadecimal digits in lower case").left()
        else -> Unit.right()
    }
}

/** Checks the values of [OperatorSettings]. */
public val operatorSettingsCheck: SettingsCheck<OperatorSettings> =
    checkAll(
        { strongSecret("link.secret", it.link.secret) },
        { notEmpty("control.addresses", it.control.addresses) },
        { each("control.addresses", it.control.addresses, ::validPeerAddress) },
    )
