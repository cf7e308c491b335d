/*
 * The common entry point of all programs: command line, exit codes, one-line errors on standard error, and graceful
 * shutdown on SIGTERM.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.process

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import sun.misc.Signal
import java.nio.file.Path
import java.util.Properties
import java.util.concurrent.atomic.AtomicReference
import kotlin.reflect.KClass
import kotlin.system.exitProcess

/** The output of a program; tests pass functions that collect the lines. */
public class Console(
    /** Writes one line of results. */
    public val print: (String) -> Unit,
    /** Writes one line that describes a problem. */
    public val printProblem: (String) -> Unit,
)

/** The options of a program in addition to the common ones. */
public class ProgramOptions(
    /** Declares options and arguments, and returns the subcommands. */
    public val declare: (ArgParser) -> List<Subcommand> = { emptyList() },
)

/**
 * The number of threads of `Dispatchers.IO`. The selectors of an entry VM's servers and clients occupy six. An idle
 * thread searches the queues of all others for work: with the default of 64 threads, this took a third of the CPU time
 * of an entry VM with 100 streams.
 */
private const val IO_THREADS = 16
private const val IO_THREADS_PROPERTY = "kotlinx.coroutines.io.parallelism"

/** Limits the I/O threads unless [properties] already set a number; has no effect after the first I/O task. */
internal fun limitIoThreads(properties: Properties) {
    properties.putIfAbsent(IO_THREADS_PROPERTY, "$IO_THREADS")
}

/** Runs [run] as the main function of the program [name] and ends the process with the resulting exit code. */
public fun processMain(
    name: String,
    args: Array<String>,
    options: ProgramOptions = ProgramOptions(),
    run: suspend (settings: Path) -> ProgramOutcome,
): Nothing {
    Thread.setDefaultUncaughtExceptionHandler { thread, e -> haltOnBrokenInvariant(name, thread, e) }
    limitIoThreads(System.getProperties())
    keepRunningOnHangup()
    // The servers' own hook would stop them immediately on SIGTERM and interrupt requests that must finish.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val code = runProgram(name, args.toList(), standardConsole(), options, run)
    ownExit.set(code)
    exitProcess(code.number)
}

/** The exit code of a program that ended by itself, which no shutdown hook may replace. */
private val ownExit = AtomicReference<ExitCode>()

/**
 * Only logs on SIGHUP, on which the JVM would otherwise end the process. Settings that may change while a program runs
 * are reloaded periodically.
 */
private fun keepRunningOnHangup() {
    val log = LogManager.getLogger("fulmarshunt.process.ProcessMain")
    Signal.handle(Signal("HUP")) { log.info("settings changed reason=SIGHUP") }
}

/** Returns the console of the process. */
public fun standardConsole(): Console = Console(::println, System.err::println)

/**
 * Parses [args], runs [run] with the path of the settings file, and reports the outcome on [console].
 *
 * @return the exit code of the process.
 */
public fun runProgram(
    name: String,
    args: List<String>,
    console: Console,
    options: ProgramOptions,
    run: suspend (settings: Path) -> ProgramOutcome,
): ExitCode {
    if ("--version" in args) {
        console.print("$name ${programVersion()}")
        return ExitCode.DONE
    }
    val parser = ArgParser(name)
    val settings by parser.option(ArgType.String, "settings", description = "Path of the settings file (TOML)")
    parser.option(ArgType.Boolean, "version", description = "Print the version")
    val subcommands = options.declare(parser).also { parser.subcommands(*it.toTypedArray()) }
    parseCommandLine(parser, subcommands, args).onLeft { outcome ->
        if (outcome.code ==
            ExitCode.DONE
        ) {
            console.print(outcome.text)
        } else {
            console.printProblem("$name: ${outcome.text}")
        }
        return outcome.code
    }
    val path = settings
    if (path == null) {
        console.printProblem("$name: --settings is missing: give the path of the settings file")
        return ExitCode.USAGE
    }
    return try {
        val outcome = runBlocking { run(Path.of(path)) }
        outcome.problem?.let { console.printProblem("$name: $it") }
        outcome.code
    } catch (e: Exception) {
        console.printProblem("$name: ${describeBrokenInvariant(e)}")
        ExitCode.BROKEN_INVARIANT
    }
}

