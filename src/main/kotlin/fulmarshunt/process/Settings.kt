/*
 * Reading of the settings file of a process. Settings are TOML; unknown keys and wrong types are errors, so that a typo
 * is found when the process starts. Every error is one line that names the file, the field and the fix.
 */
package fulmarshunt.process

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import net.peanuuutz.tomlkt.Toml
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** The reason why settings cannot be used, in one line. */
@JvmInline
public value class SettingsProblem(public val message: String) {
    override fun toString(): String = message
}

private val toml = Toml { ignoreUnknownKeys = false }

/**
 * Reads the settings file at [path] and applies [check] to the result.
 *
 * @return the settings, or the first problem found.
 */
public fun <T> readSettings(
    path: Path,
    serializer: KSerializer<T>,
    check: SettingsCheck<T> = { it.right() },
): Either<SettingsProblem, T> = try {
    parseSettings(path.readText(), serializer, check).mapLeft { SettingsProblem("$path: ${it.message}") }
} catch (e: IOException) {
    SettingsProblem("$path: cannot be read (${e::class.simpleName}): give the path of a readable file").left()
}

/**
 * Parses the TOML [text] and applies [check] to the result.
 *
 * @return the settings, or the first problem found.
 */
public fun <T> parseSettings(
    text: String,
    serializer: KSerializer<T>,
    check: SettingsCheck<T> = { it.right() },
): Either<SettingsProblem, T> = checkNesting(text).flatMap { parseBounded(text, serializer, check) }

private fun <T> parseBounded(
    text: String,
    serializer: KSerializer<T>,
    check: SettingsCheck<T>,
): Either<SettingsProblem, T> = try {
    val table = toml.parseToTomlTable(text)
    val problem = findStructureProblem(table, serializer.descriptor)
    problem?.left() ?: toml.decodeFromTomlElement(serializer, table).right().flatMap(check)
} catch (e: IllegalArgumentException) {
    SettingsProblem("is not valid TOML: ${e.toLine()}").left()
} catch (e: IllegalStateException) {
    SettingsProblem("is not valid TOML: ${e.toLine()}").left()
}

private fun Exception.toLine(): String = (message ?: this::class.simpleName.orEmpty())
    .lineSequence()
    .map { it.trim() }
    .filter { it.isNotEmpty() }
    .joinToString(" ")
