/*
 * Reconciles the members of the replicated log with the control VMs that exist, as MembershipPlan.kt decides.
 */
package fulmarshunt.voter

import fulmarshunt.process.ControlThread
import org.apache.logging.log4j.LogManager

private const val PERIOD_MS = 500L
private const val STEP_TIMEOUT_MS = 2_000L

/** Adds and removes members of [log] until they match the VMs of [directory], whenever this voter leads. */
public fun reconcileMembership(log: ReplicatedLog, directory: ControlDirectory, control: ControlThread) {
    val logger = LogManager.getLogger("fulmarshunt.voter.MembershipKeeper")
    control.every(PERIOD_MS) {
        val membership = log.membershipOrNull
        if (!log.leadership.value.isLeader || membership == null) return@every
        val step = nextMembershipStepOrNull(membership, directory.seenWithin(MEMBER_SILENCE_MS), log.id) ?: return@every
        val result = when (step) {
            is MembershipStep.Add ->
                log.addVoter(step.vm.voter, step.vm.vm, step.vm.linkAddress, STEP_TIMEOUT_MS)
            is MembershipStep.Remove -> log.removeVoter(step.id, STEP_TIMEOUT_MS)
        }
        logger.info("membership step={} members={} result={}", step, membership.members.map { it.id }, result)
    }
}
