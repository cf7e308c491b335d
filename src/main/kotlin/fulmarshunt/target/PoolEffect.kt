/*
 * What the owner of a pool wants done as the result of a decision. The caller performs the effects in order; the pool
 * itself performs no input or output.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.entry.AdmissionReply

/** Something that the pool wants done. */
public sealed interface PoolEffect

/** Answers the admission call for [ticket]; there is exactly one for each admitted ticket. */
public data class SendAdmissionReply(public val ticket: TicketId, public val reply: AdmissionReply) : PoolEffect

/** Cancels the generation of [ticket], because nobody receives it any more. */
public data class CancelGeneration(
    public val target: TargetId,
    public val address: Address,
    public val ticket: TicketId,
) : PoolEffect

/**
 * Reports that [target] died while the requests in [running] ran on it. Those in [alreadyCounted] were placed before
 * their last death was known; several targets that fail together must not count several times against them.
 */
public data class ReportCrash(
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val running: List<Fingerprint>,
    public val alreadyCounted: Set<Fingerprint> = emptySet(),
) : PoolEffect

/** Orders the engine [target] to load a service from the weight store. */
public data class IssueLoad(
    public val target: TargetId,
    public val address: Address,
    public val load: EngineLoad,
    /** True if the order was issued before and the engine has not announced the load yet. */
    public val isRepeat: Boolean,
) : PoolEffect
