package cleathitch.storage

import cleathitch.http.CallFailure

/** Why the state service gave nothing that can be used. */
sealed interface StoreFailure {
    data class NoAnswer(val failure: CallFailure) : StoreFailure {
        override fun toString() = failure.description
    }

    data class Status(val status: Int) : StoreFailure {
        override fun toString() = "status $status"
    }

    data class Garbled(val message: String?) : StoreFailure {
        override fun toString() = "garbled: $message"
    }
}
