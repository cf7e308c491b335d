/*
 * The decisions of one pool as its host uses them. All of them run on the control thread.
 */
package fulmarshunt.entry

import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.operator.Configuration
import fulmarshunt.target.PoolEffect
import fulmarshunt.target.TargetAnnouncement

/** The operations of a pool; the last argument of each is the time. */
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
)

/** Creates the decisions of a pool that admits nothing before the given time. */
public typealias CreatePool = (PoolId, FencingNumber, Long) -> HostedPool
