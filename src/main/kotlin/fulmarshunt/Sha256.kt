/*
 * SHA-256 hashes in lower-case hexadecimal digits, the form used in settings, configurations and messages.
 */
package fulmarshunt

import java.security.MessageDigest

private const val SHA256_HEX_CHARACTERS = 64

/** Returns the hexadecimal SHA-256 of [bytes]. */
public fun sha256Hex(bytes: ByteArray): String = MessageDigest.getInstance("SHA-256").digest(bytes).toHex()

/** Returns the hexadecimal SHA-256 of [text] in UTF-8. */
public fun sha256Hex(text: String): String = sha256Hex(text.encodeToByteArray())

/** Returns whether [text] is a hexadecimal SHA-256 in lower case. */
public fun isSha256Hex(text: String): Boolean =
    text.length == SHA256_HEX_CHARACTERS && text.all { it in '0'..'9' || it in 'a'..'f' }

/** Returns the bytes as lower-case hexadecimal digits. */
internal fun ByteArray.toHex(): String = joinToString("") { "%02x".format(it) }
