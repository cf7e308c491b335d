/*
 * The settings of the programs that serve a fleet of announced targets. docs/settings.md lists every key.
 */
package fulmarshunt.process

import arrow.core.flatMap
import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val MAX_PORT = 65_535L
private const val MAX_PERIOD_MS = 60_000L
private const val MAX_GRACE_S = 3_600.0

/** The VM of a fleet process. */
@Serializable
public data class FleetVmSettings(
    public val id: VmId,
    @SerialName("failure_domain")
    public val failureDomain: FailureDomainId,
    /** The IP number at which others reach the VM. */
    public val ip: String,
)

/** Links between fleet processes; they use one port on all VMs. */
@Serializable
public data class FleetLinkSettings(public val port: Int, public val secret: Secret)

/** Where control VMs are found first. */
@Serializable
public data class SeedSettings(
    /** Addresses of control VMs; links go to the same IP numbers. */
    public val seeds: List<String>,
)

/** Where a fleet process listens. */
@Serializable
public data class FleetEntryListenSettings(
    public val callers: String,
    public val readiness: String,
    public val metrics: String,
)

/** Bounds that hold for all entry VMs together. */
@Serializable
public data class FleetBoundsSettings(
    /** Requests sent to a second target, as a share of the requests in a window. */
    @SerialName("repeat_ratio")
    public val repeatRatio: Double = 0.1,
    /** Requests sent to a second target in a window that need no requests. */
    @SerialName("repeat_allowance")
    public val repeatAllowance: Double = 20.0,
    @SerialName("repeat_window_s")
    public val repeatWindowS: Double = 10.0,
    /** What a cold target gets at most, as a multiple of what the configuration says that it bears. */
    @SerialName("cold_factor")
    public val coldFactor: Double = 1.0,
    /** What a cold target gets beyond that in a second. */
    @SerialName("cold_allowance")
    public val coldAllowance: Double = 0.0,
)

/** How a fleet entry process stops. */
@Serializable
public data class FleetShutdownSettings(
    /** Seconds after which the host kills the process. */
    @SerialName("grace_s")
    public val graceS: Double = 10.0,
)

/** The settings of the `fleet-entry` program. */
@Serializable
public data class FleetEntrySettings(
    public val vm: FleetVmSettings,
    public val link: FleetLinkSettings,
    public val control: SeedSettings,
    public val listen: FleetEntryListenSettings,
    public val bounds: FleetBoundsSettings = FleetBoundsSettings(),
    public val shutdown: FleetShutdownSettings = FleetShutdownSettings(),
)

/** Where a fleet control process listens. */
@Serializable
public data class FleetControlListenSettings(public val requests: String, public val metrics: String)

/** How a cluster of control VMs starts. */
@Serializable
public data class FormationSettings(
    /** True only when the whole system starts for the first time, with empty disks. */
    public val bootstrap: Boolean,
)

/** How targets announce themselves. */
@Serializable
public data class AnnouncementSettings(
    @SerialName("period_ms")
    public val periodMs: Long,
)

/** The settings of the `fleet-control` program. */
@Serializable
public data class FleetControlSettings(
    public val vm: FleetVmSettings,
    public val link: FleetLinkSettings,
    public val control: SeedSettings,
    public val data: DataSettings,
    public val listen: FleetControlListenSettings,
    public val formation: FormationSettings,
    public val targets: AnnouncementSettings,
)

/** The address at which links to this VM are accepted. */
public fun linkAddressOf(vm: FleetVmSettings, link: FleetLinkSettings): Address = Address(vm.ip, link.port)

/** The link addresses of the seeds. */
public fun seedAddresses(control: SeedSettings, link: FleetLinkSettings): List<Address> =
    control.seeds.map { seed -> Address(validatedAddress(seed).host, link.port) }

/** Checks the settings of the `fleet-entry` program. */
public val fleetEntrySettingsCheck: SettingsCheck<FleetEntrySettings> =
    checkAll(
        { vmProblem(it.vm) },
        { linkProblem(it.link) },
        { seedProblem(it.control) },
        { peerAddress("listen.callers", it.listen.callers) },
        { listenAddress("listen.readiness", it.listen.readiness) },
        { listenAddress("listen.metrics", it.listen.metrics) },
        { positive("bounds.repeat_window_s", it.bounds.repeatWindowS) },
        { notNegative("bounds.repeat_ratio", it.bounds.repeatRatio) },
        { notNegative("bounds.repeat_allowance", it.bounds.repeatAllowance) },
        { positive("bounds.cold_factor", it.bounds.coldFactor) },
        { notNegative("bounds.cold_allowance", it.bounds.coldAllowance) },
        { inRange("shutdown.grace_s", it.shutdown.graceS.toLong(), 1..MAX_GRACE_S.toLong()) },
    )

/** Checks the settings of the `fleet-control` program. */
public val fleetControlSettingsCheck: SettingsCheck<FleetControlSettings> =
    checkAll(
        { vmProblem(it.vm) },
        { linkProblem(it.link) },
        { seedProblem(it.control) },
        { notBlank("data.directory", it.data.directory) },
        { listenAddress("listen.requests", it.listen.requests) },
        { listenAddress("listen.metrics", it.listen.metrics) },
        { inRange("targets.period_ms", it.targets.periodMs, 1..MAX_PERIOD_MS) },
    )

private fun vmProblem(vm: FleetVmSettings) = notBlank("vm.id", vm.id.value)
    .flatMap { notBlank("vm.failure_domain", vm.failureDomain.value) }
    .flatMap { notBlank("vm.ip", vm.ip) }

private fun linkProblem(link: FleetLinkSettings) = inRange("link.port", link.port.toLong(), 1..MAX_PORT)
    .flatMap { strongSecret("link.secret", link.secret) }

private fun seedProblem(control: SeedSettings) = notEmpty("control.seeds", control.seeds)
    .flatMap { each("control.seeds", control.seeds, ::peerAddress) }
