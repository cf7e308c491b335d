/*
 * The frame of every program: the command line, exit codes, one-line errors on standard error, and the graceful
 * shutdown on SIGTERM.
 */
@file:OptIn(ExperimentalCli::class)

package fulmarshunt.process

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import sun.misc.Signal
import java.nio.file.Path
import java.util.Properties
import kotlin.reflect.KClass
import kotlin.system.exitProcess

/** Where a program writes; a test passes functions that collect the lines. */
public class Console(
    /** Writes one line of results. */
    public val print: (String) -> Unit,
    /** Writes one line about a problem. */
    public val printProblem: (String) -> Unit,
)

/** The options that a program has besides the common ones. */
public class ProgramOptions(
    /** Declares options and arguments; the result lists the subcommands. */
    public val declare: (ArgParser) -> List<Subcommand> = { emptyList() },
)

/**
 * The threads of `Dispatchers.IO`. The selectors of an entry VM's servers and clients hold six. Each thread that
 * looks for work searches the queues of all others: with the default of 64, that was a third of the processor time of
 * an entry VM with 100 streams.
 */
private const val IO_THREADS = 16
private const val IO_THREADS_PROPERTY = "kotlinx.coroutines.io.parallelism"

/** Bounds the I/O threads unless [properties] already say otherwise; it has no effect after their first use. */
internal fun limitIoThreads(properties: Properties) {
    properties.putIfAbsent(IO_THREADS_PROPERTY, "$IO_THREADS")
}

/** Runs [run] as the process named [name] and ends the process with the resulting code. */
public fun processMain(
    name: String,
    args: Array<String>,
    options: ProgramOptions = ProgramOptions(),
    run: suspend (settings: Path) -> ProgramOutcome,
): Nothing {
    Thread.setDefaultUncaughtExceptionHandler { thread, e -> haltOnBrokenInvariant(name, thread, e) }
    limitIoThreads(System.getProperties())
    keepRunningOnHangup()
    // The servers' own hook would stop them on SIGTERM at once and cut off the requests that a shutdown must finish.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val code = runProgram(name, args.toList(), standardConsole(), options, run)
    exitProcess(code.number)
}

/**
 * Lets SIGHUP say only that the settings file has changed; the JVM would end the process. Programs read what may change
 * while they run from the file whenever they need it.
 */
private fun keepRunningOnHangup() {
    val log = LogManager.getLogger("fulmarshunt.process.ProcessMain")
    Signal.handle(Signal("HUP")) { log.info("settings changed reason=SIGHUP") }
}

/** Returns the console of the process. */
public fun standardConsole(): Console = Console(::println, System.err::println)

/**
 * Parses [args], runs [run] with the path of the settings file, and reports how it ended on [console].
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
    parseCommandLine(parser, subcommands, args).onLeft { end ->
        if (end.code == ExitCode.DONE) console.print(end.text) else console.printProblem("$name: ${end.text}")
        return end.code
    }
    val path = settings
    if (path == null) {
        console.printProblem("$name: --settings is missing: give the path of the settings file")
        return ExitCode.USAGE
    }
    return try {
        val end = runBlocking { run(Path.of(path)) }
        end.problem?.let { console.printProblem("$name: $it") }
        end.code
    } catch (e: Exception) {
        console.printProblem("$name: ${describeBrokenInvariant(e)}")
        ExitCode.BROKEN_INVARIANT
    }
}

/** Suspends until the process is asked to terminate; see [shutDownOnTermination]. */
public suspend fun serveUntilTerminated(limitMs: Long, shutDown: suspend () -> Unit): Nothing {
    shutDownOnTermination(limitMs, shutDown)
    awaitCancellation()
}

/**
 * Runs [shutDown] for at most [limitMs] when the process is asked to terminate.
 *
 * The process then ends with exit code 0 at once, because a graceful shutdown is the normal end of a server. It ends
 * with code 4 if [shutDown] fails.
 */
public fun shutDownOnTermination(limitMs: Long, shutDown: suspend () -> Unit) {
    // Log4j cannot be started once the JVM is shutting down, so the logger is not first asked for in the hook.
    val log = LogManager.getLogger("fulmarshunt.process.ProcessMain")
    Runtime.getRuntime().addShutdownHook(Thread({ haltAfter(limitMs, log, shutDown) }, "graceful-shutdown"))
}

private fun haltAfter(limitMs: Long, log: Logger, shutDown: suspend () -> Unit) {
    val code =
        try {
            val finished = runBlocking { withTimeoutOrNull(limitMs) { shutDown() } }
            if (finished == null) log.warn("The graceful shutdown was cut off after {} ms", limitMs)
            ExitCode.DONE
        } catch (e: Exception) {
            log.error("The graceful shutdown failed: {}", describeBrokenInvariant(e))
            ExitCode.BROKEN_INVARIANT
        }
    LogManager.shutdown()
    // Without the halt, the JVM would end with code 143, as if the signal had killed it.
    Runtime.getRuntime().halt(code.number)
}

/** Ends the process when [e] is a broken invariant; failures of libraries on their own threads are only reported. */
private fun haltOnBrokenInvariant(name: String, thread: Thread, e: Throwable) {
    System.err.println("$name: thread ${thread.name}: ${describeBrokenInvariant(e)}")
    if (isBrokenInvariant(e)) Runtime.getRuntime().halt(ExitCode.BROKEN_INVARIANT.number)
}

/**
 * True for an error of the JVM and for a failed `check` or `require` of our own. Libraries throw subclasses of the same
 * exceptions, for example for a selector that was closed, and these do not stop the process.
 */
internal fun isBrokenInvariant(e: Throwable): Boolean {
    val isOwn = e.stackTrace.firstOrNull()?.className.orEmpty().startsWith("fulmarshunt.")
    return e is Error || (isOwn && e::class in invariantExceptions)
}

private val invariantExceptions = setOf<KClass<*>>(IllegalStateException::class, IllegalArgumentException::class)

/** Returns one line with the message of [e] and the first place in our own code, instead of a stack trace. */
internal fun describeBrokenInvariant(e: Throwable): String {
    val frame = e.stackTrace.firstOrNull { it.className.startsWith("fulmarshunt.") } ?: e.stackTrace.firstOrNull()
    val message = e.message.orEmpty().lineSequence().firstOrNull().orEmpty()
    val place = frame?.let { " at ${it.fileName}:${it.lineNumber}" }.orEmpty()
    return "broken invariant: ${e::class.simpleName}: $message$place"
}
