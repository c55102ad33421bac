package cleathitch.cli

import cleathitch.http.HttpReply
import cleathitch.protocol.TrainingMessages

/** A key-value store and a cloud in one, which agree to every request, whatever it is; for [ClassArchiveTraining]. */
internal class TrainingPlatform {
    private var revision = 1L

    /** One answer that holds the fields of all answers. */
    fun answer(method: String, path: String): HttpReply =
        HttpReply(200, TrainingMessages.platformAnswer(++revision, isRental = method == "POST" && path == "/hosts"))
}
