/*
 * The rate at which a voter applies commands at the planned size, printed for the capacity page. The bounds are loose
 * and fail only when a change copies the complete state for each command.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan

private const val ACCOUNTS = 5_500
private const val CLAIMS = 100_000
private const val GROUP = 50

class ApplyRateTest {
    private val machine = controlStateMachineOf()
    private var index = 0L

    private fun apply(commands: List<LogCommand>) {
        index += 1
        machine.asReplicated.apply(LogIndex(index), encodeCommands(commands))
    }

    private fun measure(what: String, count: Int, run: () -> Unit): Double {
        val start = System.nanoTime()
        run()
        val micros = (System.nanoTime() - start) / 1_000.0 / count
        println("%s: %.1f us each, %.0f/s".format(what, micros, 1_000_000 / micros))
        return micros
    }

    /** Guards against commands whose cost grows with the size of the complete state. */
    @Test
    fun `commands and claims are applied without copying the state`() {
        apply(listOf(firstOperator()))
        measure("accounts up to $ACCOUNTS", ACCOUNTS) {
            repeat(ACCOUNTS) { apply(listOf(accountCommand(it, it + 1L))) }
        }
        val command =
            measure("one account of $ACCOUNTS", 500) {
                repeat(500) { apply(listOf(accountCommand(ACCOUNTS + it, ACCOUNTS + it + 1L))) }
            }
        val claims = CLAIMS - 10_000
        measure("claims up to $claims", claims) { claimGroups(0, claims) }
        val claim = measure("claims from $claims to $CLAIMS", 10_000) { claimGroups(claims, CLAIMS) }
        val snapshot = measure("snapshot of ${machine.asReplicated.snapshot()().size} bytes", 1) {
            machine.asReplicated.snapshot()()
        }
        expectThat(command).isLessThan(20_000.0)
        expectThat(claim).isLessThan(2_000.0)
        expectThat(snapshot).isLessThan(10_000_000.0)
    }

    private fun claimGroups(from: Int, until: Int) =
        (from until until step GROUP).forEach { first -> apply((first until first + GROUP).map(::recordClaim)) }
}
