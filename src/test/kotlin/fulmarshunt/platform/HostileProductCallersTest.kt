/*
 * Crowds of clients outside the limits in front of the product's own interface for callers, as real processes with a
 * small memory. The crowd stays open while an ordinary request is made; nothing depends on the speed of the machine.
 */
package fulmarshunt.platform

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.SiteEntry
import fulmarshunt.faults.eventually
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.io.File
import java.net.InetSocketAddress

private const val KEY = "a-key"
private const val LOOKUP = "/v1/services/s/lookup"
private const val CROWD = 120
private const val HEAD_LINES = 1_500
private const val BODY_BYTES = 1_000_000
private const val CHUNK = "2000"
private const val ATTEMPTS = 6
private const val BETWEEN_ATTEMPTS_MS = 250L

private val smallMemory = listOf(
    "-Xmx40m",
    "-Xss256k",
    "-XX:MaxDirectMemorySize=16m",
    "-XX:MaxMetaspaceSize=96m",
    "-XX:+ExitOnOutOfMemoryError",
)

@Timeout(180)
class HostileProductCallersTest {
    @TempDir
    lateinit var directory: File

    private val caller = CallerClient(KEY)

    private fun check(bytes: ByteArray) {
        Site(directory, voterCount = 1, entryCount = 1, entryJvmFlags = smallMemory).use { site ->
            site.start()
            site.configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutClientAccount(ClientAccount(ClientAccountId("a"), sha256Hex(KEY))),
                PutService(Service(ServiceId("s"), ServiceKind.PLAIN, emptyList())),
            )
            site.awaitReady()
            site.plainService("app-1", "s")
            val entry = site.entries.single()
            eventually("the first lookup") { true.takeIf { isServed(entry) } }
            HostileCrowd(InetSocketAddress("127.0.0.1", entry.callersPort)).open(CROWD, bytes).send().use {
                val isServed = (1..ATTEMPTS).any {
                    isServed(entry).also { isServed -> if (!isServed) Thread.sleep(BETWEEN_ATTEMPTS_MS) }
                }
                println("alive=${entry.process.isAlive()} served=$isServed")
                expectThat(entry.process.isAlive()).describedAs("the process lives").isTrue()
                expectThat(isServed).describedAs("an ordinary request is served").isTrue()
            }
        }
    }

    private fun isServed(entry: SiteEntry) =
        runCatching { caller.post(entry.callersPort, LOOKUP, "x").statusCode() }.getOrNull() == 200

    private fun head(more: String) = "POST $LOOKUP HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer $KEY\r\n$more\r\n"

    /** Guards against heads that take many times their length of the heap while they are incomplete. */
    @Test
    fun `the product's interface bears incomplete heads of short lines`(): Unit =
        check(head("a:\r\n".repeat(HEAD_LINES)).removeSuffix("\r\n").encodeToByteArray())

    /** Guards against bodies that are buffered for callers that do not send their end. */
    @Test
    @Tag("known-red")
    fun `the product's interface bears long bodies that stop before their end`(): Unit =
        check((head("Content-Length: $BODY_BYTES\r\n") + "x".repeat(BODY_BYTES - 1)).encodeToByteArray())

    /** Guards against chunks that are buffered for callers that do not send their end. */
    @Test
    @Tag("known-red")
    fun `the product's interface bears bodies in large chunks without end`() {
        val size = CHUNK.toInt(16)
        val chunks = "$CHUNK\r\n${"x".repeat(size)}\r\n".repeat(BODY_BYTES / size)
        check((head("Transfer-Encoding: chunked\r\n") + chunks).encodeToByteArray())
    }

    /** Guards against an object on the heap for each byte of a body. */
    @Test
    fun `the product's interface bears bodies in chunks of one byte`(): Unit =
        check((head("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n".repeat(BODY_BYTES / 16)).encodeToByteArray())
}
