/*
 * The program of an entry VM, which relays callers' requests to targets.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.caller.relay.CallerConnections
import fulmarshunt.caller.relay.CallerShutdown
import fulmarshunt.caller.relay.PlannedStop
import fulmarshunt.caller.relay.RelayDependencies
import fulmarshunt.caller.relay.RelayMeters
import fulmarshunt.caller.relay.RequestRelay
import fulmarshunt.entry.forward.Forwarder
import fulmarshunt.entry.forward.ForwarderSelection
import fulmarshunt.entry.forward.ForwardingClient
import fulmarshunt.entry.forward.ForwardingDependencies
import fulmarshunt.entry.forward.ForwardingServer
import fulmarshunt.entry.watch.FleetWatcher
import fulmarshunt.http.HttpReply
import fulmarshunt.http.Traffic
import fulmarshunt.http.serveBuffered
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.ExitCode
import fulmarshunt.process.FleetBoundsSettings
import fulmarshunt.process.FleetEntrySettings
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.byteBudgetOfHeap
import fulmarshunt.process.fleetEntrySettingsCheck
import fulmarshunt.process.processMain
import fulmarshunt.process.readSettings
import fulmarshunt.process.reloadedSettings
import fulmarshunt.process.seedAddresses
import fulmarshunt.process.shutDownOnTermination
import fulmarshunt.process.startControlThread
import fulmarshunt.process.startLineLogging
import fulmarshunt.process.validatedAddress
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.RepeatBudget
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.TargetConnections
import fulmarshunt.target.fleet.TargetPaths
import fulmarshunt.target.rollout.TrialBounds
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.nio.file.Path
import kotlin.random.Random

private const val MAX_HEADER_BYTES = 16_384
private const val MS_PER_S = 1_000

/** The unused part of the grace period, after which the host kills the process. */
private const val SHUTDOWN_MARGIN_MS = 400L

private const val EXPIRE_PERIOD_MS = 1_000L

/** Runs the program of an entry VM. */
public fun main(args: Array<String>) {
    startLineLogging()
    processMain("fleet-entry", args) { path ->
        val settings = readSettings(path, FleetEntrySettings.serializer(), fleetEntrySettingsCheck)
            .getOrElse { return@processMain ProgramOutcome(ExitCode.USAGE, it.message) }
        startFleetEntry(settings, path).fold({ it }) { awaitCancellation() }
    }
}

private suspend fun startFleetEntry(settings: FleetEntrySettings, path: Path): Either<ProgramOutcome, Unit> = either {
    val logger = LogManager.getLogger("fulmarshunt.platform.FleetEntry")
    val control = startControlThread()
    val reloaded = reloadedSettings(
        path,
        FleetEntrySettings.serializer(),
        fleetEntrySettingsCheck,
        settings,
        control.scope,
    )
    val clock = monotonicClock()
    val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val traffic = Traffic()
    val links = linksOf(settings.vm.id.value, settings.link.secret.value, LinkHandlers())
    val fleet = fleetOf(settings, clock)
    val watcher = FleetWatcher(
        settings.vm.id,
        { reloaded.current.let { seedAddresses(it.control, it.link) } },
        ::decodeDocument,
        fleet,
        links,
        control,
        clock,
        forwarderOf(settings),
    )
    val relayMeters = RelayMeters(meters)
    val paths = TargetPaths()
    val client = forwardingClient(settings, traffic, clock, relayMeters) { watcher.forwarders.value }
    val connections = TargetConnections(traffic, clock, paths, client::detours)
    val adapter = platformProtocolAdapter(EngineMigrationClient(connections))
    val plannedStop = PlannedStop()
    val requestRelay = RequestRelay(
        RelayDependencies(
            fleet.views, fleet, control, connections, adapter, relayMeters, clock,
            Random.Default::nextDouble, traffic.scope, plannedStop,
        ),
    )
    val callers =
        CallerConnections({ fleet.views.value }, adapter, relayMeters, clock, plannedStop, requestRelay::run)
    val maxHeaderBytes = { fleet.views.value.table?.configuration?.limits?.maxHeaderBytes ?: MAX_HEADER_BYTES }
    val listener = traffic.listen(validatedAddress(settings.listen.callers), maxHeaderBytes, callers::serve)
        .getOrElse { raise(ProgramOutcome(ExitCode.USAGE, "listen.callers: $it")) }
    listenForReadiness(traffic, validatedAddress(settings.listen.readiness)) {
        readinessProblemOrNull(plannedStop, fleet)
    }.onLeft { raise(ProgramOutcome(ExitCode.USAGE, "listen.readiness: $it")) }
    listenForMetrics(traffic, validatedAddress(settings.listen.metrics), meters)
        .onLeft { raise(ProgramOutcome(ExitCode.USAGE, "listen.metrics: $it")) }
    val forwarding = forwardingServer(settings, traffic, fleet, paths, connections, plannedStop, clock, relayMeters)
    settings.listen.forwarding?.let { forwarding.listen(validatedAddress(it)) }
        ?.onLeft { raise(ProgramOutcome(ExitCode.USAGE, "listen.forwarding: $it")) }
    meters.measurePeers(traffic.peerMemory)
    meters.gauge("fulmarshunt_watched_control_vms", watcher) { it.watchedControlVms.toDouble() }
    meters.gauge("fulmarshunt_paced_targets", fleet) { it.pacedTargets.toDouble() }
    meters.gauge("fulmarshunt_targets_lost", paths) { if (it.isCut) 1.0 else 0.0 }
    control.run { watcher.start() }
    startConnectionExpiry(traffic, connections, forwarding)
    val graceMs = (settings.shutdown.graceS * MS_PER_S).toLong() - SHUTDOWN_MARGIN_MS
    shutDownOnTermination(graceMs) {
        CallerShutdown(traffic, callers, plannedStop, clock, forwarding::isForwarding).run(graceMs, listener)
        logger.info("process stopped")
    }
    val listen = settings.listen
    logger.info("process started vm={} callers={} seeds={}", settings.vm.id, listen.callers, settings.control.seeds)
}

