package cleathitch.scheduler.model

/**
 * Slack in comparisons of resource amounts (processors, accelerators, gigabytes, tasks). Sums of decimal amounts differ from
 * the exact ones by far less than any amount that is asked for; without the slack
 * a rounding error may keep the last fitting task off its machine.
 */
const val RESOURCE_TOLERANCE = 1e-6
