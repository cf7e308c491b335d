/*
 * Reloading of settings while a process runs.
 */
package fulmarshunt.process

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.deleteExisting
import kotlin.io.path.writeText

class ReloadedSettingsTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against settings that are lost while the file is unusable, or that are parsed again without a change. */
    @Test
    fun `the latest usable settings stay in effect`() {
        val file = directory.resolve("settings.toml")
        var parsed = 0
        val settings = ReloadedSettings(file, { text ->
            parsed += 1
            text.toIntOrNull()
        }, 0)
        settings.reload()
        expectThat(settings.current).isEqualTo(0)
        file.writeText("1")
        repeat(3) { settings.reload() }
        expectThat(settings.current).isEqualTo(1)
        expectThat(parsed).isEqualTo(1)
        file.writeText("cut off")
        settings.reload()
        file.deleteExisting()
        settings.reload()
        expectThat(settings.current).isEqualTo(1)
        file.writeText("2")
        settings.reload()
        expectThat(settings.current).isEqualTo(2)
    }
}
