/*
 * The program of an entry VM: reads the settings, wires the parts and serves until it is stopped.
 */
package fulmarshunt.program

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.VmId
import fulmarshunt.caller.GenerationParts
import fulmarshunt.caller.generationService
import fulmarshunt.caller.http.chatRoutes
import fulmarshunt.entry.EntrySettings
import fulmarshunt.monotonicClock
import fulmarshunt.parseAddress
import fulmarshunt.platform.readSettings
import fulmarshunt.platform.startControlThread
import fulmarshunt.target.TargetTable
import fulmarshunt.target.http.announceRoutes
import fulmarshunt.target.http.httpEngineClient
import fulmarshunt.wallClock
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlin.io.path.Path
import kotlin.system.exitProcess

private const val EXIT_SETTINGS = 2

/** Starts an entry VM's process. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("entry")
    val settingsFile by parser.option(ArgType.String, "settings", description = "TOML settings file").required()
    parser.parse(arguments)
    val settings = readSettings(Path(settingsFile), EntrySettings.serializer()).fold({ fail(it.message) }, { it })
    val callers = addressOf("callers.listen", settings.callers.listen)
    val targets = addressOf("targets.listen", settings.targets.listen)
    serveEntry(VmId(settings.vm.id), callers, targets)
}

private fun serveEntry(vm: VmId, callers: Address, targets: Address) {
    val clock = monotonicClock()
    val control = startControlThread()
    val table = TargetTable()
    val generate =
        generationService(
            GenerationParts(
                vm = vm,
                admit = { request -> control.run { table.admit(request, clock.nowMs()) } },
                reportEnd = { request, granted, _, _ -> control.run { table.end(request.ticket, granted.target) } },
                engine = httpEngineClient(),
            ),
        )
    listen(targets) { announceRoutes { control.run { table.announce(it, clock.nowMs()) } } }
    val server = listen(callers) { chatRoutes({ key -> ClientAccountId(key) }, generate, wallClock()) }
    Runtime.getRuntime().addShutdownHook(Thread { server.stop() })
    Thread.currentThread().join()
}

private fun listen(address: Address, routes: Route.() -> Unit) =
    embeddedServer(CIO, port = address.port, host = address.host) { routing { routes() } }.start(wait = false)

private fun addressOf(field: String, text: String): Address = parseAddress(text).fold({ fail("$field: $it") }, { it })

private fun fail(message: String): Nothing {
    System.err.println("entry: $message")
    exitProcess(EXIT_SETTINGS)
}
