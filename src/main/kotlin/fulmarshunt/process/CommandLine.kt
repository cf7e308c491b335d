/*
 * Parsing of the command line with kotlinx-cli. The library prints messages over several lines and ends the process
 * with code 127; here the outcome of parsing is a value instead.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.util.Properties

/** Why the program must not run: [text] is for standard output if [code] is done, and otherwise for standard error. */
internal class ParsingOutcome(val code: ExitCode, val text: String)

private class ParsingStopped(val outcome: ParsingOutcome) : RuntimeException(null, null, false, false)

/** Parses [args] with [parser] and its [subcommands]; returns the outcome if the program must not run. */
internal fun parseCommandLine(
    parser: ArgParser,
    subcommands: List<Subcommand>,
    args: List<String>,
): Either<ParsingOutcome, Unit> = try {
    (subcommands + parser).forEach { stopByException(it) }
    parser.parse(args.toTypedArray())
    Unit.right()
} catch (e: ParsingStopped) {
    e.outcome.left()
} catch (e: IllegalStateException) {
    ParsingOutcome(ExitCode.USAGE, e.message.orEmpty()).left()
}

/**
 * Replaces the function with which [parser] ends the process. The property is internal to the library, which has no
 * public way to set the exit code, so the setter is called by its name in the class file.
 */
private fun stopByException(parser: ArgParser) {
    val terminate: (String, Int) -> Nothing = { text, code ->
        val isHelp = code == 0
        val line = if (isHelp) text else text.lineSequence().first { it.isNotBlank() }
        throw ParsingStopped(ParsingOutcome(if (isHelp) ExitCode.DONE else ExitCode.USAGE, line.trimEnd()))
    }
    ArgParser::class.java.methods.single { it.name.startsWith("setOutputAndTerminate") }.invoke(parser, terminate)
}

/** Returns the version of this build, or `development` outside a jar. */
internal fun programVersion(): String =
    ExitCode::class.java.getResourceAsStream("/META-INF/maven/fulmarshunt/fulmarshunt/pom.properties")?.use {
        Properties().apply { load(it) }.getProperty("version")
    } ?: "development"
