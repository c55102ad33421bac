package cleathitch.storage

import cleathitch.http.CallFailure

/** Why a request to the key-value store gave no usable response. */
sealed interface StoreFailure {
    /** There was no response. */
    data class NoResponse(val failure: CallFailure) : StoreFailure {
        override fun toString() = failure.description
    }

    /** The response has a [status] other than those the request expects. */
    data class UnexpectedStatus(val status: Int) : StoreFailure {
        override fun toString() = "status $status"
    }

    /** The response couldn't be parsed; [message] says what was expected and what was found. */
    data class Malformed(val message: String?) : StoreFailure {
        override fun toString() = "malformed response: $message"
    }
}
