/*
 * The program that turns a joining team's answers into configuration.
 */
package fulmarshunt.program

import fulmarshunt.operator.cli.runQuestionnaire
import fulmarshunt.process.standardConsole
import kotlin.system.exitProcess

/** Starts the program. */
public fun main(args: Array<String>) {
    exitProcess(runQuestionnaire(args.toList(), standardConsole(), System::getenv, ::readlnOrNull).number)
}