private fun readinessProblemOrNull(plannedStop: PlannedStop, fleet: Fleet): String? = when {
    plannedStop.hasBegun -> "stopping"
    fleet.views.value.table == null -> "no configuration"
    else -> null
}

/** Listens at [address] for readiness probes; [problem] returns why this VM is not ready, or null. */
private suspend fun listenForReadiness(
    traffic: Traffic,
    address: Address,
    problem: () -> String?,
): Either<String, Unit> = traffic.listen(address, { MAX_HEADER_BYTES }) { connection ->
    connection.serveBuffered(0, byteBudgetOfHeap(0)) { call ->
        val reason = if (call.path == "/api/ready") problem() else "no such path"
        if (reason == null) HttpReply(OK) else HttpReply(UNAVAILABLE, reason.encodeToByteArray(), "text/plain")
    }
}.map { }

private const val OK = 200
private const val UNAVAILABLE = 503

private fun forwarderOf(settings: FleetEntrySettings): Forwarder? = settings.listen.forwarding?.let {
    Forwarder(settings.vm.id, validatedAddress(it), settings.vm.failureDomain)
}

private fun forwardingClient(
    settings: FleetEntrySettings,
    traffic: Traffic,
    clock: Clock,
    meters: RelayMeters,
    forwarders: () -> List<Forwarder>,
): ForwardingClient = ForwardingClient(
    traffic,
    settings.vm.id,
    settings.link.secret.value,
    ForwarderSelection(settings.vm.failureDomain, Random.Default::nextDouble),
    forwarders,
    clock,
) { _, _, result -> meters.tunnelRequested(isOrigin = true, result?.toString() ?: "NO_REPLY") }

private fun forwardingServer(
    settings: FleetEntrySettings,
    traffic: Traffic,
    fleet: Fleet,
    paths: TargetPaths,
    connections: TargetConnections,
    plannedStop: PlannedStop,
    clock: Clock,
    meters: RelayMeters,
): ForwardingServer = ForwardingServer(
    traffic,
    ForwardingDependencies(
        settings.vm.id,
        settings.link.secret.value,
        paths,
        isTarget = { address -> fleet.views.value.targets.values.any { it.record.address == address } },
        isStopping = { plannedStop.hasBegun },
        clock,
        dial = { address, limitMs -> traffic.dialChannel(address, limitMs) { } },
        onDial = connections::recordDial,
        onResult = { meters.tunnelRequested(isOrigin = false, "$it") },
    ),
)

/** Closes expired connections to targets at regular intervals. */
private fun startConnectionExpiry(traffic: Traffic, connections: TargetConnections, forwarding: ForwardingServer) {
    traffic.scope.launch {
        while (true) {
            delay(EXPIRE_PERIOD_MS)
            connections.expire()
            forwarding.expire()
        }
    }
}

private fun fleetOf(settings: FleetEntrySettings, clock: Clock): Fleet {
    val budget = RepeatBudget(repeatLimits(settings.bounds), clock.nowMs(), Random.Default::nextDouble)
    val trialBounds = trialBoundsOrNull(settings.bounds)
    return Fleet(clock, settings.vm.failureDomain, budget, Random.Default::nextDouble, trialBounds) { service ->
        if (service.coldRequestsPerS <= 0) 0.0 else coldLimitPerS(service.coldRequestsPerS, settings.bounds)
    }
}

private fun trialBoundsOrNull(bounds: FleetBoundsSettings): TrialBounds? =
    bounds.trialShare?.let { TrialBounds(it, bounds.trialAllowance, bounds.trialStopMs) }

private fun repeatLimits(bounds: FleetBoundsSettings) =
    RepeatLimits(bounds.repeatRatio, bounds.repeatAllowance, (bounds.repeatWindowS * MS_PER_S).toLong())

/** Returns the requests that a cold target gets in a second, given the number in the configuration. */
private fun coldLimitPerS(configuredPerS: Double, bounds: FleetBoundsSettings): Double =
    configuredPerS * bounds.coldFactor + bounds.coldAllowance