/** Suspends until the process receives a request to terminate; see [shutDownOnTermination]. */
public suspend fun serveUntilTerminated(limitMs: Long, shutDown: suspend () -> Unit): Nothing {
    shutDownOnTermination(limitMs, shutDown)
    awaitCancellation()
}

/**
 * Runs [shutDown] for at most [limitMs] when the process receives a request to terminate.
 *
 * The process then ends immediately with exit code 0, because a graceful shutdown is the normal end of a server. It
 * ends with exit code 4 if [shutDown] throws. A program that has ended by itself is not shut down; its code stays.
 */
public fun shutDownOnTermination(limitMs: Long, shutDown: suspend () -> Unit) {
    // Log4j cannot be initialized once the JVM is shutting down, so the logger is created before the hook runs.
    val log = LogManager.getLogger("fulmarshunt.process.ProcessMain")
    Runtime.getRuntime().addShutdownHook(Thread({ haltAfter(limitMs, log, shutDown) }, "graceful-shutdown"))
}

private fun haltAfter(limitMs: Long, log: Logger, shutDown: suspend () -> Unit) {
    ownExit.get()?.let { code ->
        if (code != ExitCode.DONE) log.error("process stops reason=failure code={}", code.number)
        LogManager.shutdown()
        Runtime.getRuntime().halt(code.number)
    }
    val code =
        try {
            // Not a child of the coroutine with the time limit, which would wait for code that ignores cancellation.
            val running = CoroutineScope(Dispatchers.Default).async { shutDown() }
            val finished = runBlocking { withTimeoutOrNull(limitMs) { running.await() } }
            if (finished == null) log.warn("The graceful shutdown was cut off after {} ms", limitMs)
            ExitCode.DONE
        } catch (e: Exception) {
            log.error("The graceful shutdown failed: {}", describeBrokenInvariant(e))
            ExitCode.BROKEN_INVARIANT
        }
    LogManager.shutdown()
    // Without halt, the JVM would end with exit code 143, as if the signal had killed it.
    Runtime.getRuntime().halt(code.number)
}

/** Ends the process if [e] is a broken invariant; exceptions of libraries on their own threads are only reported. */
private fun haltOnBrokenInvariant(name: String, thread: Thread, e: Throwable) {
    System.err.println("$name: thread ${thread.name}: ${describeBrokenInvariant(e)}")
    if (isBrokenInvariant(e)) Runtime.getRuntime().halt(ExitCode.BROKEN_INVARIANT.number)
}

/**
 * Returns true for an error of the JVM and for a failed `check` or `require` in our own code. Libraries throw
 * subclasses of the same exceptions, for example for a closed selector, and these must not stop the process.
 */
internal fun isBrokenInvariant(e: Throwable): Boolean {
    val isOwnCode = e.stackTrace.firstOrNull()?.className.orEmpty().startsWith("fulmarshunt.")
    return e is Error || (isOwnCode && e::class in invariantExceptions)
}

private val invariantExceptions = setOf<KClass<*>>(IllegalStateException::class, IllegalArgumentException::class)

/** Returns one line with the message of [e] and the topmost stack frame in our own code, instead of a stack trace. */
internal fun describeBrokenInvariant(e: Throwable): String {
    val frame = e.stackTrace.firstOrNull { it.className.startsWith("fulmarshunt.") } ?: e.stackTrace.firstOrNull()
    val message = e.message.orEmpty().lineSequence().firstOrNull().orEmpty()
    val location = frame?.let { " at ${it.fileName}:${it.lineNumber}" }.orEmpty()
    return "broken invariant: ${e::class.simpleName}: $message$location"
}
