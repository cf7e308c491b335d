/*
 * The program of a control VM: a voter of the replicated log that handles the calls of operators and targets, and sends
 * state changes to entry VMs.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.entry.document.documentServiceOf
import fulmarshunt.entry.watch.WatchService
import fulmarshunt.entry.watch.WatchServiceDependencies
import fulmarshunt.http.HttpReply
import fulmarshunt.http.PeerMemory
import fulmarshunt.http.Traffic
import fulmarshunt.http.serveBuffered
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.rollout.EvidenceTable
import fulmarshunt.operator.rollout.RolloutOwner
import fulmarshunt.operator.rollout.RolloutOwnerDependencies
import fulmarshunt.operator.serving.ServingStateAccess
import fulmarshunt.operator.serving.ServingStateMachine
import fulmarshunt.process.ExitCode
import fulmarshunt.process.FleetControlSettings
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.byteBudgetOfHeap
import fulmarshunt.process.fleetControlSettingsCheck
import fulmarshunt.process.linkAddressOf
import fulmarshunt.process.measureProcess
import fulmarshunt.process.processMain
import fulmarshunt.process.readSettings
import fulmarshunt.process.reloadedSettings
import fulmarshunt.process.seedAddresses
import fulmarshunt.process.shutDownOnTermination
import fulmarshunt.process.startControlThread
import fulmarshunt.process.startLineLogging
import fulmarshunt.process.validatedAddress
import fulmarshunt.target.fleet.TargetDirectory
import fulmarshunt.voter.ControlDirectory
import fulmarshunt.voter.ControlVm
import fulmarshunt.voter.ReplicatedLog
import fulmarshunt.voter.VoterSettings
import fulmarshunt.voter.access
import fulmarshunt.voter.awaitReplicatedLog
import fulmarshunt.voter.bindDiskMetric
import fulmarshunt.voter.controlDirectoryOf
import fulmarshunt.voter.reconcileMembership
import fulmarshunt.wallClock
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import org.apache.logging.log4j.LogManager
import java.nio.file.Path

/** The time limit for a shutdown, which waits only for the disk. */
private const val SHUTDOWN_TIMEOUT_MS = 2_000L

private const val MAX_HEADER_BYTES = 16_384

/** Runs the program of a control VM. */
public fun main(args: Array<String>) {
    startLineLogging()
    processMain("fleet-control", args) { path ->
        val settings = readSettings(path, FleetControlSettings.serializer(), fleetControlSettingsCheck)
            .getOrElse { return@processMain ProgramOutcome(ExitCode.USAGE, it.message) }
        startFleetControl(settings, path).fold({ it }) { log ->
            val failure = log.failure.filterNotNull().first()
            ProgramOutcome(ExitCode.BROKEN_INVARIANT, "the replicated log has stopped: $failure")
        }
    }
}

