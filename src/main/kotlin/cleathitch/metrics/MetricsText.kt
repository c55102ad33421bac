package cleathitch.metrics

import io.micrometer.core.instrument.Measurement
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry

/** The metrics as text, a line for each measurement: name with statistic, tags, value. */
object MetricsText {
    /** All present values, by name. */
    fun text(meters: MeterRegistry): String = meters.meters.sortedBy { it.id.name }.joinToString("", transform = ::lines)

    private fun lines(meter: Meter): String = meter.measure().joinToString("") { line(meter.id, it) }

    private fun line(id: Meter.Id, measurement: Measurement): String {
        val tags = id.tags.joinToString("") { " ${it.key}=${it.value}" }
        return "${id.name}.${measurement.statistic.tagValueRepresentation}$tags ${measurement.value}\n"
    }
}
