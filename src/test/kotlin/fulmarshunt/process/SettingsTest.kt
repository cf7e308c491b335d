/*
 * The error line for each kind of mistake in a settings file.
 */
package fulmarshunt.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeText

@Serializable
private data class Sample(
    @SerialName("timeout_ms") val timeoutMs: Long,
    val ratio: Double = 1.0,
    val names: List<String> = emptyList(),
    val link: DialSettings? = null,
)

private val sampleCheck: SettingsCheck<Sample> =
    checkAll(
        { inRange("timeout_ms", it.timeoutMs, 1L..60_000L) },
        { positive("ratio", it.ratio) },
        { sample -> each("names", sample.names, ::validPeerAddress) },
        { sample -> strongSecret("link.secret", sample.link?.secret ?: Secret("long enough to pass")) },
    )

private fun problemOf(text: String): String? =
    parseSettings(text, Sample.serializer(), sampleCheck).leftOrNull()?.message

class SettingsTest {
    /** Guards against messages that do not name the field or the fix. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "timeout_s = 1      | timeout_s: has the wrong unit: use timeout_ms, in milliseconds",
            "timeout = 1        | timeout: has no unit: use timeout_ms, in milliseconds",
            "timeuot_ms = 1     | timeuot_ms: is not a known key: did you mean timeout_ms?",
            "colour = 1         | colour: is not a known key: use one of timeout_ms, ratio, names, link",
            "timeout_ms = '1'   | timeout_ms: has the wrong type: it must be a whole number: write digits only",
            "timeout_ms = 1.5   | timeout_ms: has the wrong type: it must be a whole number: write digits only",
            "ratio = 1          | timeout_ms: is missing: add it as a whole number",
            "timeout_ms = 0     | timeout_ms: 0 is out of range: use 1 to 60000",
            "timeout_ms = 1; ratio = 0      | ratio: 0.0 is out of range: use a number greater than 0",
            "timeout_ms = 1; names = 'a'    | names: has the wrong type: it must be a list: write it in [brackets]",
            "timeout_ms = 1; names = [1]    | names[0]: has the wrong type: it must be text: write \"1\"",
            "timeout_ms = 1; names = ['a']  | names[0]: \"a\" is not of the form host:port: write it as \"IP:PORT\"",
            "timeout_ms = 1; names = ['a:0'] | names[0]: \"a:0\" has port 0: use the port that the process listens at",
            "timeout_ms = 1; link = { secret = '' } | link.secret: is empty: give a random secret",
            "timeout_ms = 1; link = { secret = 's3cret' } | link.secret: is too short: use at least 16 " +
                "random characters",
        ],
        quoteCharacter = '`',
    )
    fun `a problem names the field and the fix`(text: String, expected: String) {
        expectThat(problemOf(text.replace("; ", "\n"))).isEqualTo(expected)
    }

    /** Guards against a syntax error that is reported in several lines or with a stack trace. */
    @Test
    fun `text that is not TOML is reported in one line`() {
        expectThat(problemOf("timeout_ms = = 1\n[")!!) {
            startsWith("is not valid TOML: ")
            not().contains("\n")
        }
    }

    /** Guards against messages that do not say which of several files is wrong. */
    @Test
    fun `a problem names the file`(@TempDir directory: Path) {
        val file = directory.resolve("entry.toml").also { it.writeText("[vm]\nid = 3\n") }
        val message = readSettings(file, EntrySettings.serializer()).leftOrNull()!!.message
        expectThat(message).startsWith("$file: vm.id: ")
        val missing = readSettings(directory.resolve("none.toml"), EntrySettings.serializer()).leftOrNull()!!.message
        expectThat(missing).contains("none.toml: cannot be read")
    }

    /** Guards against secrets that reach logs through the text form of settings. */
    @Test
    fun `a secret does not appear in the text form of settings`() {
        expectThat(LinkSettings("a:1", Secret("open sesame")).toString()).not().contains("sesame")
    }

    /** Guards against a file that ends the process because the parser recurses deeper than any stack. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "timeout_ms = 1; names = @ | [        | names: line 2 nests more than 16 deep",
            "timeout_ms = 1; link = @  | { a =    | link: line 2 nests more than 16 deep",
            "timeout_ms = 1; [a@]      | .a       | [a.a.a",
            "a@ = 1                    | ' . a'   | a . a . a",
            "a = '[[['; b = @          | [ ' # [',| b: line 2 nests more than 16 deep",
        ],
    )
    fun `deep nesting is a problem in one line`(template: String, level: String, expected: String) {
        val text = template.replace("; ", "\n").replace("@", level.repeat(200_000))
        expectThat(problemOf(text)).isNotNull().startsWith(expected).not().contains("\n")
    }

    /** Guards against brackets in strings and comments, and against many tables beside each other, being refused. */
    @Test
    fun `brackets that do not nest are accepted`() {
        val text = "# ${"[".repeat(40)}\ntimeout_ms = 1 # ${"{".repeat(40)}\nnames = [${"'[[[[[:80', ".repeat(40)}]\n"
        expectThat(problemOf(text)).isNull()
        expectThat(
            checkNesting("a = \"\"\"\n${"[".repeat(40)}\\\"\"\"\"\n${"[b.c]\n".repeat(40)}").getOrNull(),
        ).isEqualTo(Unit)
    }
}
