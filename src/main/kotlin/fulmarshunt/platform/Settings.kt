/*
 * Reading the settings file of a process. Settings are TOML; unknown keys and wrong types are errors, so that a typing
 * mistake is found at the start and not in production. Every error is one line that names the file and the field.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import net.peanuuutz.tomlkt.Toml
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Why settings cannot be used, in one line. */
@JvmInline
public value class SettingsProblem(public val message: String) {
    override fun toString(): String = message
}

private val toml = Toml { ignoreUnknownKeys = false }

/**
 * Reads the settings file at [path].
 *
 * @return the settings, or the first problem found.
 */
public fun <T> readSettings(path: Path, strategy: DeserializationStrategy<T>): Either<SettingsProblem, T> = try {
    parseSettings(path.readText(), strategy).mapLeft { SettingsProblem("$path: ${it.message}") }
} catch (e: IOException) {
    SettingsProblem("$path: cannot be read: ${e.message}").left()
}

/**
 * Parses the TOML [text].
 *
 * @return the settings, or the first problem found.
 */
public fun <T> parseSettings(text: String, strategy: DeserializationStrategy<T>): Either<SettingsProblem, T> = try {
    toml.decodeFromString(strategy, text).right()
} catch (e: IllegalArgumentException) {
    SettingsProblem(e.message.orEmpty().lineSequence().joinToString(" ") { it.trim() }).left()
}
