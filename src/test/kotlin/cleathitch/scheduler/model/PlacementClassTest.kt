package cleathitch.scheduler.model

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PlacementClassTest {
    private fun placementClass(
        cpus: Double = 2.0,
        gpus: Double = 0.0,
        memoryGb: Double = 4.0,
        allowedTypes: Set<String>? = null,
        zone: String? = null,
        spotAllowed: Boolean = false,
    ) = PlacementClass(
        team = "red", kind = JobKind.ARRAY, priority = Priority.NORMAL, cpus = cpus, gpus = gpus, memoryGb = memoryGb,
        image = "image", allowedTypes = allowedTypes, zone = zone, oneZone = false, spread = false, spotAllowed = spotAllowed,
    )

    @Test
    fun `the scarcest resource determines how many tasks fit`() {
        assertEquals(3, placementClass().fittingTasks(freeCpus = 7.0, freeGpus = 0.0, freeMemoryGb = 100.0))
        assertEquals(1, placementClass().fittingTasks(freeCpus = 7.0, freeGpus = 0.0, freeMemoryGb = 7.0))
        assertEquals(0, placementClass(gpus = 1.0).fittingTasks(freeCpus = 7.0, freeGpus = 0.0, freeMemoryGb = 100.0))
    }

    @Test
    fun `a rounding error doesn't prevent a task from fitting, and no task fits on an overcommitted machine`() {
        val tenth = placementClass(cpus = 0.1, memoryGb = 0.1)
        val leftOfOne = 1.0 - (0.1 + 0.2 + 0.3 + 0.3)
        assertTrue(leftOfOne < 0.1)
        assertEquals(1, tenth.fittingTasks(freeCpus = leftOfOne, freeGpus = 0.0, freeMemoryGb = 1.0))
        assertEquals(0, tenth.fittingTasks(freeCpus = -1.0, freeGpus = 0.0, freeMemoryGb = 1.0))
    }

    @Test
    fun `an offer is permitted only if its type, its zone and its use of spot machines are allowed`() {
        val offer = Offer("m4", "a", spot = true)
        assertFalse(placementClass().permits(offer))
        assertTrue(placementClass(spotAllowed = true).permits(offer))
        assertFalse(placementClass(spotAllowed = true, zone = "b").permits(offer))
        assertFalse(placementClass(spotAllowed = true, allowedTypes = setOf("m8")).permits(offer))
        assertTrue(placementClass(allowedTypes = setOf("m4"), zone = "a").permits(offer.copy(spot = false)))
    }
}
