/*
 * Settings that may change while a process runs. The file is read on a separate thread and parsed only when its text
 * has changed; a file that cannot be used leaves the previous settings in effect.
 */
package fulmarshunt.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.nio.file.Path

/** How often the file is read; a change takes effect after at most this time. */
private const val RELOAD_PERIOD_MS = 1_000L

/** The latest usable settings of a process. */
public class ReloadedSettings<T> internal constructor(
    private val path: Path,
    private val parse: (String) -> T?,
    initial: T,
) {
    private val log = LogManager.getLogger(ReloadedSettings::class.java)
    private var text: String? = null

    /** The latest usable settings; may be read on any thread. */
    @Volatile
    public var current: T = initial
        private set

    /** Reads the file, and parses it if its text has changed. Must not be called on the control thread. */
    internal fun reload() {
        val newest = try {
            // Channels read through direct buffers, which the connections of a process may have used up.
            path.toFile().readText()
        } catch (e: IOException) {
            log.warn("settings unreadable path={} problem={}", path, e.message)
            return
        }
        if (newest == text) return
        text = newest
        parse(newest)?.let { current = it }
    }
}

/** Returns settings that start as [initial] and are reloaded from the file at [path] until [scope] ends. */
public fun <T> reloadedSettings(
    path: Path,
    serializer: KSerializer<T>,
    check: SettingsCheck<T>,
    initial: T,
    scope: CoroutineScope,
): ReloadedSettings<T> {
    val log = LogManager.getLogger(ReloadedSettings::class.java)
    val parse = { text: String ->
        parseSettings(text, serializer, check)
            .onLeft { log.warn("settings unusable path={} problem={}", path, it) }
            .getOrNull()
    }
    val settings = ReloadedSettings(path, parse, initial)
    scope.launch(Dispatchers.IO) {
        while (true) {
            settings.reload()
            delay(RELOAD_PERIOD_MS)
        }
    }
    return settings
}
