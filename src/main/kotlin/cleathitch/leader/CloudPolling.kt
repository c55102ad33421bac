package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.Deployment
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Periodically requests the cloud provider's machine types and its list of machines, and enqueues them as inputs of the scheduler. */
internal class CloudPolling(private val cloud: CloudClient, private val deployment: Deployment, private val enqueue: (Input) -> Unit) {
    /** Starts polling in [scope]; cancelling the scope stops it. */
    fun launchIn(scope: CoroutineScope) {
        scope.launch { pollMachineTypes() }
        scope.launch { pollMachines() }
    }

    private suspend fun pollMachineTypes() {
        val periodMs = deployment.workerLeaseMs
        while (true) {
            cloud.machineTypes().valueOrNull()?.let { enqueue(Input.MachineTypesListed(it)) }
            delay(periodMs)
        }
    }

    /** Polls no more often than the cloud provider updates its list: a more frequent request would return the same list. */
    private suspend fun pollMachines() {
        val periodMs = maxOf(deployment.machineListLagMs, deployment.heartbeatPeriodMs)
        while (true) {
            cloud.machines().valueOrNull()?.let { enqueue(Input.MachinesListed(it)) }
            delay(periodMs)
        }
    }
}
