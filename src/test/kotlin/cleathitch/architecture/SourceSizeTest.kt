package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The linters have limits for classes and functions, none for files. */
class SourceSizeTest {
    @Test
    fun `no file of sources or tests is longer than 400 lines`() {
        val long = (SourceTree.main + SourceTree.tests).filter { it.lines.size > MAX_LINES }.map { "$it has ${it.lines.size} lines" }
        assertEquals(emptyList<String>(), long)
    }

    private companion object {
        const val MAX_LINES = 400
    }
}
