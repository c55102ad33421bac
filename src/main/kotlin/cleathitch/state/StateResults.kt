package cleathitch.state

import cleathitch.http.CallFailure

/** What was read from the state service, or why it wasn't. */
sealed interface StateRead<out T> {
    data class Value<T>(val value: T) : StateRead<T>
    data class Failed(val failure: StateFailure) : StateRead<Nothing>
}

/** Why the state service gave nothing that can be used. */
sealed interface StateFailure {
    data class NoAnswer(val failure: CallFailure) : StateFailure {
        override fun toString() = failure.description
    }

    data class Status(val status: Int) : StateFailure {
        override fun toString() = "status $status"
    }

    data class Garbled(val message: String?) : StateFailure {
        override fun toString() = "garbled: $message"
    }
}

/** What became of a transaction. */
sealed interface Txn {
    data class Done(val revision: Long) : Txn
    data class Refused(val failed: List<String>) : Txn
    data object NoLease : Txn

    /** Surely not carried out. */
    data class Unavailable(val reason: String) : Txn

    /** Carried out, or not, or it will be later. */
    data class Unknown(val failure: StateFailure) : Txn
}

/** What became of the renewal of a lease. */
sealed interface Renewal {
    data object Held : Renewal
    data object Gone : Renewal
    data class Unknown(val failure: StateFailure) : Renewal
}
