/*
 * Exit codes and output of the common entry point of the programs, and the shutdown of a real process on SIGTERM.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.process

import fulmarshunt.operator.RecordedConsole
import kotlinx.cli.ExperimentalCli
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.single
import strikt.assertions.startsWith
import java.nio.channels.ClosedSelectorException
import java.util.Properties
import java.util.concurrent.TimeUnit

class ProcessMainTest {
    private val recorded = RecordedConsole()

    private fun run(vararg args: String, block: suspend () -> ProgramOutcome): ExitCode =
        runProgram("sample", args.toList(), recorded.console, ProgramOptions()) { block() }

    /** Guards against a stack trace on the console, and against a broken invariant that looks like a refusal. */
    @Test
    fun `a broken invariant is one line with its location and code 4`() {
        val code = run("--settings", "x") { error("two owners") }
        expectThat(code.number).isEqualTo(4)
        expectThat(recorded.problems)
            .single()
            .startsWith("sample: broken invariant: IllegalStateException: two owners at ProcessMainTest.kt:")
    }

    /** Guards against command lines that start the program although they are wrong. */
    @Test
    fun `a wrong command line is one line and code 2`() {
        expectThat(run { error("must not run") }.number).isEqualTo(2)
        expectThat(run("--settings") { error("must not run") }.number).isEqualTo(2)
        expectThat(run("--frob") { error("must not run") }.number).isEqualTo(2)
        expectThat(recorded.problems.size).isEqualTo(3)
    }

    /** Guards against help and version being treated as errors. */
    @Test
    fun `help and version go to standard output with code 0`() {
        expectThat(run("--help") { error("must not run") }.number).isEqualTo(0)
        expectThat(run("--version") { error("must not run") }.number).isEqualTo(0)
        expectThat(recorded.problems).isEmpty()
    }

    /** Guards against an exception of a library on its own thread that stops the process. */
    @Test
    fun `a failed check stops the process and a closed selector does not`() {
        expectThat(isBrokenInvariant(runCatching { check(1 > 2) }.exceptionOrNull()!!)).isTrue()
        expectThat(isBrokenInvariant(ClosedSelectorException())).isFalse()
    }

    /** Guards against a refusal whose reason is not shown. */
    @Test
    fun `the problem of a refusal is shown with the name of the program`() {
        val code = run("--settings", "x") { ProgramOutcome(ExitCode.REFUSED, "refused: no permission") }
        expectThat(code.number).isEqualTo(1)
        expectThat(recorded.problems).containsExactly("sample: refused: no permission")
    }

    /** Guards against the default of 64 I/O threads, whose search for work took a third of an entry VM's CPU time. */
    @Test
    fun `I-O threads are limited unless the operator sets their number`() {
        val properties = Properties().also(::limitIoThreads)
        expectThat(properties.getProperty("kotlinx.coroutines.io.parallelism")).isEqualTo("16")
        properties.setProperty("kotlinx.coroutines.io.parallelism", "32")
        limitIoThreads(properties)
        expectThat(properties.getProperty("kotlinx.coroutines.io.parallelism")).isEqualTo("32")
    }

    /** Guards against SIGTERM that skips the shutdown function or ends with the code of a killed process. */
    @Test
    fun `a terminated server runs its shutdown function and ends with code 0`() {
        withServer("graceful") { process ->
            val output = process.inputStream.bufferedReader()
            expectThat(output.readLine()).isEqualTo("serving")
            // Process.destroy would also close the stream that the next line reads.
            process.toHandle().destroy()
            expectThat(output.readLine()).isEqualTo("stopped gracefully")
            expectThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(0)
        }
    }

    /** Guards against a process that is killed by its host because its shutdown waits on another thread for ever. */
    @Test
    fun `a shutdown that cannot be cancelled ends at its time limit`() {
        withServer("endless") { process ->
            expectThat(process.inputStream.bufferedReader().readLine()).isEqualTo("serving")
            process.toHandle().destroy()
            expectThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(0)
        }
    }

    /** Guards against a process that ends because of a failure and looks like one that was told to stop. */
    @Test
    fun `a program that ends by itself keeps its exit code`() {
        withServer("failing") { process ->
            expectThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(ExitCode.BROKEN_INVARIANT.number)
            expectThat(process.inputStream.bufferedReader().readText()).not().contains("stopped gracefully")
        }
    }

    /** Runs [block] with a process whose shutdown is [kind]; see [main]. */
    private fun withServer(kind: String, block: (Process) -> Unit) {
        val process =
            ProcessBuilder(
                "${System.getProperty("java.home")}/bin/java",
                "-Xmx32m",
                "-cp",
                System.getProperty("java.class.path"),
                "fulmarshunt.process.ProcessMainTestKt",
                kind,
            ).redirectErrorStream(true).start()
        try {
            block(process)
        } finally {
            process.destroyForcibly()
        }
    }
}

/** The process that the last tests terminate or that ends by itself. */
fun main(args: Array<String>): Unit = runBlocking {
    if (args.single() == "failing") {
        processMain("test", arrayOf("--settings", "unused")) {
            shutDownOnTermination(limitMs = 5_000) { println("stopped gracefully") }
            ProgramOutcome(ExitCode.BROKEN_INVARIANT, "the disk is broken")
        }
    }
    if (args.single() == "endless") {
        shutDownOnTermination(limitMs = 1_000) { withContext(NonCancellable) { awaitCancellation() } }
    } else {
        shutDownOnTermination(limitMs = 5_000) { println("stopped gracefully") }
    }
    println("serving")
    awaitCancellation()
}