private suspend fun startFleetControl(
    settings: FleetControlSettings,
    path: Path,
): Either<ProgramOutcome, ReplicatedLog> = either {
    val logger = LogManager.getLogger("fulmarshunt.platform.FleetControl")
    val control = startControlThread()
    val reloaded = reloadedSettings(
        path,
        FleetControlSettings.serializer(),
        fleetControlSettingsCheck,
        settings,
        control.scope,
    )
    val clock = monotonicClock()
    val own = linkAddressOf(settings.vm, settings.link)
    val machine = ServingStateMachine()
    lateinit var directory: ControlDirectory
    val voter = VoterSettings(
        settings.vm.id,
        own,
        Path.of(settings.data.directory),
        settings.formation.bootstrap,
        initialVoters = { directory.initialVotersOrNull() },
    )
    val log = awaitReplicatedLog(voter, machine.asReplicated, control, clock).getOrElse { problem ->
        val code = if (problem.isDamaged) ExitCode.BROKEN_INVARIANT else ExitCode.USAGE
        raise(ProgramOutcome(code, problem.message))
    }
    val self = ControlVm(settings.vm.id, log.id, own)
    directory =
        controlDirectoryOf(self, control, clock) { reloaded.current.let { seedAddresses(it.control, it.link) } }
    val access = log.access()
    val servingState = ServingStateAccess(access, machine, clock, own)
    val evidence = EvidenceTable()
    val watches = WatchService(
        WatchServiceDependencies(
            vm = settings.vm.id,
            snapshots = machine.snapshots,
            controls = { directory.known.value.map { it.linkAddress } },
            own = own,
            isCurrent = { log.isConnectedToCluster },
            directory = TargetDirectory(settings.targets.periodMs),
            evidence = evidence,
        ),
        control,
        clock,
    )
    val base = servingState.handlers(directory.handlers(log.handlers(LinkHandlers())))
    val handlers = documentServiceOf(machine.snapshots, control).handlers(watches.handlers(base))
    val links = linksOf(settings.vm.id.value, settings.link.secret.value, handlers)
    links.listen(own).onLeft { raise(ProgramOutcome(ExitCode.USAGE, "link.port: $it")) }
    val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val rollouts = if (settings.rollouts.enabled) RolloutApi(servingState, links, wallClock()) else null
    val api = ControlApi(servingState, watches, links, meters, wallClock(), rollouts = rollouts)
    listen(settings, api, meters)
        .onLeft { raise(ProgramOutcome(ExitCode.USAGE, it)) }
    bindDiskMetric(meters, log.diskProblem)
    meters.gauge("fulmarshunt_reached_control_vms", watches) { it.reachedControlVms.toDouble() }
    log.start(links)
    directory.start(links) { log.leadership.value.leader != null }
    watches.start(links)
    reconcileMembership(log, directory, control)
    rolloutOwner(machine, servingState, evidence, clock).start(control)
    shutDownOnTermination(SHUTDOWN_TIMEOUT_MS) {
        logger.info("process stops reason=SIGTERM")
        log.close()
        links.close()
    }
    val seeds = settings.control.seeds
    logger.info("process started vm={} voter={} link={} seeds={}", settings.vm.id, log.id, own, seeds)
    log
}

private fun rolloutOwner(
    machine: ServingStateMachine,
    servingState: ServingStateAccess,
    evidence: EvidenceTable,
    clock: Clock,
): RolloutOwner = RolloutOwner(
    RolloutOwnerDependencies(
        { machine.snapshots.value },
        { servingState.isLeader },
        servingState::submitAsLeader,
        evidence,
        clock,
        wallClock(),
    ),
)

/** Listens for calls of operators and targets, and for reads of the metrics. */
private suspend fun listen(
    settings: FleetControlSettings,
    api: ControlApi,
    meters: PrometheusMeterRegistry,
): Either<String, Unit> = either {
    val traffic = Traffic()
    val requests = validatedAddress(settings.listen.requests)
    meters.measurePeers(traffic.peerMemory)
    val budget = byteBudgetOfHeap(leastBytes = 2L * MAX_CALL_BYTES)
    traffic.listen(requests, {
        MAX_HEADER_BYTES
    }) { it.serveBuffered(MAX_CALL_BYTES, budget, respond = api::handle) }.bind()
    listenForMetrics(traffic, validatedAddress(settings.listen.metrics), meters).bind()
}

/**
 * Listens at [address] for reads of the metrics of this process. The metrics of the JVM begin with the first read,
 * because the classes for them would only delay the start.
 */
internal suspend fun listenForMetrics(
    traffic: Traffic,
    address: Address,
    meters: PrometheusMeterRegistry,
): Either<String, Unit> {
    val measurement = lazy { meters.measureProcess() }
    return traffic.listen(address, { MAX_HEADER_BYTES }) { connection ->
        connection.serveBuffered(0, byteBudgetOfHeap(0)) {
            measurement.value
            HttpReply(OK, meters.scrape().encodeToByteArray(), "text/plain; version=0.0.4")
        }
    }.map { }
}

/** Measures what the peers of accepted connections hold. */
internal fun PrometheusMeterRegistry.measurePeers(memory: PeerMemory) {
    gauge("fulmarshunt_peer_memory_bytes", memory) { it.heldBytes.toDouble() }
    gauge("fulmarshunt_peer_connections_closed", memory) { it.closedConnections.toDouble() }
}

private const val OK = 200
