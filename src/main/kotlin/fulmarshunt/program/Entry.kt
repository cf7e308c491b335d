/*
 * The program of an entry VM: serves callers, takes announcements of targets and hosts the pools that control assigns.
 */
package fulmarshunt.program

import arrow.core.getOrElse
import fulmarshunt.process.EntrySettings
import fulmarshunt.process.ExitCode
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.entrySettingsCheck
import fulmarshunt.process.processMain
import fulmarshunt.process.readSettings
import fulmarshunt.process.serveUntilTerminated

/** What a graceful shutdown may take beyond the configured times. */
private const val SHUTDOWN_MARGIN_MS = 15_000L

/** Starts the program. */
public fun main(args: Array<String>): Unit = processMain("entry", args) { path ->
    val settings =
        readSettings(path, EntrySettings.serializer(), entrySettingsCheck)
            .getOrElse { return@processMain ProgramOutcome(ExitCode.USAGE, it.message) }
    val process = startEntry(settings).getOrElse { return@processMain ProgramOutcome(ExitCode.USAGE, it) }
    val limitMs = settings.shutdown.drainDelayMs + settings.shutdown.finishLimitMs + SHUTDOWN_MARGIN_MS
    serveUntilTerminated(limitMs) { process.shutDown() }
    ProgramOutcome(ExitCode.DONE)
}
