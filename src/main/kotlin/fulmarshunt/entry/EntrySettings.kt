/*
 * The settings of an entry VM.
 */
package fulmarshunt.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The VM that the process runs on. */
@Serializable
public class VmSettings(
    public val id: String,
    @SerialName("failure_domain")
    public val domain: String,
    /** A directory that survives restarts, on VMs that have a disk. */
    @SerialName("data_directory")
    public val dataDirectory: String? = null,
)

/** Where a server listens, as `host:port`. */
@Serializable
public class ListenSettings(public val listen: String)

/** The settings of an entry VM. */
@Serializable
public class EntrySettings(
    public val vm: VmSettings,
    public val callers: ListenSettings,
    public val targets: ListenSettings,
)
