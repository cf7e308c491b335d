/*
 * Keys of client accounts and operators. A key has 256 random bits, which cannot be found by a dictionary attack, so an
 * unsalted SHA-256 of it is safe to store.
 */
package fulmarshunt.operator

import fulmarshunt.process.Secret
import fulmarshunt.sha256Hex
import java.security.SecureRandom
import java.util.Base64

private const val KEY_BYTES = 32

/** Generates a new key. */
public typealias KeySource = () -> Secret

/** Returns a source of keys with 256 random bits, encoded in URL-safe base64. */
public fun randomKeys(): KeySource {
    val random = SecureRandom()
    return {
        val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
        Secret(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
    }
}

/** Returns the hexadecimal SHA-256 of [key]. */
public fun keySha256(key: Secret): String = sha256Hex(key.value)
