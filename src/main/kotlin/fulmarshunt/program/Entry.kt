/*
 * The program of an entry VM: serves callers, takes announcements of targets and hosts the pools that control assigns.
 */
package fulmarshunt.program

import arrow.core.getOrElse
import fulmarshunt.platform.EntrySettings
import fulmarshunt.platform.ExitCode
import fulmarshunt.platform.ProgramEnd
import fulmarshunt.platform.entrySettingsCheck
import fulmarshunt.platform.processMain
import fulmarshunt.platform.readSettings
import fulmarshunt.platform.serveUntilTerminated

/** What a graceful shutdown may take beyond the configured times. */
private const val SHUTDOWN_MARGIN_MS = 15_000L

/** Starts the program. */
public fun main(args: Array<String>): Unit = processMain("entry", args) { path ->
    val settings =
        readSettings(path, EntrySettings.serializer(), entrySettingsCheck)
            .getOrElse { return@processMain ProgramEnd(ExitCode.USAGE, it.message) }
    val process = startEntry(settings).getOrElse { return@processMain ProgramEnd(ExitCode.USAGE, it) }
    val limitMs = settings.shutdown.drainDelayMs + settings.shutdown.finishLimitMs + SHUTDOWN_MARGIN_MS
    serveUntilTerminated(limitMs) { process.shutDown() }
    ProgramEnd(ExitCode.DONE)
}
