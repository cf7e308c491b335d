/*
 * Hashes of the content of requests. They decide about quarantine and about the reuse of idempotency keys, so that the
 * hashes of different contents must not collide; hence SHA-256.
 */
package fulmarshunt.caller

import fulmarshunt.Fingerprint
import fulmarshunt.toHex
import java.security.MessageDigest

/** Half of a SHA-256 hash still makes collisions infeasible and keeps messages small. */
private const val FINGERPRINT_DIGITS = 32

/** Returns the fingerprint of [parts], which depends on their boundaries as well. */
public fun fingerprintOf(vararg parts: ByteArray): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach { part ->
        digest.update("${part.size}:".encodeToByteArray())
        digest.update(part)
    }
    return Fingerprint(digest.digest().toHex().take(FINGERPRINT_DIGITS))
}

/** Returns the fingerprint of the content of this request. */
public fun GenerationRequest.fingerprint(): Fingerprint {
    val text = messages.joinToString("\n") { "${it.role.length}:${it.role}:${it.content}" }
    return fingerprintOf(service.value.encodeToByteArray(), text.encodeToByteArray())
}
