/*
 * The messages with which an entry VM fetches a serving configuration. A watch brings only a reference to it; its bytes
 * follow in an encoded form (DocumentEncoding.kt), in parts that are small enough not to delay other messages on a slow
 * link.
 */
package fulmarshunt.entry.document

import fulmarshunt.ConfigurationVersion
import fulmarshunt.ContentDigest
import fulmarshunt.link.Channel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The maximum size of the encoded bytes in one part; 16 KiB take 18 ms on a link of 7.5 Mbit/s. */
internal const val DOCUMENT_PART_BYTES: Int = 16 * 1_024

/** Names a configuration by its version and content. */
@Serializable
public data class DocumentReference(
    public val version: ConfigurationVersion,
    public val digest: ContentDigest,
    public val sizeBytes: Int,
)

/** Requests the part of an encoded document that begins at [offsetBytes]. */
@Serializable
internal data class DocumentRequest(
    val wanted: ContentDigest,
    /** A document that the sender has, so that only the changes to it need to be sent. */
    val base: ContentDigest? = null,
    /** The digest of the encoded document of which the sender has the bytes before [offsetBytes]. */
    val encoding: ContentDigest? = null,
    val offsetBytes: Int = 0,
)

/** The reply to a [DocumentRequest]. */
@Serializable
internal sealed interface DocumentReply

/**
 * A part of an encoded document. If [encoding] is not the requested one, for example at another control VM that lacks
 * the base, the part is the first one.
 */
@Serializable
@SerialName("p")
internal class DocumentPart(
    val encoding: ContentDigest,
    /** The document to which the encoded one has changes, or null if it is complete. */
    val base: ContentDigest?,
    val encodedBytes: Int,
    val offsetBytes: Int,
    @ByteString val bytes: ByteArray,
) : DocumentReply

/** The control VM does not have the document, because it has not applied it yet or has a newer one. */
@Serializable
@SerialName("u")
internal data object UnknownDocument : DocumentReply

internal val documentChannel: Channel<DocumentRequest, DocumentReply> =
    Channel("document", DocumentRequest.serializer(), DocumentReply.serializer())
