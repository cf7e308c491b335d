/*
 * The program with which operators give orders.
 */
package fulmarshunt.program

import fulmarshunt.operator.cli.runOrders
import fulmarshunt.process.standardConsole
import kotlin.system.exitProcess

/** Starts the program. */
public fun main(args: Array<String>) {
    exitProcess(runOrders(args.toList(), standardConsole(), System::getenv).number)
}
