package cleathitch.scheduler

import cleathitch.scheduler.model.StoreLimits
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/**
 * Random mixes of jobs, fleets and store limits: every planned commit keeps the limits to the byte, and whenever a leader takes over, the
 * replay gives the state that was committed. For more seeds: `mvn -Dtest=LogPropertyTest -Dlog.seeds=500 test`.
 */
class LogPropertyTest {
    private val seeds = Integer.getInteger("log.seeds", 12)

    /** A commit over a limit stops all decisions of the cluster; a state that is lost in a compaction makes tasks run twice. */
    @TestFactory
    fun `every commit keeps the limits, and every replay gives the committed state`() = (1..seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") { check(Random(seed), rejectsCommits = false) }
    }

    /** Records that were split wrongly would be replayed in another order, or count as committed before all their events are. */
    @TestFactory
    fun `every replay gives the committed state if commits are rejected and planned anew`() = (1..seeds).map { seed ->
        DynamicTest.dynamicTest("seed $seed") { check(Random(seed), rejectsCommits = true) }
    }

    private fun check(random: Random, rejectsCommits: Boolean) {
        val limits = LIMITS.random(random)
        val model = LogModel(random, limits)
        repeat(TAKEOVERS) {
            repeat(random.nextInt(MAX_DECISIONS)) {
                model.decide()
                if (random.nextInt(3) > 0) model.commit(rejectsCommits)
            }
            if (random.nextBoolean()) model.drain()
            model.takeOver(limits)
        }
    }

    private companion object {
        const val TAKEOVERS = 8
        const val MAX_DECISIONS = 200

        /** The limits of the deployments, those of the smallest one, the least that the settings permit, and some in between. */
        val LIMITS = listOf(
            StoreLimits(65_536, 16_384, 32),
            StoreLimits(65_536, 2048, 10),
            StoreLimits(65_536, 2048, 8),
            StoreLimits(65_536, 4096, 16),
            StoreLimits(65_536, 65_536, 8),
            StoreLimits(65_536, 1024, 64),
        )
    }
}
