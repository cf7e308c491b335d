/*
 * Carries out the plan of MembershipPlan.kt on the leader.
 */
package fulmarshunt.voter

import fulmarshunt.process.ControlThread
import org.apache.logging.log4j.LogManager

private const val PERIOD_MS = 500L
private const val STEP_LIMIT_MS = 2_000L

/** Keeps the membership of [log] in line with the VMs of [directory] while this voter leads. */
public fun reconcileMembership(log: ReplicatedLog, directory: ControlDirectory, control: ControlThread) {
    val logger = LogManager.getLogger("fulmarshunt.voter.MembershipKeeper")
    control.every(PERIOD_MS) {
        val membership = log.membershipOrNull
        if (!log.leadership.value.isLeader || membership == null) return@every
        val step = nextMembershipStepOrNull(membership, directory.present(MEMBER_SILENCE_MS), log.id) ?: return@every
        val result = when (step) {
            is MembershipStep.Add ->
                log.addVoter(step.vm.voter, step.vm.vm, step.vm.linkAddress, STEP_LIMIT_MS)
            is MembershipStep.Remove -> log.removeVoter(step.id, STEP_LIMIT_MS)
        }
        logger.info("membership step={} members={} result={}", step, membership.members.map { it.id }, result)
    }
}
