/*
 * The logs of fleet programs: one line of key=value pairs for each event, on standard output. A reader of the output
 * that is slow never delays a request: lines wait in a bounded queue, and those that find it full are dropped and
 * counted.
 *
 * This is a provider of Log4j's API without its core, which loads several hundred classes when a program starts. The
 * core is used if `log4j2.configurationFile` names a configuration.
 */
package fulmarshunt.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Marker
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.MessageFactory
import org.apache.logging.log4j.simple.SimpleLogger
import org.apache.logging.log4j.spi.ExtendedLogger
import org.apache.logging.log4j.spi.LoggerContext
import org.apache.logging.log4j.spi.LoggerContextFactory
import org.apache.logging.log4j.spi.Provider
import org.apache.logging.log4j.spi.Terminable
import org.apache.logging.log4j.util.PropertiesUtil
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.net.URI
import java.time.Instant
import java.time.ZoneId
import java.time.format.DateTimeFormatter
import java.util.Properties
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val CONFIGURATION_PROPERTY = "log4j2.configurationFile"
private const val PROVIDER_PROPERTY = "log4j.provider"
private const val LEVEL_VARIABLE = "FULMARSHUNT_LOG_LEVEL"

/** The lines that wait for the reader of the output; it covers a burst of some hundred events. */
private const val MAX_WAITING_LINES = 2_048

/** How long the end of the process waits for the reader of the output. */
private const val FLUSH_LIMIT_MS = 500L

private const val MS_PER_S = 1_000

/** Starts to log lines. Call it before any logger is created. */
public fun startLineLogging() {
    if (System.getProperty(CONFIGURATION_PROPERTY) == null) {
        System.setProperty(PROVIDER_PROPERTY, LineLogProvider::class.java.name)
    }
}

/** Makes Log4j's API log lines; Log4j creates it. */
public class LineLogProvider : Provider(null, CURRENT_VERSION, LineLogContextFactory::class.java)

/** Returns the context of all loggers; Log4j creates it. */
public class LineLogContextFactory : LoggerContextFactory {
    private val context: LoggerContext =
        LineLogContext(
            Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO),
            LineWriter(FileOutputStream(FileDescriptor.out), MAX_WAITING_LINES),
        )

    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
    ): LoggerContext = context

    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
        configLocation: URI?,
        name: String?,
    ): LoggerContext = context

    override fun removeContext(context: LoggerContext?): Unit = Unit
}

/** The loggers of the process, which write to [writer]. */
internal class LineLogContext(private val level: Level, private val writer: LineWriter) :
    LoggerContext,
    Terminable {
    private val loggers = ConcurrentHashMap<String, ExtendedLogger>()
    private val format = LineFormat()

    override fun getExternalContext(): Any? = null

    override fun getLogger(name: String): ExtendedLogger = loggers.computeIfAbsent(name) {
        // Netty reports each connection that breaks.
        LineLogger(it, if (it.startsWith("io.netty")) Level.ERROR else level, format, writer)
    }

    override fun getLogger(name: String, messageFactory: MessageFactory?): ExtendedLogger = getLogger(name)

    override fun hasLogger(name: String): Boolean = loggers.containsKey(name)

    override fun hasLogger(name: String, messageFactory: MessageFactory?): Boolean = hasLogger(name)

    override fun hasLogger(name: String, messageFactoryClass: Class<out MessageFactory>?): Boolean = hasLogger(name)

    /** Waits until the lines that were logged are written. */
    override fun terminate(): Unit = writer.flush(FLUSH_LIMIT_MS)
}

private class LineLogger(name: String, level: Level, private val format: LineFormat, private val writer: LineWriter) :
    SimpleLogger(name, level, false, false, false, false, "", null, noProperties, unusedStream) {
    override fun logMessage(fqcn: String, level: Level, marker: Marker?, message: Message, throwable: Throwable?) {
        writer.write(format.lineOf(System.currentTimeMillis(), level, name, message.formattedMessage, throwable))
    }

    private companion object {
        val noProperties = PropertiesUtil(Properties())
        val unusedStream = PrintStream(OutputStream.nullOutputStream())
    }
}

/** Formats events: the time, the level, the last part of the logger's name, the message and the exception. */
internal class LineFormat {
    private val secondFormat = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss").withZone(ZoneId.systemDefault())
    private var second = Long.MIN_VALUE
    private var secondText = ""

    fun lineOf(atMs: Long, level: Level, logger: String, message: String, exception: Throwable?): String = buildString {
        append("time=").append(secondOf(atMs)).append('.').append(atMs.mod(MS_PER_S).toString().padStart(3, '0'))
        append(" level=").append(level.name())
        append(" logger=").append(logger.substringAfterLast('.'))
        append(" event=").append(message.replace('\n', '|'))
        exception?.let { append(" exception=").append(describe(it)) }
        append('\n')
    }

    @Synchronized
    private fun secondOf(atMs: Long): String {
        val current = Math.floorDiv(atMs, MS_PER_S.toLong())
        if (current != second) {
            second = current
            secondText = secondFormat.format(Instant.ofEpochSecond(current))
        }
        return secondText
    }

    private fun describe(e: Throwable): String {
        val frame = e.stackTrace.firstOrNull { it.className.startsWith("fulmarshunt.") } ?: e.stackTrace.firstOrNull()
        val location = frame?.let { " at ${it.fileName}:${it.lineNumber}" }.orEmpty()
        return "${e.javaClass.name}: ${e.message.orEmpty().replace('\n', '|')}$location"
    }
}

/** Writes lines to [output] on a thread of its own; at most [maxWaiting] lines wait for it. */
internal class LineWriter(private val output: OutputStream, maxWaiting: Int) {
    private sealed interface Entry

    private class Line(val text: String) : Entry

    private class Flush(val isDone: CountDownLatch) : Entry

    private val entries = ArrayBlockingQueue<Entry>(maxWaiting)
    private val dropped = AtomicLong()

    init {
        Thread(::writeEntries, "log").apply { isDaemon = true }.start()
    }

    /** Writes [line] later, or drops it if too many lines wait already. */
    fun write(line: String) {
        if (!entries.offer(Line(line))) dropped.incrementAndGet()
    }

    /** Waits at most [limitMs] until all lines so far are written. */
    fun flush(limitMs: Long) {
        val isDone = CountDownLatch(1)
        if (entries.offer(Flush(isDone), limitMs, TimeUnit.MILLISECONDS)) isDone.await(limitMs, TimeUnit.MILLISECONDS)
    }

    private fun writeEntries() {
        while (true) {
            when (val entry = entries.take()) {
                is Line -> output.write(entry.text.encodeToByteArray())
                is Flush -> entry.isDone.countDown()
            }
            val count = dropped.getAndSet(0)
            if (count > 0) output.write("event=lines dropped count=$count\n".encodeToByteArray())
        }
    }
}
