/*
 * The program with which operators submit orders to control.
 */
package fulmarshunt.program

import fulmarshunt.operator.cli.runOrders
import fulmarshunt.process.standardConsole
import kotlin.system.exitProcess

/** Runs the program. */
public fun main(args: Array<String>) {
    exitProcess(runOrders(args.toList(), standardConsole(), System::getenv).number)
}
