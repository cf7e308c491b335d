/*
 * Keys of client accounts and operators. A key has 256 random bits, so its plain SHA-256 can be stored: there is no
 * list of likely keys to try against it.
 */
package fulmarshunt.operator

import fulmarshunt.platform.Secret
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64

private const val KEY_BYTES = 32
private const val SHA256_HEX_CHARACTERS = 64

/** Makes a new key. */
public typealias KeySource = () -> Secret

/** Returns a source of keys with 256 random bits, written in the URL-safe base 64 alphabet. */
public fun randomKeys(): KeySource {
    val random = SecureRandom()
    return {
        val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
        Secret(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
    }
}

/** Returns the hexadecimal SHA-256 of [key]. */
public fun keySha256(key: Secret): String = sha256Hex(key.value.encodeToByteArray())

/** Returns the hexadecimal SHA-256 of [bytes]. */
internal fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }

/** True if [text] is a hexadecimal SHA-256 in lower case. */
public fun isKeySha256(text: String): Boolean =
    text.length == SHA256_HEX_CHARACTERS && text.all { it in '0'..'9' || it in 'a'..'f' }
