package cleathitch.metrics

import io.micrometer.core.instrument.Measurement
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry

/** Formats metrics as text with one line per measurement: name and statistic, tags, value. */
object MetricsText {
    /** Formats the current values of all meters, ordered by name. */
    fun text(meterRegistry: MeterRegistry): String = meterRegistry.meters.sortedBy { it.id.name }.joinToString("", transform = ::lines)

    private fun lines(meter: Meter): String = meter.measure().joinToString("") { line(meter.id, it) }

    private fun line(id: Meter.Id, measurement: Measurement): String {
        val tags = id.tags.joinToString("") { " ${it.key}=${it.value}" }
        return "${id.name}.${measurement.statistic.tagValueRepresentation}$tags ${measurement.value}\n"
    }
}
