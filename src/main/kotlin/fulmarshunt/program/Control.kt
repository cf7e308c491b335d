/*
 * The program of a control VM: a voter of the replicated log that grants leases while it leads.
 */
package fulmarshunt.program

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.ControlSettings
import fulmarshunt.process.ExitCode
import fulmarshunt.process.FirstOperatorSettings
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.controlSettingsCheck
import fulmarshunt.process.http.PlatformServer
import fulmarshunt.process.http.startPlatformServer
import fulmarshunt.process.processMain
import fulmarshunt.process.processMetrics
import fulmarshunt.process.reachableAddress
import fulmarshunt.process.readSettings
import fulmarshunt.process.serveUntilTerminated
import fulmarshunt.process.startControlThread
import fulmarshunt.process.validatedAddress
import fulmarshunt.voter.AddFirstOperator
import fulmarshunt.voter.ReplicatedLog
import fulmarshunt.voter.VoterSettings
import fulmarshunt.voter.access
import fulmarshunt.voter.awaitReplicatedLog
import fulmarshunt.voter.bindDiskMetric
import fulmarshunt.voter.bindMetrics
import fulmarshunt.voter.controlServiceOf
import fulmarshunt.voter.controlStateMachineOf
import fulmarshunt.voter.fixedInitialVoters
import fulmarshunt.wallClock
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicBoolean

/** The maximum duration of a shutdown, which waits only for the disk. */
private const val SHUTDOWN_LIMIT_MS = 5_000L

/** Runs the program. */
public fun main(args: Array<String>): Unit = processMain("control", args) { path ->
    val settings =
        readSettings(path, ControlSettings.serializer(), controlSettingsCheck)
            .getOrElse { return@processMain ProgramOutcome(ExitCode.USAGE, it.message) }
    startControl(settings).fold({ it }) { it.serve() }
}

/** A running control process; a shutdown closes its components in order. */
private class ControlProcess(
    private val log: ReplicatedLog,
    private val links: Links,
    private val platform: PlatformServer,
) {
    private val logger = LogManager.getLogger("fulmarshunt.program.Control")
    private val isStopping = AtomicBoolean()

    suspend fun serve(): ProgramOutcome = coroutineScope {
        launch {
            val failure = log.failure.filterNotNull().first()
            if (!isStopping.get()) halt(failure)
        }
        serveUntilTerminated(SHUTDOWN_LIMIT_MS) {
            isStopping.set(true)
            platform.close()
            log.close()
            links.close()
        }
        ProgramOutcome(ExitCode.DONE)
    }

    /** Ends the process without the graceful shutdown, which would report success. */
    private fun halt(failure: String) {
        logger.fatal("The replicated log has stopped: {}", failure)
        LogManager.shutdown()
        Runtime.getRuntime().halt(ExitCode.BROKEN_INVARIANT.number)
    }
}

private suspend fun startControl(settings: ControlSettings): Either<ProgramOutcome, ControlProcess> = either {
    val directory = Path.of(settings.data.directory)
    createDirectory(directory).onLeft { raise(ProgramOutcome(ExitCode.USAGE, "data.directory: $it")) }
    val control = startControlThread()
    val clock = monotonicClock()
    val machine = controlStateMachineOf()
    val voter =
        VoterSettings(
            settings.vm.id,
            settings.reachableAddress(),
            directory,
            settings.voters.bootstrap,
            fixedInitialVoters(settings.voters.members.associate { it.vm to validatedAddress(it.address) }),
        )
    val log =
        awaitReplicatedLog(voter, machine.asReplicated, control, clock)
            .getOrElse {
                raise(ProgramOutcome(if (it.isDamaged) ExitCode.BROKEN_INVARIANT else ExitCode.USAGE, it.message))
            }
    val service =
        controlServiceOf(control, machine, log.access(), firstOperator(settings.operator), clock, wallClock())
    val handlers = service.handlers(log.handlers(LinkHandlers()))
    val links = linksOf(settings.vm.id.value, settings.link.secret.value, handlers)
    links.listen(validatedAddress(settings.link.listen)).onLeft {
        raise(ProgramOutcome(ExitCode.USAGE, "link.listen: $it"))
    }
    val metrics = processMetrics()
    bindMetrics(metrics, machine, log.leadership)
    bindDiskMetric(metrics, log.diskProblem)
    val platform =
        startPlatformServer(validatedAddress(settings.platform.listen), metrics) {
            if (log.leadership.value.leader == null) "no leader is known" else null
        }.getOrElse { raise(ProgramOutcome(ExitCode.USAGE, "platform.listen: $it")) }
    log.start(links)
    service.start()
    ControlProcess(log, links, platform)
}

private fun firstOperator(settings: FirstOperatorSettings): AddFirstOperator? {
    val id = settings.id ?: return null
    return AddFirstOperator(id, settings.keySha256 ?: return null)
}

private fun createDirectory(directory: Path): Either<String, Unit> = try {
    Files.createDirectories(directory)
    Unit.right()
} catch (e: IOException) {
    "$directory cannot be created (${e::class.simpleName}): give the path of a writable directory".left()
}
