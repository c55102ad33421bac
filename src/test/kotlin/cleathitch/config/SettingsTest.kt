package cleathitch.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path

class SettingsTest {
    @TempDir
    lateinit var folder: Path

    private val valid = """
        {"member":"n0","domain":"z","bind":"127.0.0.1:1","internal_addr":"127.0.0.1:2","later":true,
         "seeds":[{"member":"n1","domain":"z","addr":"127.0.0.1:3"}],
         "outside":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
         "cluster":{"initial_size":3,"zones":["z"],"teams":[{"name":"t","cpus":1,"cpus_max":0,"gpus":0,"gpus_max":0}],
          "objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9},{"kind":"new","x":1}],
          "workers":{"report_s":3,"lease_s":34,"cancel_s":64},
          "state":{"rps":100,"write_rps":40,"value_kb":16,"txn_ops":32},"cloud":{"rps":4,"list_lag_s":4},
          "resources":{"cpu":0.3,"memory_mb":325,"max_sockets":2000},"skew_ms":100}}
    """

    private fun file(text: String): Path = Files.writeString(folder.resolve("f"), text)

    @Test
    fun `settings are read, ignoring unknown keys and unknown kinds of objectives, and a maximum of 0 means no limit`() {
        val settings = Settings.read(file(valid))
        assertEquals("n0", settings.member)
        assertEquals(null, settings.deployment.teams.getValue("t").maxCpus)
        assertEquals(1, settings.deployment.objectives.size)
    }

    @Test
    fun `the error for invalid settings names file, key and reason`() {
        val invalid = mapOf(
            valid.replace("\"member\":\"n0\",", "") to "member: is missing",
            valid.replace("127.0.0.1:4", "nowhere") to "outside.cloud: must be host:port",
            valid.replace("\"lease_s\":34", "\"lease_s\":-1") to "cluster.workers.lease_s",
            valid.replace("\"cancel_s\":64", "\"cancel_s\":30") to "cluster.workers.cancel_s",
            valid.replace("\"zones\":[\"z\"]", "\"zones\":\"z\"") to "cluster.zones",
            "{" to "isn't JSON",
            "[]" to "isn't a JSON object",
        )
        for ((text, reason) in invalid) {
            val message = assertThrows(InvalidSettingsException::class.java) { Settings.read(file(text)) }.message.orEmpty()
            assertTrue(message.startsWith(folder.toString()) && reason in message, message)
        }
    }
}
