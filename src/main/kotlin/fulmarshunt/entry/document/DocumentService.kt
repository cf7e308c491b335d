/*
 * The control VM's side of fetching: it holds the last few documents and one encoded copy for each pair of a document
 * and a base, whatever the number of entry VMs. Confined to the control thread; encoding runs on other threads.
 */
package fulmarshunt.entry.document

import fulmarshunt.ContentDigest
import fulmarshunt.link.LinkHandlers
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.ControlThread
import fulmarshunt.sha256Hex
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager

/** How many documents are kept, as bases of later ones and for entry VMs that are still fetching them. */
private const val KEPT_DOCUMENTS = 4

/** How many encoded copies are kept. */
private const val KEPT_ENCODINGS = 8

/** Replies to entry VMs that fetch documents. */
public class DocumentService internal constructor(
    private val snapshots: StateFlow<ServingSnapshot>,
    private val control: ControlThread,
) {
    private val log = LogManager.getLogger(DocumentService::class.java)

    private data class EncodingKey(val wanted: ContentDigest, val base: ContentDigest?)

    private class Encoding(val digest: ContentDigest, val bytes: ByteArray)

    private val documents = LinkedHashMap<ContentDigest, ConfigurationDocument>()
    private val encodings = LinkedHashMap<EncodingKey, Deferred<Encoding>>()

    /** Returns [base] with the handler for entry VMs. */
    internal fun handlers(base: LinkHandlers): LinkHandlers =
        base.with(documentChannel) { _, request -> withContext(control.dispatch) { replyTo(request) } }

    /** Starts to keep the documents that take effect. */
    internal fun start() {
        control.scope.launch { snapshots.collect { keep(it.document) } }
    }

    private fun keep(document: ConfigurationDocument?) {
        if (document == null || document.digest in documents) return
        documents[document.digest] = document
        while (documents.size > KEPT_DOCUMENTS) documents.remove(documents.keys.first())
    }

    private suspend fun replyTo(request: DocumentRequest): DocumentReply {
        keep(snapshots.value.document)
        val document = documents[request.wanted] ?: return UnknownDocument
        val base = request.base?.let { documents[it] }
        val encoding = encodingOf(document, base).await()
        val isKnown = encoding.digest == request.encoding && request.offsetBytes in 0 until encoding.bytes.size
        val offset = if (isKnown) request.offsetBytes else 0
        val end = minOf(encoding.bytes.size, offset + DOCUMENT_PART_BYTES)
        return DocumentPart(
            encoding.digest,
            base?.digest,
            encoding.bytes.size,
            offset,
            encoding.bytes.copyOfRange(offset, end),
        )
    }

    private fun encodingOf(document: ConfigurationDocument, base: ConfigurationDocument?): Deferred<Encoding> {
        val key = EncodingKey(document.digest, base?.digest)
        encodings[key]?.let { return it }
        val encoding = control.scope.async(Dispatchers.Default) {
            val bytes = encodeChanges(document.bytes, base?.bytes ?: ByteArray(0))
            log.info(
                "configuration encoded version={} base={} bytes={} encodedBytes={}",
                document.version,
                base?.version,
                document.bytes.size,
                bytes.size,
            )
            Encoding(ContentDigest(sha256Hex(bytes)), bytes)
        }
        encodings[key] = encoding
        while (encodings.size > KEPT_ENCODINGS) encodings.remove(encodings.keys.first())
        return encoding
    }
}

/** Returns the service for the documents in [snapshots], which it keeps from now on. */
internal fun documentServiceOf(snapshots: StateFlow<ServingSnapshot>, control: ControlThread): DocumentService =
    DocumentService(snapshots, control).also { it.start() }
