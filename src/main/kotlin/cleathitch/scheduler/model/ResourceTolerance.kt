package cleathitch.scheduler.model

/**
 * Tolerance in comparisons of resource amounts (CPUs, GPUs, gigabytes, tasks). Rounding errors in sums of decimal amounts are far
 * smaller than any requested amount; without the tolerance a rounding error may keep the last fitting task off its machine.
 */
const val RESOURCE_TOLERANCE = 1e-6
