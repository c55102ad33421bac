package cleathitch.core

/** What reaches the engine. */
sealed interface Command {
    data class Submit(val request: RequestId, val spec: JobSpec) : Command
    data class Poll(val request: RequestId, val job: JobId) : Command
    data class Abort(val request: RequestId, val job: JobId) : Command

    /** A report of a machine that came to this node itself and waits for an answer. */
    data class Reported(val request: RequestId, val report: Report) : Command

    /** Reports of machines and polls of users that came to a follower, each of which waits for its answer. */
    data class FollowerBatch(val request: RequestId, val reports: List<ForwardedReport>, val polls: List<JobId> = emptyList()) : Command

    /** A report that came as the answer to orders sent directly. */
    data class Inspected(val report: Report) : Command

    /** Orders or a question sent directly to a machine got no answer. */
    data class DirectUnanswered(val machine: MachineId) : Command

    data class LeaseHeld(val untilMs: Long) : Command
    data class Committed(val seq: Seq, val revision: Long) : Command
    data class TypesListed(val types: List<MachineType>) : Command
    data class MachinesListed(val machines: List<ListedMachine>) : Command
    data class RentalAnswered(val request: String, val answer: RentalAnswer) : Command
    data class Returned(val machines: List<MachineId>) : Command

    /** What an earlier leader told of machines' images: a hint for placement, on which no rule rests. */
    data class ImagesTold(val images: Map<MachineId, HeldImages>) : Command
    data object Tick : Command
}

sealed interface RentalAnswer {
    data class Rented(val machines: List<MachineId>) : RentalAnswer
    data object NoCapacity : RentalAnswer

    /** The cloud said no to the request itself; asking again won't help. */
    data object Rejected : RentalAnswer

    /** No answer, or one that says nothing; the request is asked again under its name. */
    data object Unknown : RentalAnswer
}

/** What the engine wants done, in this order. */
sealed interface Effect {
    data class Answer(val request: RequestId, val reply: UserReply) : Effect
    data class AnswerReport(val request: RequestId, val version: OrderVersion, val orders: List<Order>) : Effect
    data class RefuseReport(val request: RequestId) : Effect

    /** The decisions about a follower's reports and the answers to its polls, each in the order of the batch. */
    data class AnswerFollower(val request: RequestId, val decisions: List<ReportDecision>, val statuses: List<UserReply> = emptyList()) :
        Effect
    data class Write(val commit: Commit) : Effect

    /** Something that goes to a worker other than as the answer to its report. */
    sealed interface ToWorker : Effect {
        val machine: MachineId
    }

    data class Push(
        override val machine: MachineId,
        val addr: String,
        val session: Long,
        val version: OrderVersion,
        val orders: List<Order>,
    ) : ToWorker

    /** Asks a machine for its report. */
    data class Inspect(override val machine: MachineId, val addr: String) : ToWorker
    data class Rent(val asked: Event.RentalAsked) : Effect
    data class Return(val machines: List<MachineId>) : Effect

    /** For the followers, of which one may lead next. */
    data class TellImages(val images: Map<MachineId, HeldImages>) : Effect

    /** Gives the term up; [handOver] leaves the next one to others, who are better placed. */
    data class StepDown(val reason: String, val handOver: Boolean = false) : Effect
    data class Note(val level: NoteLevel, val text: String) : Effect
}

enum class NoteLevel { ERROR, INFO, DEBUG }

enum class ShownState { QUEUED, RUNNING, DONE, CANCELLED }

sealed interface UserReply {
    data class Accepted(val job: JobId, val state: ShownState, val known: Boolean) : UserReply
    data class Status(val job: JobId, val state: ShownState, val done: Int, val running: Int) : UserReply
    data class Aborted(val job: JobId, val state: ShownState) : UserReply
    data class NeverRuns(val reason: String) : UserReply
    data object NotFound : UserReply

    /** Not now; the user may ask again after [retryAfterS]. */
    data class NotNow(val reason: String, val retryAfterS: Int = 1) : UserReply
}

/** What a new leader finds in the state service. */
data class Snapshot(
    val head: Seq,
    val records: List<Pair<Seq, Record>>,
    val jobs: List<StoredJob>,
    val fleet: FleetCell?,
    val finals: List<Pair<Long, FinalsCell>>,
) {
    data class StoredJob(val cell: JobCell, val parts: Int)

    companion object {
        val EMPTY = Snapshot(Seq.NONE, emptyList(), emptyList(), null, emptyList())
    }
}
