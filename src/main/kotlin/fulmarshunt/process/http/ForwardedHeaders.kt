/*
 * Which headers of an HTTP message are passed on to the other side of this process.
 */
package fulmarshunt.process.http

import io.ktor.http.Headers

/** Headers that concern one connection only. */
public val connectionHeaders: Set<String> =
    setOf(
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )

/** Returns the headers whose names, in lower case, are not in [dropped], with one pair for each value. */
public fun Headers.pairsWithout(dropped: Set<String>): List<Pair<String, String>> = entries()
    .filter { (name, _) -> name.lowercase() !in dropped }
    .flatMap { (name, values) -> values.map { name to it } }
