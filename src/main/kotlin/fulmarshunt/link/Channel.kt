/*
 * A typed pair of request and reply that two of our processes exchange. The link carries CBOR; the types say nothing
 * about the encoding beyond their serializers.
 */
package fulmarshunt.link

import kotlinx.serialization.KSerializer

/** Names a kind of call and gives the types of its request and reply. */
public class Channel<Q : Any, R : Any>(
    public val name: String,
    public val request: KSerializer<Q>,
    public val reply: KSerializer<R>,
)
