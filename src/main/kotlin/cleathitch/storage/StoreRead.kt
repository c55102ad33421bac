package cleathitch.storage

/** What was read from the key-value store, or why nothing was. */
sealed interface StoreRead<out T> {
    /** The [value] that was read. */
    data class Value<T>(val value: T) : StoreRead<T>

    /** Nothing was read, because of [failure]. */
    data class Failed(val failure: StoreFailure) : StoreRead<Nothing>
}
