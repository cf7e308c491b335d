/*
 * Every decoder of bytes from other processes, with bytes that are almost right. Whatever the bytes are, a decoder
 * returns or throws an exception that its caller handles: no error of the JVM, no hang, and no large allocation.
 */
package fulmarshunt.link

import com.sun.management.ThreadMXBean
import fulmarshunt.Address
import fulmarshunt.ClusterId
import fulmarshunt.ContentDigest
import fulmarshunt.Fingerprint
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.caller.relay.EventFramer
import fulmarshunt.entry.document.DocumentPart
import fulmarshunt.entry.document.DocumentReply
import fulmarshunt.entry.document.DocumentRequest
import fulmarshunt.entry.document.decodeChanges
import fulmarshunt.entry.document.encodeChanges
import fulmarshunt.entry.watch.StateExchange
import fulmarshunt.entry.watch.Watch
import fulmarshunt.entry.watch.WatchReply
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.platform.decodeAnnouncement
import fulmarshunt.platform.decodeConfiguration
import fulmarshunt.platform.decodeDeregistration
import fulmarshunt.platform.parseRetryAfterMs
import fulmarshunt.process.FleetEntrySettings
import fulmarshunt.process.parseSettings
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.record
import fulmarshunt.voter.Append
import fulmarshunt.voter.Appended
import fulmarshunt.voter.Envelope
import fulmarshunt.voter.LogPosition
import fulmarshunt.voter.Stamp
import fulmarshunt.voter.VoterCall
import fulmarshunt.voter.command
import fulmarshunt.voter.encodeRecord
import fulmarshunt.voter.peerB
import fulmarshunt.voter.scanRecords
import fulmarshunt.voter.self
import io.netty.buffer.Unpooled
import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isFailure
import strikt.assertions.isLessThan
import java.io.IOException
import java.lang.management.ManagementFactory
import java.time.Instant
import kotlin.random.Random

/** The inputs for each decoder in a build; `-Dfuzz.inputs=N` runs more by hand, and `-Dfuzz.seed=N` other ones. */
private val inputs = Integer.getInteger("fuzz.inputs", 3_000)
private val seed = java.lang.Long.getLong("fuzz.seed", 20_261_205L)

/** What decoding an input of a few KiB may allocate; a length that is believed would allocate far more. */
private const val MAX_ALLOCATED_BYTES = 8L * 1_024 * 1_024

private const val MAX_DECODE_MS = 1_000L

/** A decoder with a proper message; [mayThrow] tells the exceptions that its caller handles. */
private class Decoder(
    val name: String,
    val sample: ByteArray,
    val mayThrow: (Throwable) -> Boolean = { false },
    val decode: (ByteArray) -> Unit,
)

private fun <T> cbor(name: String, serializer: KSerializer<T>, value: T): Decoder = Decoder(
    name,
    linkCbor.encodeToByteArray(serializer, value),
    mayThrow = { it is IllegalArgumentException },
) { decodeFromPeer(serializer, it) }

private val use = mapOf(TargetId("t") to TargetUse(3, 4_000, 500))
private val exchange =
    StateExchange(VmId("c"), listOf(AgedRecord(record("t"), 5)), emptyList(), use, setOf(VmId("e")), source = "s")
private val watchReply = WatchReply(
    true, ServingSnapshot(), "source", 7, listOf(ListedTarget(record("t"), false)), listOf(Address("10.0.0.1", 80)), 9,
    use, setOf(Fingerprint("f")),
)
private val append =
    Append(LogPosition.START, listOf(command(1, 1), command(2, 1)), LogIndex(1), Stamp(1, 2))
private const val ANNOUNCEMENT =
    """{"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","cold_remaining_ms":0,"seq":4,""" +
        """"born":5}"""
private const val CONFIGURATION =
    """{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","type":"stream","timeout_ms":6000,""" +
        """"slo_ms":1500,"priority":1,"service":"s","max_attempts":1}],"services":[{"name":"s"}],""" +
        """"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,""" +
        """"idle_timeout_ms":15000}}"""
