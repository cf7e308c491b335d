/*
 * Runs the main function of the demonstration and of the measurement programs.
 */
package fulmarshunt.standin

import kotlin.system.exitProcess

private const val FAILED = 1
private const val USAGE = 2

/**
 * Runs [block] with the `name=value` arguments of the program [name] and ends the process: with code 0, or with one
 * line and code 1 after a failure, when the threads of open links would keep the process alive, or with code 2 for an
 * argument that is not one of [known].
 */
fun runTool(name: String, arguments: Array<String>, known: Set<String>, block: (Map<String, String>) -> Unit): Nothing {
    val unknown = arguments.firstOrNull { '=' !in it || it.substringBefore('=') !in known }
    if (unknown != null) {
        val expected = known.joinToString { "$it=..." }.ifEmpty { "no argument" }
        System.err.println("$name: $unknown: is not a known argument: use $expected")
        exitProcess(USAGE)
    }
    val code =
        try {
            block(arguments.associate { it.substringBefore('=') to it.substringAfter('=') })
            0
        } catch (e: Exception) {
            System.err.println("$name: failed: ${e.message ?: e}")
            FAILED
        }
    exitProcess(code)
}
