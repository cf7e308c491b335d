/*
 * The answers to the questionnaire as a TOML file, validated in the same way as answers on the terminal.
 */
package fulmarshunt.operator.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.operator.Answers
import fulmarshunt.operator.findProblem
import fulmarshunt.process.SettingsCheck
import fulmarshunt.process.SettingsProblem
import fulmarshunt.process.parseSettings
import fulmarshunt.process.readSettings
import java.nio.file.Path

private val answersCheck: SettingsCheck<Answers> = { answers ->
    findProblem(answers)?.let { SettingsProblem(it).left() } ?: answers.right()
}

/** Reads and validates the answers file at [path]. */
public fun readAnswers(path: Path): Either<SettingsProblem, Answers> =
    readSettings(path, Answers.serializer(), answersCheck)

/** Parses and validates the text of an answers file. */
public fun parseAnswers(text: String): Either<SettingsProblem, Answers> =
    parseSettings(text, Answers.serializer(), answersCheck)
