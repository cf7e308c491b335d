/*
 * Why the data directory of a voter cannot be used.
 */
package fulmarshunt.voter

/** Why a replicated log cannot be opened; the message is one line for the operator. */
public data class StorageProblem(
    public val message: String,
    /** True if the stored state is damaged, false if the settings name a directory that this process cannot use. */
    public val isDamaged: Boolean,
    /** True if the disk is full, so that the same call can succeed later. */
    public val isFull: Boolean = false,
)
