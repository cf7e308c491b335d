/*
 * A typed pair of request and reply that two processes of this system exchange. Links use CBOR; the types define
 * nothing about the encoding beyond their serializers.
 */
package fulmarshunt.link

import kotlinx.serialization.KSerializer

/** A kind of call: its name and the types of its request and reply. */
public class Channel<Q : Any, R : Any>(
    public val name: String,
    public val request: KSerializer<Q>,
    public val reply: KSerializer<R>,
)
