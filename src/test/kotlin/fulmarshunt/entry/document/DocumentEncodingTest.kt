/*
 * The encoded form of documents, and transfers of it.
 */
package fulmarshunt.entry.document

import fulmarshunt.ConfigurationVersion
import fulmarshunt.ContentDigest
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.sha256Hex
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import kotlin.random.Random

class DocumentEncodingTest {
    /** Returns a document of lines that repeat in part, as routes do. */
    private fun documentOf(random: Random, lines: Int): ByteArray = List(lines) {
        """{"name":"r-${random.nextInt(500)}","host":"a.example","path_prefix":"/p${random.nextInt(50)}/"}"""
    }.joinToString(",").encodeToByteArray()

    private fun changed(random: Random, base: ByteArray): ByteArray {
        val from = random.nextInt(base.size + 1)
        val to = random.nextInt(from, base.size + 1)
        return base.copyOf(from) + random.nextBytes(random.nextInt(60)) + base.copyOfRange(to, base.size)
    }

    /** Guards against entry VMs that never apply a configuration, because its changes cannot be decoded. */
    @Property(tries = 300)
    fun `what is encoded is decoded`(@ForAll seed: Long, @ForAll @IntRange(min = 0, max = 300) lines: Int) {
        val random = Random(seed)
        val base = documentOf(random, lines)
        var document = base
        repeat(random.nextInt(4)) { document = changed(random, document) }
        for (from in listOf(ByteArray(0), base, documentOf(random, lines / 2))) {
            val encoded = encodeChanges(document, from)
            expectThat(decodeChanges(encoded, document.size, from).contentEquals(document)).isEqualTo(true)
        }
    }

    /** Guards against bytes of a faulty peer that end the process or never end. */
    @Property(tries = 300)
    fun `damaged bytes are refused or decoded to the right size`(@ForAll seed: Long) {
        val random = Random(seed)
        val base = documentOf(random, 40)
        val encoded = encodeChanges(changed(random, base), base)
        repeat(1 + random.nextInt(4)) { encoded[random.nextInt(encoded.size)] = random.nextInt().toByte() }
        val size = random.nextInt(10_000)
        try {
            expectThat(decodeChanges(encoded, size, base).size).isEqualTo(size)
        } catch (_: IOException) {
            // The expected refusal.
        }
    }

    /** Guards against a configuration that grows by many routes and is sent whole. */
    @Test
    fun `added routes cost about their own compressed size`() {
        val base = documentOf(Random(1), 1_400)
        val added = documentOf(Random(2), 10)
        val document = base.copyOf(base.size - 1) + added
        expectThat(encodeChanges(document, base).size).isLessThan(added.size)
    }
}

class DocumentTransferTest {
    private val base = ConfigurationDocument(ConfigurationVersion(1), Random(1).nextBytes(50_000))
    private val document = ConfigurationDocument(ConfigurationVersion(2), Random(2).nextBytes(50_000) + base.bytes)
    private val reference = DocumentReference(document.version, document.digest, document.bytes.size)
    private val whole = encodeChanges(document.bytes)

    private fun part(encoded: ByteArray, offset: Int, base: ContentDigest? = null) = DocumentPart(
        ContentDigest(sha256Hex(encoded)),
        base,
        encoded.size,
        offset,
        encoded.copyOfRange(offset, minOf(encoded.size, offset + DOCUMENT_PART_BYTES)),
    )

    private fun complete(transfer: DocumentTransfer, encoded: ByteArray, base: ContentDigest? = null): TransferResult {
        while (true) {
            val result = transfer.receive(part(encoded, transfer.nextRequest().offsetBytes, base))
            if (result != TransferResult.Incomplete) return result
        }
    }

    /** Guards against parts of two encoded forms that are joined, for example of control VMs with other libraries. */
    @Test
    fun `a transfer begins anew with another encoded form`() {
        val transfer = DocumentTransfer(reference, base)
        val changes = encodeChanges(document.bytes, base.bytes)
        transfer.receive(part(changes, 0, base.digest))
        expectThat(transfer.nextRequest().offsetBytes).isEqualTo(DOCUMENT_PART_BYTES)
        transfer.receive(part(whole, 0))
        expectThat(transfer.nextRequest().encoding).isEqualTo(ContentDigest(sha256Hex(whole)))
        expectThat(complete(transfer, whole)).isA<TransferResult.Complete>()
    }

    /** Guards against a configuration with other content than the one that was acknowledged. */
    @Test
    fun `a document with another digest is requested again without a base`() {
        val transfer = DocumentTransfer(reference, base)
        val other = encodeChanges(Random(3).nextBytes(document.bytes.size), base.bytes)
        expectThat(complete(transfer, other, base.digest)).isA<TransferResult.Damaged>()
        expectThat(transfer.nextRequest()).isEqualTo(DocumentRequest(reference.digest))
        expectThat(complete(transfer, whole)).isA<TransferResult.Complete>()
    }

    /** Guards against sizes of a faulty peer that fill the memory, and against parts that do not follow each other. */
    @Test
    fun `parts that cannot be right are refused`() {
        val digest = ContentDigest(sha256Hex(whole))
        val bytes = ByteArray(10)
        val odd = listOf(
            DocumentPart(digest, null, Int.MAX_VALUE, 0, bytes),
            DocumentPart(digest, null, -1, 0, bytes),
            DocumentPart(digest, null, whole.size, 5, bytes),
            DocumentPart(digest, null, 5, 0, bytes),
            DocumentPart(digest, null, whole.size, 0, ByteArray(0)),
            DocumentPart(digest, document.digest, whole.size, 0, bytes),
        )
        for (part in odd) {
            val transfer = DocumentTransfer(reference, base)
            expectThat(transfer.receive(part)).isA<TransferResult.Damaged>()
            expectThat(transfer.receivedBytes).isEqualTo(0)
        }
    }
}
