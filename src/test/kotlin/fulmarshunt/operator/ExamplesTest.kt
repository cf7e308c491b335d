/*
 * The files of the example deployments, read by the parsers of the programs.
 */
package fulmarshunt.operator

import arrow.core.Either
import fulmarshunt.operator.cli.readAnswers
import fulmarshunt.operator.cli.readOperatorSettings
import fulmarshunt.process.ControlSettings
import fulmarshunt.process.EntrySettings
import fulmarshunt.process.controlSettingsCheck
import fulmarshunt.process.entrySettingsCheck
import fulmarshunt.process.readSettings
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isNull
import java.nio.file.Path

class ExamplesTest {
    /** Guards against example files that the programs reject. */
    @ParameterizedTest
    @ValueSource(strings = ["vatuvara", "repasso"])
    fun `every example file is accepted`(deployment: String) {
        val folder = Path.of("examples", deployment)
        val results: List<Either<Any, Any>> =
            listOf(
                readAnswers(folder.resolve("answers.toml")),
                readOperatorSettings(folder.resolve("operator.toml")),
                readSettings(folder.resolve("control.toml"), ControlSettings.serializer(), controlSettingsCheck),
                readSettings(folder.resolve("entry.toml"), EntrySettings.serializer(), entrySettingsCheck),
            )
        results.forEach { expectThat(it.leftOrNull()).isNull() }
        val answers = readAnswers(folder.resolve("answers.toml")).getOrNull()!!
        expectThat(answers.failureDomains).hasSize(3)
        val applied = Configuration().withAll(Configuration().plan(answers, randomKeys()).changes)
        expectThat(applied.plan(answers, randomKeys()).changes).isEmpty()
    }
}