private val settings =
    """
    [vm]
    id = "e"
    failure_domain = "d"
    ip = "10.0.0.1"
    [link]
    port = 7200
    secret = "a secret of some length"
    [control]
    seeds = ["10.0.0.2:80"]
    """.trimIndent()

private val decoders = listOf(
    cbor("frame", Frame.serializer(), Call(7, "watch", ByteArray(40) { it.toByte() })),
    cbor("handshake", Frame.serializer(), Hello(LINK_VERSION, "process", ByteArray(32))),
    cbor("watch", Watch.serializer(), Watch(VmId("e"), true, use, emptyList(), LogIndex(3), "source", 4)),
    cbor("watch reply", WatchReply.serializer(), watchReply),
    cbor("exchange", StateExchange.serializer(), exchange),
    cbor(
        "voter message",
        VoterCall.serializer(),
        Envelope(ClusterId("c"), peerB.id, peerB.address, self.id, Term(2), append),
    ),
    cbor(
        "voter reply",
        VoterCall.serializer(),
        Envelope(ClusterId("c"), peerB.id, peerB.address, self.id, Term(2), Appended(LogIndex(3), Stamp(1, 2), true)),
    ),
    cbor(
        "document request",
        DocumentRequest.serializer(),
        DocumentRequest(ContentDigest("w"), ContentDigest("b"), ContentDigest("e"), 5),
    ),
    cbor(
        "document part",
        DocumentReply.serializer(),
        DocumentPart(ContentDigest("e"), null, 40, 0, ByteArray(40) { it.toByte() }),
    ),
    Decoder(
        "document changes",
        encodeChanges(CONFIGURATION.encodeToByteArray(), settings.encodeToByteArray()),
        mayThrow = { it is IOException },
    ) { decodeChanges(it, CONFIGURATION.length, settings.encodeToByteArray()) },
    Decoder("announcement", ANNOUNCEMENT.encodeToByteArray()) { decodeAnnouncement(TargetId("t"), it, 1_000) },
    Decoder("deregistration", """{"born":17}""".encodeToByteArray()) { decodeDeregistration(it, 1_000) },
    Decoder("configuration", CONFIGURATION.encodeToByteArray()) { decodeConfiguration(it) },
    Decoder("settings", settings.encodeToByteArray()) {
        parseSettings(it.decodeToString(), FleetEntrySettings.serializer())
    },
    Decoder("records", encodeRecord(ByteArray(60) { 7 }) + encodeRecord(ByteArray(5))) { scanRecords(it) },
    Decoder("retry-after", "Sat, 05 Dec 2026 10:00:20 GMT".encodeToByteArray()) {
        parseRetryAfterMs(it.decodeToString(), null, Instant.EPOCH)
    },
    Decoder("events", "id: 1\ndata: x\n\n: note\n\nid: 2\r\ndata: y\r\n\r\n".encodeToByteArray()) {
        EventFramer().apply { appendOrNull(Unpooled.wrappedBuffer(it))?.release() }.discardRest()
    },
)

/** Bytes that stand for large or endless values in CBOR and JSON. */
private val hostile = listOf(
    byteArrayOf(0x5b, 0x7f, -1, -1, -1, -1, -1, -1, -1),
    byteArrayOf(0x5a, 0x7f, -1, -1, -1),
    byteArrayOf(-101, -1, -1, -1, -1, -1, -1, -1, -1),
    byteArrayOf(-69, 0, 0, 0, 0, 0x7f, -1, -1, -1),
    byteArrayOf(-97),
    byteArrayOf(-65),
    byteArrayOf(0x7f),
    ByteArray(3_000) { -127 },
    ByteArray(3_000) { -97 },
    ByteArray(3_000) { 0xd8.toByte() },
    "[".repeat(3_000).encodeToByteArray(),
    "{\"a\":".repeat(1_000).encodeToByteArray(),
    "9".repeat(400).encodeToByteArray(),
    "1e999999999".encodeToByteArray(),
    "-1".encodeToByteArray(),
    "null".encodeToByteArray(),
    "\u0000".encodeToByteArray(),
    "\\ud800".encodeToByteArray(),
)

