/*
 * The program that converts the answers of a team that joins into configuration.
 */
package fulmarshunt.program

import fulmarshunt.operator.cli.runQuestionnaire
import fulmarshunt.process.standardConsole
import kotlin.system.exitProcess

/** Runs the program. */
public fun main(args: Array<String>) {
    exitProcess(runQuestionnaire(args.toList(), standardConsole(), System::getenv, ::readlnOrNull).number)
}
