package cleathitch.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path

class OperatorSettingsTest {
    @TempDir
    lateinit var folder: Path

    private fun file(text: String): Path = Files.writeString(folder.resolve("f"), text)

    @Test
    fun `the operators' file must be one map of known keys`() {
        assertEquals(
            OperatorSettings(compactionPeriodS = 5.0, cloudShare = 0.5),
            OperatorSettings.read(file("{:trim-s 5 ; seconds\n :cloud-share 0.5}")),
        )
        for ((text, reason) in mapOf(
            "{:trims 5}" to ":trims: is unknown",
            "{:trim-s \"x\"}" to ":trim-s",
            "{:a" to "isn't EDN",
            "3" to "isn't one map",
            "{} {}" to "more than one",
        )) {
            val message = assertThrows(InvalidSettingsException::class.java) { OperatorSettings.read(file(text)) }.message.orEmpty()
            assertTrue(reason in message, message)
        }
    }
}
