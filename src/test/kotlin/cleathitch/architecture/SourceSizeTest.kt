package cleathitch.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Limits the length of source files, because the linters limit only the length of classes and functions. */
class SourceSizeTest {
    @Test
    fun `no source or test file is longer than 400 lines`() {
        val violations = (SourceTree.main + SourceTree.tests).filter { it.lines.size > MAX_LINES }.map { "$it has ${it.lines.size} lines" }
        assertEquals(emptyList<String>(), violations)
    }

    private companion object {
        const val MAX_LINES = 400
    }
}
