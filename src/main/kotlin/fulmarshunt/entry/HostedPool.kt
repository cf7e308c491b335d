/*
 * The operations of one pool that its host calls. All of them run on the control thread.
 */
package fulmarshunt.entry

import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.operator.Configuration
import fulmarshunt.target.Pool
import fulmarshunt.target.PoolEffect
import fulmarshunt.target.PoolView
import fulmarshunt.target.TargetAnnouncement

/** The operations of a pool; where an operation takes a time, it is the last argument. */
public class HostedPool(
    public val announce: (TargetAnnouncement, Long) -> List<PoolEffect>,
    public val admit: (AdmissionRequest, Long) -> List<PoolEffect>,
    public val withdraw: (TicketId, Long) -> List<PoolEffect>,
    public val progress: (Progress, Long) -> List<PoolEffect>,
    public val end: (TicketId, Int, TicketOutcome, Long) -> List<PoolEffect>,
    public val reregister: (VmId, List<RunningTicket>, Long) -> List<PoolEffect>,
    public val vmLost: (VmId, Long) -> List<PoolEffect>,
    public val configure: (Configuration, Long) -> List<PoolEffect>,
    public val tick: (Long) -> List<PoolEffect>,
    public val nextTickMs: () -> Long?,
    public val view: () -> PoolView,
)

/** Returns the operations of [pool]. */
public fun hostedPoolOf(pool: Pool): HostedPool = HostedPool(
    announce = pool::announce,
    admit = pool::admit,
    withdraw = pool::withdraw,
    progress = { report, nowMs ->
        pool.progress(report.ticket, report.tokens, report.firstTokenMs, report.betweenTokensMs, nowMs)
    },
    end = pool::end,
    reregister = pool::reregister,
    vmLost = pool::vmLost,
    configure = pool::configure,
    tick = pool::tick,
    nextTickMs = pool::nextTickMs,
    view = pool::view,
)

/** Creates the operations of a pool that admits nothing before the given time. */
public typealias CreatePool = (PoolId, FencingNumber, Long) -> HostedPool
