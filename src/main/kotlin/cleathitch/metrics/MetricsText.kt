package cleathitch.metrics

import io.micrometer.core.instrument.MeterRegistry

/** The metrics as lines of name, tags and value. */
object MetricsText {
    fun text(meters: MeterRegistry): String = meters.meters.sortedBy { it.id.name }.joinToString("") { meter ->
        meter.measure().joinToString("") { measurement ->
            val tags = meter.id.tags.joinToString("") { " ${it.key}=${it.value}" }
            "${meter.id.name}.${measurement.statistic.tagValueRepresentation}$tags ${measurement.value}\n"
        }
    }
}
