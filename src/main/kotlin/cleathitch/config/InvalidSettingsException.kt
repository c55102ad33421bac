package cleathitch.config

import java.nio.file.Path

/** A settings file is invalid or unreadable; the message names the file, the key if there is one, and the reason. */
class InvalidSettingsException(file: Path, key: String?, reason: String, cause: Throwable? = null) :
    Exception(listOfNotNull("$file", key, reason).joinToString(": "), cause)
