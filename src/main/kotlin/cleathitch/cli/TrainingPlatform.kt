package cleathitch.cli

import cleathitch.http.HttpResponse
import cleathitch.protocol.TrainingMessages

/** A stub for [ClassArchiveTraining] that acts as both key-value store and cloud, and responds to every request with success. */
internal class TrainingPlatform {
    private var revision = 1L

    /** Returns a response with the fields of every response of both services. */
    fun respond(method: String, path: String): HttpResponse =
        HttpResponse(200, TrainingMessages.platformResponse(++revision, isRental = method == "POST" && path == "/hosts"))
}
