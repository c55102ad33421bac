package cleathitch.controller

import cleathitch.cloud.CloudClient
import cleathitch.scheduler.model.MachineType
import kotlinx.coroutines.delay

/** Asks the cloud for its machine types at the start of the process, so that the first term has them from its beginning. */
internal class MachineTypeDiscovery(private val cloud: CloudClient, private val retryMs: Long) {
    /** The types that were found; empty until the cloud has answered. */
    var machineTypes: List<MachineType> = emptyList()
        private set

    /** Asks until the cloud names at least one type. */
    suspend fun run() {
        while (machineTypes.isEmpty()) {
            machineTypes = cloud.machineTypes().valueOrNull().orEmpty()
            if (machineTypes.isEmpty()) delay(retryMs)
        }
    }
}
