/*
 * The transfer of one document to an entry VM: what has arrived, and what is requested next. It does not depend on the
 * control VM that sends the parts, so that another one goes on where one stops.
 */
package fulmarshunt.entry.document

import fulmarshunt.ContentDigest
import fulmarshunt.operator.serving.ConfigurationDocument
import java.io.ByteArrayOutputStream
import java.io.IOException

/** The maximum size of a document and of its encoded form; control VMs accept smaller ones from operators. */
internal const val MAX_DOCUMENT_BYTES: Int = 2 * 1_024 * 1_024

/** What has become of a transfer with a part. */
internal sealed interface TransferResult {
    /** More parts are to be requested. */
    data object Incomplete : TransferResult

    data class Complete(val document: ConfigurationDocument) : TransferResult

    /** The bytes that have arrived are of no use; the transfer begins anew, without a base. */
    data class Damaged(val reason: String) : TransferResult
}

/** The transfer of [wanted] to a VM that has [base]. */
internal class DocumentTransfer(val wanted: DocumentReference, private val base: ConfigurationDocument?) {
    private var encoding: ContentDigest? = null
    private var encodedBytes = 0
    private var usesBase = base != null
    private val received = ByteArrayOutputStream()

    /** The encoded bytes that have arrived and are of use. */
    val receivedBytes: Int get() = received.size()

    /** Whether at least half of the encoded bytes has arrived. */
    val isHalfDone: Boolean get() = receivedBytes > 0 && receivedBytes >= encodedBytes / 2

    /** Returns the request for the next part. */
    fun nextRequest(): DocumentRequest =
        DocumentRequest(wanted.digest, base?.digest?.takeIf { usesBase }, encoding, receivedBytes)

    /** Receives [part], the reply to [nextRequest]. */
    fun receive(part: DocumentPart): TransferResult {
        problemOrNull(part)?.let { return restart(it) }
        if (part.encoding != encoding) {
            received.reset()
            encoding = part.encoding
            encodedBytes = part.encodedBytes
        }
        received.writeBytes(part.bytes)
        if (receivedBytes < encodedBytes) return TransferResult.Incomplete
        return try {
            decode(part)
        } catch (e: IOException) {
            restart("it cannot be decoded: ${e.message}")
        }
    }

    private fun decode(part: DocumentPart): TransferResult {
        val baseBytes = if (part.base == null) ByteArray(0) else checkNotNull(base).bytes
        val document =
            ConfigurationDocument(wanted.version, decodeChanges(received.toByteArray(), wanted.sizeBytes, baseBytes))
        return if (document.digest == wanted.digest) {
            TransferResult.Complete(document)
        } else {
            restart("it has the digest ${document.digest}")
        }
    }

    private fun problemOrNull(part: DocumentPart): String? = when {
        part.encodedBytes !in 1..MAX_DOCUMENT_BYTES -> "it has ${part.encodedBytes} encoded bytes"
        wanted.sizeBytes !in 0..MAX_DOCUMENT_BYTES -> "it has ${wanted.sizeBytes} bytes"
        part.base != null && part.base != base?.digest -> "its base ${part.base} is not the requested one"
        part.encoding == encoding && part.encodedBytes != encodedBytes -> "its size has changed"
        part.offsetBytes != (if (part.encoding == encoding) receivedBytes else 0) -> "a part is missing"
        part.bytes.isEmpty() || part.bytes.size > part.encodedBytes - part.offsetBytes -> "a part has the wrong size"
        else -> null
    }

    private fun restart(reason: String): TransferResult {
        received.reset()
        encoding = null
        usesBase = false
        return TransferResult.Damaged(reason)
    }
}
