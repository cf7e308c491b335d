/*
 * Settings that may change while a process runs. The file is read on another thread than those that use the settings,
 * and parsed only when its text has changed; a file that cannot be used leaves the settings as they were.
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
import kotlin.io.path.readText

/** How often the file is read; a change is in use at most this much later. */
private const val RELOAD_PERIOD_MS = 1_000L

/** The newest usable settings of a process. */
public class ReloadedSettings<T> internal constructor(
    private val path: Path,
    private val parse: (String) -> T?,
    initial: T,
) {
    private val log = LogManager.getLogger(ReloadedSettings::class.java)
    private var text: String? = null

    /** The newest settings; may be read on any thread. */
    @Volatile
    public var current: T = initial
        private set

    /** Reads the file again if its text has changed. Must not be called on the control thread. */
    internal fun reload() {
        val newest = try {
            path.readText()
        } catch (e: IOException) {
            log.warn("settings unreadable path={} problem={}", path, e.message)
            return
        }
        if (newest == text) return
        text = newest
        parse(newest)?.let { current = it }
    }
}

/** Returns [initial], replaced whenever the file at [path] holds other usable settings, until [scope] ends. */
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
