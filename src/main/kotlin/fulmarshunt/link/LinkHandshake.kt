/*
 * The handshake of a link. Each side proves that it knows the shared secret by a MAC over both nonces, its role and its
 * process id, so that a recorded proof is not valid on another connection or in the other direction.
 */
package fulmarshunt.link

import java.io.IOException
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val NONCE_BYTES = 32
private const val MAC_ALGORITHM = "HmacSHA256"
private val random = SecureRandom()

/**
 * Performs the handshake and returns the process id of the peer.
 *
 * @throws IOException if the peer uses another version or does not know the secret.
 */
internal suspend fun performHandshake(socket: LinkSocket, process: String, secret: String, role: LinkRole): String {
    val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
    socket.writeFrame(Hello(LINK_VERSION, process, nonce))
    val hello = socket.readFrame(MAX_HANDSHAKE_BYTES) as? Hello ?: throw IOException("peer sent no hello")
    if (hello.version != LINK_VERSION) throw IOException("peer speaks link version ${hello.version}, not $LINK_VERSION")
    val peerRole = if (role == LinkRole.DIALER) LinkRole.LISTENER else LinkRole.DIALER
    socket.writeFrame(Proof(mac(secret, role, process, nonce, hello.nonce)))
    val proof = socket.readFrame(MAX_HANDSHAKE_BYTES) as? Proof ?: throw IOException("peer sent no proof")
    val expected = mac(secret, peerRole, hello.process, hello.nonce, nonce)
    if (!MessageDigest.isEqual(expected, proof.mac)) throw IOException("peer ${hello.process} has another link secret")
    return hello.process
}

private fun mac(
    secret: String,
    role: LinkRole,
    process: String,
    ownNonce: ByteArray,
    peerNonce: ByteArray,
): ByteArray {
    val mac = Mac.getInstance(MAC_ALGORITHM)
    mac.init(SecretKeySpec(secret.encodeToByteArray(), MAC_ALGORITHM))
    mac.update(role.name.encodeToByteArray())
    mac.update(ownNonce)
    mac.update(peerNonce)
    return mac.doFinal(process.encodeToByteArray())
}