private fun mutate(sample: ByteArray, random: Random): ByteArray {
    var bytes = sample
    repeat(1 + random.nextInt(3)) {
        val at = random.nextInt(bytes.size + 1)
        val to = random.nextInt(at, bytes.size + 1)
        bytes = when (random.nextInt(7)) {
            0 -> bytes.copyOf(at)
            1 -> bytes.copyOfRange(0, at) + hostile.random(random) + bytes.copyOfRange(at, bytes.size)
            2 -> bytes.copyOfRange(0, at) + hostile.random(random) + bytes.copyOfRange(to, bytes.size)
            3 -> bytes.copyOfRange(0, at) + bytes.copyOfRange(to, bytes.size)
            4 -> bytes.copyOfRange(0, to) + bytes.copyOfRange(at, bytes.size)
            5 -> bytes.copyOf().also { if (it.isNotEmpty()) it[random.nextInt(it.size)] = random.nextInt().toByte() }
            else -> bytes.copyOf().also { copy ->
                if (copy.isNotEmpty()) {
                    val position = random.nextInt(copy.size)
                    copy[position] = (copy[position].toInt() xor (1 shl random.nextInt(8))).toByte()
                }
            }
        }
    }
    return bytes
}

/** Inputs that once ended the process, because the decoder called itself without end. */
private val foundFrames = listOf(
    "9f6163bf6269640767636861bb000000007fffffff",
    "9f7f6168406776657273696f6e016770726f636573736770726f63657373656e6f6e63655820" + "00".repeat(22),
)

class DecoderFuzzTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    /** Guards against the return of a failure that was found. */
    @Test
    fun `frames that once ended the process are refused`() {
        for (hex in foundFrames) {
            val bytes = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
            expectCatching { decodeFromPeer(Frame.serializer(), bytes) }.isFailure().isA<IllegalArgumentException>()
        }
    }

    /** Guards against the return of a stack overflow that was found on one kind of machine only. */
    @Test
    fun `nested settings that once overflowed the stack are refused`() {
        val nested = settings.replace("\"a secret of some length\"", "[".repeat(1_000_000))
        expectThat(parseSettings(nested, FleetEntrySettings.serializer()).leftOrNull()?.message.orEmpty())
            .contains("secret: line 7 nests more than 16 deep")
    }

    /** Guards against one malformed message that ends a process, holds its thread or fills its memory. */
    @TestFactory
    fun `malformed bytes are a failure that the caller handles`(): List<DynamicTest> = decoders.map { decoder ->
        DynamicTest.dynamicTest(decoder.name) {
            decoder.decode(decoder.sample)
            val random = Random(seed + decoder.name.hashCode())
            val thrown = sortedMapOf<String, Int>()
            val startNanos = System.nanoTime()
            repeat(inputs) {
                val input = mutate(decoder.sample, random)
                val allocated = threads.getThreadAllocatedBytes(Thread.currentThread().id)
                val beganNanos = System.nanoTime()
                try {
                    decoder.decode(input)
                } catch (e: Throwable) {
                    val what = "${decoder.name} ${input.joinToString("") { "%02x".format(it) }.take(4_000)}"
                    check(decoder.mayThrow(e)) { "$e for $what" }
                    thrown.merge(e::class.simpleName.orEmpty(), 1, Int::plus)
                }
                expectThat((System.nanoTime() - beganNanos) / 1_000_000).isLessThan(MAX_DECODE_MS)
                val usedBytes = threads.getThreadAllocatedBytes(Thread.currentThread().id) - allocated
                expectThat(usedBytes).isLessThan(MAX_ALLOCATED_BYTES)
            }
            val perSecond = inputs * 1_000_000_000L / (System.nanoTime() - startNanos)
            println("fuzzed ${decoder.name}: $inputs inputs, $perSecond a second, $thrown")
        }
    }
}
