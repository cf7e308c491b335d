/*
 * The `questionnaire` program. It reads answers from a file or the terminal, determines the changes that they require
 * and submits the changes as one command.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.operator.cli

import arrow.core.getOrElse
import fulmarshunt.operator.Answers
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.ConfigurationPlan
import fulmarshunt.operator.ConfigurationRead
import fulmarshunt.operator.Credentials
import fulmarshunt.operator.KeySource
import fulmarshunt.operator.OperatorClientLimits
import fulmarshunt.operator.OperatorCommand
import fulmarshunt.operator.OperatorTransport
import fulmarshunt.operator.OrderAccepted
import fulmarshunt.operator.OrderUnanswered
import fulmarshunt.operator.describe
import fulmarshunt.operator.describeDifference
import fulmarshunt.operator.findKeyConflict
import fulmarshunt.operator.newCommandId
import fulmarshunt.operator.plan
import fulmarshunt.operator.randomKeys
import fulmarshunt.operator.readConfiguration
import fulmarshunt.operator.submitCommand
import fulmarshunt.operator.withAll
import fulmarshunt.process.Console
import fulmarshunt.process.ExitCode
import fulmarshunt.process.ProgramOptions
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.runProgram
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import java.nio.file.Path

private const val DEFAULT_WAIT_MS = 5_000

private class QuestionnaireArguments(parser: ArgParser) {
    val answers by parser
        .option(ArgType.String, "answers", description = "Path of an answers file (TOML); without it, ask here")
    val isConfirmed by parser
        .option(ArgType.Boolean, "yes", description = "Submit without asking for confirmation")
        .default(false)
    val isDryRun by parser
        .option(ArgType.Boolean, "dry-run", description = "Show the changes and submit nothing")
        .default(false)
    val waitMs by parser
        .option(ArgType.Int, "wait-ms", description = "How long to wait until the command is in effect everywhere")
        .default(DEFAULT_WAIT_MS)
    val deadlineMs by parser
        .option(ArgType.Int, "deadline-ms", description = "How long to look for an answer from control")
        .default(OperatorClientLimits().deadlineMs.toInt())
}

/** Runs `questionnaire` with [args] and returns its exit code. */
public fun runQuestionnaire(
    args: List<String>,
    console: Console,
    environment: Environment,
    readLine: LineSource,
    newKey: KeySource = randomKeys(),
): ExitCode {
    lateinit var arguments: QuestionnaireArguments
    val options =
        ProgramOptions { parser ->
            arguments = QuestionnaireArguments(parser)
            emptyList()
        }
    return runProgram("questionnaire", args, console, options) { path ->
        if (arguments.waitMs < 0) return@runProgram ProgramOutcome(ExitCode.USAGE, "--wait-ms: use 0 or more")
        if (arguments.deadlineMs <= 0) return@runProgram ProgramOutcome(ExitCode.USAGE, "--deadline-ms: use 1 or more")
        val limits = OperatorClientLimits(deadlineMs = arguments.deadlineMs.toLong())
        withControlTransport(path, environment, limits) { transport, credentials ->
            val answersPath = arguments.answers
            val answers =
                if (answersPath == null) {
                    askQuestions(console.print, readLine)
                } else {
                    readAnswers(Path.of(answersPath)).mapLeft { it.message }
                }
            answers.fold(
                { ProgramOutcome(ExitCode.USAGE, it) },
                { AnswerSubmission(arguments, console, readLine, newKey, transport, credentials).submit(it) },
            )
        }.getOrElse { ProgramOutcome(ExitCode.USAGE, it.message) }
    }
}

/** Submits the changes that answers require, after confirmation. */
private class AnswerSubmission(
    private val arguments: QuestionnaireArguments,
    private val console: Console,
    private val readLine: LineSource,
    private val newKey: KeySource,
    private val transport: OperatorTransport,
    private val credentials: Credentials,
) {
    suspend fun submit(answers: Answers): ProgramOutcome {
        val current =
            when (val read = readConfiguration(transport, credentials)) {
                is ConfigurationRead.Found -> read.configuration
                is ConfigurationRead.Failed -> return read.result.toProgramOutcome()
            }
        current.findKeyConflict(answers)?.let { (answer, holder) ->
            return ProgramOutcome(
                ExitCode.REFUSED,
                "accounts: $answer has the key of $holder: give it a key of its own",
            )
        }
        val plan = current.plan(answers, newKey)
        if (plan.changes.isEmpty()) {
            console.print(
                "the configuration at revision ${current.revision} already matches the answers; nothing was submitted",
            )
            return ProgramOutcome(ExitCode.DONE)
        }
        printPlan(plan, current)
        if (arguments.isDryRun) {
            console.print("dry run: nothing was submitted")
            return ProgramOutcome(ExitCode.DONE)
        }
        if (!arguments.isConfirmed && !isConfirmedOnTerminal()) {
            return ProgramOutcome(ExitCode.REFUSED, "not confirmed: nothing was submitted")
        }
        return submit(plan, current, answers.team)
    }

    private fun printPlan(plan: ConfigurationPlan, current: Configuration) {
        console.print("changes:")
        plan.changes.forEach { console.print("  ${describe(it)}") }
        console.print("difference to revision ${current.revision}:")
        describeDifference(current, current.withAll(plan.changes)).forEach { console.print("  $it") }
    }

    private fun isConfirmedOnTerminal(): Boolean {
        console.print("Submit these changes? Write yes to submit:")
        return readLine()?.trim().equals("yes", ignoreCase = true)
    }

    /**
     * Submits [plan]. New keys are printed before the command is sent: otherwise a crash in between could leave an
     * accepted account with a key that nobody knows.
     */
    private suspend fun submit(plan: ConfigurationPlan, current: Configuration, team: String): ProgramOutcome {
        val command =
            OperatorCommand(newCommandId(), credentials.operator, current.revision, plan.changes, "answers of $team")
        console.print("command id ${command.id}")
        if (plan.issued.isNotEmpty()) console.print("new keys, shown only now; store them:")
        plan.issued.forEach { console.print("  ${it.holder}: ${it.key.value}") }
        val result = submitCommand(transport, credentials, command, arguments.waitMs.toLong(), current)
        result.toLines().forEach(console.print)
        if (result is OrderUnanswered) {
            return ProgramOutcome(
                ExitCode.UNREACHABLE,
                "${result.reason}; submit the same answers again to see which changes are in effect",
            )
        }
        if (result !is OrderAccepted && plan.issued.isNotEmpty()) console.print("the keys shown above are not valid")
        return result.toProgramOutcome()
    }
}
