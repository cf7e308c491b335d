/*
 * The settings of the programs that serve a fleet of announced targets. docs/settings.md lists every key.
 */
package fulmarshunt.process

import arrow.core.flatMap
import arrow.core.right
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
    /** The IP address at which other processes reach the VM. */
    public val ip: String,
)

/** Links between fleet processes; all VMs use the same port. */
@Serializable
public data class FleetLinkSettings(public val port: Int, public val secret: Secret)

/** The control VMs that are contacted first. */
@Serializable
public data class SeedSettings(
    /** Addresses of control VMs; links go to the same IP addresses. */
    public val seeds: List<String>,
)

/** The addresses at which a fleet entry process listens. */
@Serializable
public data class FleetEntryListenSettings(
    public val callers: String,
    public val readiness: String,
    public val metrics: String,
    /** Where other entry VMs reach this one to have connections forwarded; null if it forwards none. */
    public val forwarding: String? = null,
)

/** Limits that apply to all entry VMs together. */
@Serializable
public data class FleetBoundsSettings(
    /** The maximum number of requests sent to a second target, as a fraction of the requests in a window. */
    @SerialName("repeat_ratio")
    public val repeatRatio: Double = 0.1,
    /** The number of requests in a window that may be sent to a second target in addition. */
    @SerialName("repeat_allowance")
    public val repeatAllowance: Double = 20.0,
    @SerialName("repeat_window_s")
    public val repeatWindowS: Double = 10.0,
    /** The maximum request rate of a cold target, as a multiple of the configured rate. */
    @SerialName("cold_factor")
    public val coldFactor: Double = 1.0,
    /** The requests per second that a cold target may get in addition. */
    @SerialName("cold_allowance")
    public val coldAllowance: Double = 0.0,
    /** The maximum share of the requests of a service for a version on trial; null if versions have no effect. */
    @SerialName("trial_share")
    public val trialShare: Double? = null,
    /** The number of requests that a version on trial may get in addition. */
    @SerialName("trial_allowance")
    public val trialAllowance: Double = 0.0,
    /** The time after many failures within which a version on trial must get no more requests. */
    @SerialName("trial_stop_ms")
    public val trialStopMs: Long = 5_000,
)

/** The graceful shutdown of a fleet entry process. */
@Serializable
public data class FleetShutdownSettings(
    /** The time in seconds after which the host kills the process. */
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

/** The addresses at which a fleet control process listens. */
@Serializable
public data class FleetControlListenSettings(public val requests: String, public val metrics: String)

/** The formation of a cluster of control VMs. */
@Serializable
public data class FormationSettings(
    /** True only when the complete system starts for the first time, with empty disks. */
    public val bootstrap: Boolean,
)

/** The announcements of targets. */
@Serializable
public data class AnnouncementSettings(
    @SerialName("period_ms")
    public val periodMs: Long,
)

/** Roll-outs of versions of services. */
@Serializable
public data class RolloutSettings(
    /** Whether operators may order roll-outs; entry VMs need `bounds.trial_share`. */
    public val enabled: Boolean = false,
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
    public val rollouts: RolloutSettings = RolloutSettings(),
)

/** Returns the address at which [vm] accepts links. */
public fun linkAddressOf(vm: FleetVmSettings, link: FleetLinkSettings): Address = Address(vm.ip, link.port)

/** Returns the link addresses of the seeds. */
public fun seedAddresses(control: SeedSettings, link: FleetLinkSettings): List<Address> =
    control.seeds.map { seed -> Address(validatedAddress(seed).host, link.port) }

/** Checks the settings of the `fleet-entry` program. */
public val fleetEntrySettingsCheck: SettingsCheck<FleetEntrySettings> =
    checkAll(
        { vmProblem(it.vm) },
        { linkProblem(it.link) },
        { seedProblem(it.control) },
        { validPeerAddress("listen.callers", it.listen.callers) },
        { validListenAddress("listen.readiness", it.listen.readiness) },
        { validListenAddress("listen.metrics", it.listen.metrics) },
        { settings -> settings.listen.forwarding?.let { validPeerAddress("listen.forwarding", it) } ?: Unit.right() },
        { positive("bounds.repeat_window_s", it.bounds.repeatWindowS) },
        { notNegative("bounds.repeat_ratio", it.bounds.repeatRatio) },
        { notNegative("bounds.repeat_allowance", it.bounds.repeatAllowance) },
        { positive("bounds.cold_factor", it.bounds.coldFactor) },
        { notNegative("bounds.cold_allowance", it.bounds.coldAllowance) },
        { inRange("bounds.trial_stop_ms", it.bounds.trialStopMs, 1..MAX_PERIOD_MS) },
        { notNegative("bounds.trial_share", it.bounds.trialShare ?: 0.0) },
        { notNegative("bounds.trial_allowance", it.bounds.trialAllowance) },
        { inRange("shutdown.grace_s", it.shutdown.graceS.toLong(), 1..MAX_GRACE_S.toLong()) },
    )

/** Checks the settings of the `fleet-control` program. */
public val fleetControlSettingsCheck: SettingsCheck<FleetControlSettings> =
    checkAll(
        { vmProblem(it.vm) },
        { linkProblem(it.link) },
        { seedProblem(it.control) },
        { notBlank("data.directory", it.data.directory) },
        { validListenAddress("listen.requests", it.listen.requests) },
        { validListenAddress("listen.metrics", it.listen.metrics) },
        { inRange("targets.period_ms", it.targets.periodMs, 1..MAX_PERIOD_MS) },
    )

private fun vmProblem(vm: FleetVmSettings) = notBlank("vm.id", vm.id.value)
    .flatMap { notBlank("vm.failure_domain", vm.failureDomain.value) }
    .flatMap { notBlank("vm.ip", vm.ip) }

private fun linkProblem(link: FleetLinkSettings) = inRange("link.port", link.port.toLong(), 1..MAX_PORT)
    .flatMap { strongSecret("link.secret", link.secret) }

private fun seedProblem(control: SeedSettings) = notEmpty("control.seeds", control.seeds)
    .flatMap { each("control.seeds", control.seeds, ::validPeerAddress) }
