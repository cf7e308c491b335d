/*
 * The `orders` program, which executes one order from the command line.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.operator.cli

import arrow.core.getOrElse
import fulmarshunt.operator.DrainOrder
import fulmarshunt.operator.executeOrder
import fulmarshunt.process.Console
import fulmarshunt.process.ExitCode
import fulmarshunt.process.ProgramOptions
import fulmarshunt.process.ProgramOutcome
import fulmarshunt.process.runProgram
import kotlinx.cli.ExperimentalCli

/** Runs `orders` with [args] and returns its exit code. */
public fun runOrders(args: List<String>, console: Console, environment: Environment): ExitCode {
    lateinit var arguments: OrderArguments
    val options =
        ProgramOptions { parser ->
            arguments = OrderArguments(parser)
            arguments.subcommands
        }
    return runProgram("orders", args, console, options) { path ->
        val order = arguments.order().getOrElse { return@runProgram ProgramOutcome(ExitCode.USAGE, it) }
        val submission = arguments.options().getOrElse { return@runProgram ProgramOutcome(ExitCode.USAGE, it) }
        withControlTransport(path, environment, arguments.limits) { transport, credentials ->
            if (order is DrainOrder && !arguments.isJson) console.print("command id ${submission.commandId}")
            val result = executeOrder(order, transport, credentials, submission)
            if (arguments.isJson) console.print(result.toJson()) else result.toLines().forEach(console.print)
            result.toProgramOutcome()
        }.getOrElse { ProgramOutcome(ExitCode.USAGE, it.message) }
    }
}
