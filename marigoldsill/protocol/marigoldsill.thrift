/**
 * Messages between the processes of marigoldsill, and the records of its
 * replicated state. Regenerate with `make generate`; the result is committed.
 */
namespace py marigoldsill.protocol.generated

// ---------------------------------------------------------------- declared records

/** What a worker can hold or a task asks for. */
struct Resources {
  1: i64 cpu_millicores = 0,
  2: i64 memory_bytes = 0,
  3: i32 accelerators_count = 0
}

enum Kind { SERVICE = 1, BATCH_JOB = 2, WATCHER = 3 }

/** A service: answers callers while they wait. */
struct Service {
  1: string name,
  2: string team = "default",
  3: Resources resources,              // declared, per instance
  4: i32 instances_count = 1,
  5: i32 slots_count = 10,             // concurrent requests per instance
  6: i32 connections_count = 60,
  7: i64 latency_target_ms = 200,
  8: i64 timeout_ms = 5000,            // default deadline of a request
  9: string command = "",              // passed to the platform unchanged
  10: i32 urgency = 5                  // 0 (may be sacrificed) to 9
}

/** A batch job: finishes once, by its deadline. */
struct BatchJob {
  1: string name,
  2: string team = "default",
  3: Resources resources,
  4: i64 run_time_ms = 60000,          // declared: a hint
  5: i64 deadline_unix_ms = 0,         // 0: none
  6: bool checkpointable = true,
  7: bool idempotent = true,
  8: string command = "",
  9: i32 urgency = 3,
  10: i32 attempts_limit = 3           // own failures until it is abandoned
}

/** A watcher: always running; its absence is an alarm. */
struct Watcher {
  1: string name,
  2: string team = "default",
  3: Resources resources,
  4: i64 absence_limit_ms = 10000,
  5: string command = "",
  6: i32 urgency = 7
}

/** A team and the most it may hold at a time (0: no limit). */
struct Team {
  1: string name,
  2: Resources quota
}

/** Operator policy: what the placement weighs. Weights are 0 to 1. */
struct Policy {
  1: double latency_weight = 0.5,
  2: double batch_weight = 0.5,
  3: double eviction_share_limit = 0.2,   // share of running work per minute
  4: i64 lease_ms = 3000,
  5: bool sharing_allowed = true
}

/** Everything an operator declares; also the body of an intent file. */
struct Intent {
  1: list<Service> services = [],
  2: list<BatchJob> batch_jobs = [],
  3: list<Watcher> watchers = [],
  4: list<Team> teams = []
}

// ------------------------------------------------- queues and their jobs

/** A pool of workers that runs the tasks of the queues that name it. */
struct Pool {
  1: string name,
  2: bool guards_capacity = false,  // its workers refuse runs that do not fit
  3: bool standby = false           // its VMs are off until they are moved
}

/** A queue that takes jobs of steps. */
struct Queue {
  1: string name,
  2: string host,                   // callers address it by host and path prefix
  3: string path_prefix,
  4: string pool,
  5: i32 priority = 0,              // 0 is served first
  6: i32 attempts_limit = 3,        // own failures of a task until it is abandoned
  7: double stretch_ratio = 1.5,    // of the ideal run time that callers accept
  8: i64 latency_target_ms = 250,   // in addition to the stretched run time
  9: i64 timeout_ms = 3000,         // maximum time for an answer
  10: bool advised = false,         // an adviser decides which workers may run it
  11: i64 advice_decision_ms = 0,
  12: i64 advice_period_ms = 0,
  13: i64 advice_validity_ms = 0
}

/** The routing that operators replace as a whole. */
struct Routing {
  1: i64 version = 0,
  2: list<Queue> queues = [],
  3: list<Pool> pools = [],
  4: binary document = ""           // as the operator sent it
}

/** A group of equal tasks of a job. */
struct Step {
  1: i32 tasks_count,
  2: Resources resources,           // of one task
  3: i64 estimated_ms = 0,
  4: list<i32> after = [],          // earlier steps that must finish first
  5: bool checkpointing = false,
  6: bool gang = false,             // its tasks only work together
  7: bool same_rack = false,        // a gang that is slower across racks
  8: string required_label = "",
  9: string preferred_rack = "",
  10: i32 spread_limit = 0,         // maximum tasks on one worker; 0: no limit
  11: bool speculative = false,     // several copies of a task may run at once
  12: bool long_running = false,
  13: string image = "",
  14: i64 tail_target_ms = 0,       // tail latency target of a task with its own users
  15: bool best_effort = false,           // uses processor time that others do not need
  16: i32 absent_limit = 0          // tasks that may be absent because of the scheduler
}

/** A job of steps, as its caller handed it in. */
struct Job {
  1: string job_id,
  2: string queue,
  3: string command,                // passed to workers unchanged
  4: list<Step> steps,
  5: i32 repeat_count = 0,          // 0: runs once, now
  6: i64 first_due_unix_ms = 0,
  7: i64 interval_ms = 0,
  8: i64 accepted_unix_ms = 0       // set by the leader
}

// -------------------------------------------------------- state records

enum TaskState {
  QUEUED = 1,        // waits for a worker
  ASSIGNED = 2,      // (task, epoch) granted to a worker
  RUNNING = 3,       // the agent reported its start
  STOPPING = 4,      // chosen for eviction, cancelled or removed; may be alive
  DONE = 5,
  CANCELLED = 6,
  FAILED = 7,        // failed by itself attempts_limit times, or lost with workers
  IMPOSSIBLE = 8     // no worker has the capacity for it
}

/** One instance to run; a run is (task, epoch). */
struct Task {
  1: string name,                 // owner name, "/", index
  2: string owner,                // name of the service, batch job or watcher
  3: Kind kind,
  4: TaskState state = 1,
  5: i64 epoch = 0,               // 0: never granted
  6: string worker = "",          // its worker while ASSIGNED, RUNNING, STOPPING
  7: string checkpoint_id = "",
  8: i64 worked_ms = 0,           // work that the last checkpoint contains
  9: i32 failures_count = 0,
  10: i64 queued_unix_ms = 0,
  11: i64 started_unix_ms = 0,
  12: string reason = "",         // why it waits, moved or ended (for explain)
  13: i32 evictions_count = 0,
  14: bool final_stop = false,    // STOPPING leads to CANCELLED, not QUEUED
  15: Resources reserved,         // what the grant reserved on the worker
  16: bool throttled = false,
  17: i32 losses_count = 0,       // workers lost in a row shortly after its start
  40: i64 absent_since_unix_ms = 0, // end of its last long run
  41: i64 running_since_unix_ms = 0 // its start was recorded then
}

enum WorkerState { ACTIVE = 1, DRAINING = 2, QUARANTINED = 3, LOST = 4 }

/** A worker VM as the replicated state knows it. */
struct Worker {
  1: string name,
  2: string data_centre,
  3: string rack,
  4: Resources capacity,
  5: string agent_address,        // host:port, thrift
  6: WorkerState state = 1,
  7: i64 incarnation = 0,         // of its agent
  8: string reason = "",
  50: bool draining = false       // set by an operator; kept when the worker is lost
}

enum ChangeVerb { ADD = 1, REPLACE = 2, REMOVE = 3, DRAIN = 4, CANCEL = 5, POLICY = 6, UNDRAIN = 7, EVACUATE = 8, END_EVACUATION = 9 }

/** One change of intent that a plan makes when confirmed. */
struct Change {
  1: ChangeVerb verb,
  2: string subject,              // "service/lookup", "worker/w1", "policy"
  3: optional Service service_after,
  4: optional BatchJob batch_job_after,
  5: optional Watcher watcher_after,
  6: optional Team team_after,
  7: optional Policy policy_after,
  8: string before = "",          // readable, for plan output and audit
  9: string after = ""
}

enum EffectVerb { START = 1, STOP = 2, MOVE = 3, EVICT = 4, THROTTLE = 5, WAIT = 6, NEVER_RUNS = 7 }

/** One consequence that a plan predicts. */
struct Effect {
  1: EffectVerb verb,
  2: string subject,              // task name
  3: string worker = "",
  4: string reason = ""
}

/** A guard rail that the plan hit; confirm must acknowledge it by name. */
struct Guard {
  1: string name,                 // for example "unit-slip"
  2: string message
}

enum PlanState { PENDING = 1, CONFIRMED = 2, REFUSED = 3 }

struct Plan {
  1: i64 plan_id = 0,             // set by the state when recorded
  2: string operator_name,
  3: i64 state_version = 0,       // the version that it is based on
  4: list<Change> changes = [],
  5: list<Effect> effects = [],
  6: list<Guard> guards = [],
  7: PlanState state = 1,
  8: i64 created_unix_ms = 0
}

enum AuditVerb { PLANNED = 1, CONFIRMED = 2, REFUSED = 3 }

/** One line of the audit trail. */
struct AuditRecord {
  1: i64 sequence = 0,
  2: i64 at_unix_ms = 0,
  3: string operator_name,
  4: AuditVerb verb,
  5: i64 plan_id = 0,
  6: i64 state_version = 0,       // the version after the change
  7: list<string> subjects = [],
  8: string before = "",
  9: string after = "",
  10: string reason = ""          // of a refusal
}

enum JobState { QUEUED = 1, RUNNING = 2, COMPLETED = 3, FAILED = 4, CANCELLED = 5 }

/** One start of a job's task on one worker; may be alive. */
struct JobRun {
  1: i64 run,                       // number of the task's start, from 1
  2: string agent,
  3: string worker_id,              // an incarnation of the agent's worker
  4: i64 granted_unix_ms = 0,
  5: string checkpoint_id = ""      // checkpoint to resume from
}

/** The loss of a worker, or of the contact with it, under a run of a task. */
struct WorkerLoss {
  1: i64 run,
  2: string agent,
  3: bool is_crash_seen = false,    // the agent that had the run reported the crash
  4: bool is_early = false,         // the run may have been in its startup
  5: i64 age_ms = 0,                // lower bound of the run's age
  6: string worker_id = "",         // the incarnation that was lost
  7: i64 since_grant_ms = 0,        // from the run's grant until the loss was recorded
  8: i32 suspects_count = 0,        // runs suspected of the crash; 0: not this one
  9: bool is_from_agent = false,    // an agent reported it; else a leader concluded it
  10: bool has_worker_ended = false,  // an agent knows that the incarnation has ended
  11: bool has_begun = false,       // the incarnation is known to have begun the run
  12: i64 unseen_ms = -1            // see RunEnd
}

/** A task of a job: one index of a step, in one occurrence. */
struct JobTask {
  1: bool done = false,
  2: i64 last_run = 0,              // 0: never granted
  3: i32 failures_count = 0,
  4: string checkpoint_id = "",     // newest known checkpoint
  5: list<JobRun> runs = [],        // runs that may be alive
  // 6 to 9 were counts of worker crashes that it was suspected of.
  10: list<WorkerLoss> losses = [], // the oldest first
  11: optional list<i64> failed_runs // of a gang's member: its runs that ended as failed
}

struct StepTasks { 1: list<JobTask> tasks }

/** One time that a job's steps run. */
struct Occurrence {
  1: i32 number,
  2: list<StepTasks> steps
}

struct JobRecord {
  1: Job job,
  2: JobState state = 1,
  3: list<Occurrence> open = [],    // begun and not finished
  4: i32 begun_count = 0,           // occurrences begun so far
  5: i64 ended_unix_ms = 0,
  6: string reason = "",
  7: Queue queue                    // as it was when the job was accepted
}

enum ClaimState { CLAIMED = 1, DONE = 2, NOT_RUN = 3, UNKNOWN = 4 }

/** A non-idempotent request, claimed before it is dispatched. */
struct Claim {
  1: string key,
  2: binary request_digest,
  3: string entry,
  4: string agent,
  5: i64 attempt = 1,
  6: ClaimState state = 1,
  7: i32 status_code = 0,
  8: binary body = "",
  9: string content_type = "",
  10: i64 expires_unix_ms = 0,
  11: string claim_id = "",         // chosen by the entry; same id: same claim
  12: i64 claimed_unix_ms = 0,      // set by the state
  13: i64 sequence = 0,             // set by the state; increases with each claim
  14: string agent_address = "",
  15: i64 agent_incarnation = 0,    // only this incarnation may run it
  16: i64 budget_ms = 0,            // of the attempt, since the claim
  17: bool body_kept = true         // false: the answer was too large to store
}

// ------------------------------------------------------ log commands

struct RecordPlan { 1: Plan plan }

struct ConfirmPlan {
  1: i64 plan_id,
  2: string operator_name,
  3: list<string> acknowledged_guards = [],
  4: binary effects_digest = ""     // of the effects as recomputed at confirm
}

/** Records a refused change in the audit trail. */
struct RefusePlan {
  1: i64 plan_id,
  2: string operator_name,
  3: string reason
}

struct Assignment {
  1: string task,
  2: i64 epoch,                     // must be the task's epoch + 1
  3: string worker,
  4: Resources reserved,
  5: string reason = ""
}

/** Grants runs; one entry for a batch of decisions. */
struct AssignRuns { 1: list<Assignment> assignments }

struct Eviction {
  1: string task,
  2: i64 epoch,
  3: string reason
}

/** Chooses runs to give way: first step of an eviction. */
struct EvictRuns { 1: list<Eviction> evictions }

struct Throttle {
  1: string task,
  2: i64 epoch,
  3: bool throttled
}

struct ThrottleRuns { 1: list<Throttle> throttles }

enum RunEventKind { STARTED = 1, CHECKPOINTED = 2, STOPPED = 3, COMPLETED = 4, FAILED = 5, LOST = 6, REFUSED = 7 }

/** What became of a run. Applying it again has no effect. */
struct RunEvent {
  1: string task,
  2: i64 epoch,
  3: RunEventKind kind,
  4: string checkpoint_id = "",
  5: i64 worked_ms = 0,
  6: string detail = "",
  7: i64 event_id = 0               // agent's own, for acknowledgement
}

struct RecordRunEvents {
  1: list<RunEvent> events,
  40: i64 decided_term = 0          // 0: from an agent; else invalid after a later leader
}

/** A worker joined, changed, was quarantined, restored or lost. */
struct PutWorker {
  1: Worker worker,
  40: i64 decided_term = 0          // 0: always valid; else invalid after a later leader
}

struct PutClaim {
  1: Claim claim,
  2: i64 supersedes_attempt = 0     // own attempt that was certainly not run
}

/** Ends a claim; only for the attempt it names. */
struct EndClaim {
  1: string key,
  2: i64 attempt,
  3: ClaimState state,
  4: i32 status_code = 0,
  5: binary body = "",
  6: string content_type = "",
  7: bool body_kept = true
}

struct NoOperation { 1: i64 term }

/** One control process of a group. */
struct Member {
  1: string name,
  2: string address,                // host:port, thrift
  3: string http_address,
  4: i64 incarnation = 0,
  5: bool voter = true,
  6: string data_centre = ""
}

struct ChangeMembers { 1: list<Member> members }

/** What the leader found out about a task that waits or can never run. */
struct TaskMark {
  1: string task,
  2: i64 epoch,
  3: TaskState state,               // QUEUED or IMPOSSIBLE
  4: string reason = ""
}

/** Marks waiting tasks: why they wait, or that they can never run. */
struct MarkTasks { 1: list<TaskMark> marks }

/** Brings a routing into force, unless one of its version or later is. */
struct ReplaceRouting { 1: Routing routing }

/** Takes a job in, unless its id is known. */
struct SubmitJob { 1: Job job }

struct CancelJob { 1: string job_id }

struct RunGrant {
  1: string task,
  2: i64 run,                       // must be the task's last run + 1
  3: string agent,
  4: string worker_id
}

/** Grants runs of jobs' tasks; one entry for a batch of decisions. */
struct GrantRuns { 1: list<RunGrant> grants }

enum RunEndKind { DONE = 1, FAILED = 2, STOPPED = 3, LAPSED = 4, MEMBER_ENDED = 5, MEMBERS_MISSING = 6, REFUSED = 7, LOST = 8, CRASHED = 9 }

/** How a run ended. Recording it again has no effect. */
struct RunEnd {
  1: string task,
  2: i64 run,
  3: RunEndKind kind,
  4: string checkpoint_id = "",
  5: string detail = "",
  6: i32 suspects_count = 0,        // CRASHED: runs suspected of the crash; 0: not this one
  7: i64 age_ms = 0,                // lower bound of the run's age at the loss of its worker
  8: bool is_excused = false,      // LOST: the run did not cause the loss
  9: bool has_worker_ended = false,  // LOST: its worker's incarnation has ended for good
  10: bool has_begun = false,      // LOST, CRASHED: that incarnation had begun the run
  // CRASHED: time between the last sign that it was at work and the crash; -1: unknown
  11: i64 unseen_ms = -1
}

struct RecordRunEnds {
  1: list<RunEnd> ends,
  2: i64 decided_term = 0           // 0: from an agent; else invalid after a later leader
}

/** Begins occurrences whose time has come. */
struct OccurrenceDue { 1: string job_id, 2: i32 number }
struct BeginOccurrences { 1: list<OccurrenceDue> due }

/** Forgets jobs that ended long ago. */
struct ForgetJobs { 1: list<string> job_ids }

/** What tasks of one image add to the strain of tasks of another. */
struct PairInterference {
  1: string latency_critical_image,
  2: string best_effort_image,
  3: double added = 0.0             // for each tenth of the worker in use
}

/** How run times of a queue follow from estimates: a line over logarithms. */
struct RunTimesLine {
  1: string queue,
  2: double samples_count = 0.0,
  3: double estimate_mean = 0.0,    // logarithm of milliseconds, as below
  4: double run_mean = 0.0,
  5: double estimate_variance = 0.0,
  6: double covariance = 0.0
}

/** What a leader has learnt, so that the next one goes on from there. */
struct RecordLearnt {
  1: list<PairInterference> interference = [],
  2: list<RunTimesLine> run_times = []
}

/** Agents that stopped renewing their lease, and that renew it again. */
struct NoteUnresponsive {
  1: list<string> unresponsive = [],
  2: list<string> responsive = [],
  3: i64 remaining_ms = 0           // of the longest of these leases; 0: the full lease
}

/** Processes without state that asked the leader where the group is. */
struct NoteEntries { 1: list<string> addresses = [] }

/** Begins or ends the evacuation of a data centre: nothing more starts there. */
struct SetEvacuation {
  1: string data_centre,
  2: bool active,
  3: string operator_name = ""
}

// The content of a log entry; exactly one body is set.
struct Command {
  1: string command_id = "",        // same id: same answer, applied once
  2: i64 proposed_unix_ms = 0,
  3: optional RecordPlan record_plan,
  4: optional ConfirmPlan confirm_plan,
  5: optional RefusePlan refuse_plan,
  6: optional AssignRuns assign_runs,
  7: optional EvictRuns evict_runs,
  8: optional ThrottleRuns throttle_runs,
  9: optional RecordRunEvents record_run_events,
  10: optional PutWorker put_worker,
  11: optional PutClaim put_claim,
  12: optional EndClaim end_claim,
  13: optional NoOperation no_operation,
  14: optional ChangeMembers change_members,
  30: optional MarkTasks mark_tasks,
  60: optional ReplaceRouting replace_routing,
  61: optional SubmitJob submit_job,
  62: optional CancelJob cancel_job,
  63: optional GrantRuns grant_runs,
  64: optional RecordRunEnds record_run_ends,
  65: optional BeginOccurrences begin_occurrences,
  66: optional ForgetJobs forget_jobs,
  67: optional RecordLearnt record_learnt,
  68: optional NoteUnresponsive note_unresponsive,
  69: optional NoteEntries note_entries,
  70: optional SetEvacuation set_evacuation
}

enum Outcome { OK = 1, CONFLICT = 2, NOT_FOUND = 3, GUARDED = 4, STALE = 5, KEY_REUSED = 6, ALREADY = 7, CANCELLED = 8 }

/** What applying a command gave; stored for its command id. */
struct CommandResult {
  1: Outcome outcome = 1,
  2: i64 state_version = 0,
  3: i64 plan_id = 0,
  4: string message = "",
  5: optional Claim claim,
  6: i32 applied_count = 0,         // of the batch, how many took effect
  7: i64 retry_after_ms = 0         // CANCELLED: when the id may be used again
}

// ------------------------------------------------------- replication

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: binary command,
  4: bool changes_members = false   // the command is a ChangeMembers
}

struct VoteRequest {
  1: i64 term,
  2: string candidate,
  3: i64 last_index,
  4: i64 last_term,
  5: bool pre_vote = false,
  6: i64 incarnation = 0,
  7: i64 target_incarnation = 0,    // of the member whose vote is requested
  8: i64 cluster_id = 0,
  9: i64 election_timeout_ms = 0,   // of the candidate
  10: bool returning = false        // it was the last leader and has just restarted
}

struct VoteReply { 1: i64 term, 2: bool granted }

struct AppendRequest {
  1: i64 term,
  2: string leader,
  3: i64 previous_index,
  4: i64 previous_term,
  5: list<LogEntry> entries,
  6: i64 commit_index,
  7: i64 target_incarnation = 0,
  8: i64 cluster_id = 0,
  9: i64 election_timeout_ms = 0,   // of the leader; bounds its lease
  10: string successor = ""         // the leader stepped down; the member to become candidate
}

struct AppendReply {
  1: i64 term,
  2: bool success,
  3: i64 match_index,               // on failure, the index to try next
  4: i64 incarnation = 0,
  5: i64 cluster_id = 0             // 0: in no cluster yet
}

struct SnapshotChunk {
  1: i64 term,
  2: string leader,
  3: i64 last_index,
  4: i64 last_term,
  5: i64 offset_bytes,
  6: binary data,
  7: bool done,
  8: list<Member> members = [],
  9: i64 target_incarnation = 0,
  10: i64 cluster_id = 0,
  11: i64 election_timeout_ms = 0   // of the leader; bounds its lease
}

struct SnapshotReply { 1: i64 term, 2: bool accepted }

exception NotLeader {
  1: string leader_address = "",    // empty: unknown
  2: string leader_http_address = ""
}

/** The group has no majority now; nothing was done. */
exception NoQuorum { 1: i64 retry_after_ms = 500 }

service Peer {
  VoteReply request_vote(1: VoteRequest request),
  AppendReply append_entries(1: AppendRequest request),
  SnapshotReply install_snapshot(1: SnapshotChunk chunk),
  CommandResult propose(1: Command command) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum)
}

// ------------------------------------- agents and entries to control

struct EndpointInfo {
  1: string service_name,
  2: string address,                // host:port, HTTP
  3: i32 slots_count,
  4: i32 connections_count,
  5: bool draining = false,
  6: string task = ""               // the run it belongs to, if any
}

struct RunningTask { 1: string task, 2: i64 epoch }

/** A late measurement of one run. */
struct Usage {
  1: string task,
  2: i64 cpu_millicores,
  3: i64 memory_bytes,
  4: i64 age_ms,                    // how long before sending it was measured
  5: i64 latency_p99_us = 0,        // services only
  6: i64 progress_ms = 0            // batch: work done so far
}

struct Heartbeat {
  1: string agent,                  // the worker's name
  2: i64 incarnation,
  3: i64 sequence,
  4: optional Worker worker,        // first heartbeat, and on a change
  5: optional list<EndpointInfo> endpoints,   // same
  6: list<RunningTask> running = [],
  7: list<RunEvent> events = [],    // resent until acknowledged
  8: list<Usage> usage = [],
  40: bool worker_silent = false    // the platform does not renew leases now
}

struct HeartbeatReply {
  1: i64 term,
  2: i64 lease_ms,                  // counted from the time when the agent sent it
  3: list<i64> acknowledged_events = [],
  4: bool resend_worker = false,    // control lost the state: send worker, endpoints
  40: i64 orders_version = 0,       // of `term`; start no runs from older ones
  41: i64 replaced_by = 0           // a newer incarnation of this agent
}

enum Desire { RUN = 1, THROTTLE = 2, CHECKPOINT_AND_STOP = 3, STOP = 4 }

/** What an agent's worker should hold; level-triggered and complete. */
struct Order {
  1: string task,
  2: i64 epoch,
  3: Desire desire,
  4: Kind kind,
  5: Resources resources,
  6: string command = "",
  7: string checkpoint_id = "",
  8: i64 worked_ms = 0,
  9: i32 slots_count = 0,
  10: i32 connections_count = 0,
  11: string owner = "",
  12: i64 run_time_ms = 0,
  13: bool started = false,         // its start was recorded
  40: bool checkpointable = false
}

/** Where a service's requests can go. */
struct Route {
  1: string agent,
  2: string agent_address,
  3: string data_centre,
  4: string service_name,
  5: i32 slots_count,
  6: bool draining = false,
  7: i64 agent_incarnation = 0
}

enum Role { ENTRY = 1, AGENT = 2 }

struct WatchRequest {
  1: Role role,
  2: string subscriber,
  3: i64 config_version = 0,        // of the subscriber; 0: no configuration
  4: i64 config_checksum = 0,
  5: i64 routes_term = 0,
  6: i64 routes_version = 0,
  7: i64 orders_term = 0,
  8: i64 orders_version = 0,
  9: i64 wait_ms = 1000,
  10: i64 incarnation = 0,          // of an agent; a replaced one gets no orders
  50: list<string> called_services = []   // from entries: services with recent callers
}

/** The version of one thing that a configuration holds. */
struct ItemVersion {
  1: string subject,              // "service/lookup", "worker/w1", "policy"
  2: i64 version,
  3: bool removed = false
}

/** Configuration since the version the subscriber named. */
struct ConfigDelta {
  1: i64 version,
  2: i64 checksum,                  // of the complete configuration at `version`
  3: bool whole = false,            // replaces the subscriber's configuration
  4: list<Service> services = [],
  5: list<string> removed_services = [],
  6: optional Policy policy,
  7: list<string> draining_workers = [],
  50: list<ItemVersion> items = []    // versions of all new or removed items
}

struct WatchReply {
  1: i64 term,
  2: optional ConfigDelta config,   // no longer set; see encoded_config
  3: optional list<Route> routes,   // entries; complete when set
  4: i64 routes_version = 0,
  5: optional list<Order> orders,   // agents; complete when set
  6: i64 orders_version = 0,
  50: binary encoded_config = ""    // a ConfigDelta, encoded once for all subscribers
}

// --------------------------------------- jobs: entries to control

/** REJECTED: the job was not stored and never runs, unless it is submitted again. */
enum JobOutcome { ACCEPTED = 1, NO_QUEUE = 2, NO_JOB = 3, NO_ROUTING = 4, REJECTED = 5 }

/** A job named as its caller names it: by a host and a path. */
struct JobAddress {
  1: string host,
  2: string path,
  3: i64 call_age_ms = 0            // since the entry began to repeat this call
}

struct JobReply {
  1: JobOutcome outcome,
  2: JobState state = 1,            // of the requested job
  3: i32 pending_count = 0,         // of the requested queue
  4: i64 retry_after_ms = 0,        // REJECTED: when another attempt makes sense
  5: string reason = ""             // REJECTED: the load or the cancellation that it answers
}

struct RoutingReply { 1: binary document }

// --------------------------------------- jobs: agents to control

/** What an agent knows of its worker. */
struct PoolWorker {
  1: string worker_id,              // its incarnation
  2: string pool,
  3: string data_centre,
  4: string rack,
  5: list<string> labels,
  6: Resources capacity,
  7: bool draining = false,
  8: i64 remaining_ms = -1,         // while it drains: minimum remaining time
  9: i64 cold_remaining_ms = 0
}

/** A run that the worker lists as running. */
struct RunSample {
  1: string task,
  2: i64 run,
  3: i32 percent,                   // of its work
  4: i64 load,                      // tail latency in ms, or millicores in use
  5: string checkpoint_id = "",
  6: i32 quota_percent = 100
}

/** A run that a late call for an earlier incarnation may begin, or keep alive too long. */
struct LateStart {
  1: string task,
  2: i64 run,
  3: i64 remaining_ms               // until it is certainly over, if it has begun
}

struct RunId { 1: string task, 2: i64 run }

struct AgentReport {
  1: string agent,
  2: i64 incarnation,
  3: i64 sequence,
  4: optional PoolWorker worker,    // first report, and on a change
  5: list<RunEnd> ends = [],        // resent until recorded
  6: optional list<RunSample> running,
  7: string worker_id = "",
  8: bool worker_silent = false,
  9: i64 known_term = 0,            // the latest that it knows of; 0: none
  10: list<LateStart> late_starts = [],
  11: list<RunId> begun = [],       // begun runs whose orders ask to report that
  12: i64 starts_refused_ms = 0     // for how long its worker refuses all starts
}

struct AgentReply {
  1: i64 term,
  2: i64 lease_ms = 0,              // counted from the time when the agent sent it
  3: i64 orders_version = 0,        // start no runs from older ones
  4: bool resend_worker = false,
  5: bool ends_recorded = false,
  6: i64 replaced_by = 0
}

enum RunDesire { RUN = 1, STOP = 2 }

struct RunOrder {
  1: string task,
  2: i64 run,
  3: RunDesire desire,
  4: string worker_id = "",
  5: string command = "",
  6: string checkpoint_id = "",
  7: i32 quota_percent = 100,
  8: string ticket = "",
  9: bool best_effort = false,            // uses what other tasks do not need
  10: i64 tail_target_ms = 0,       // latency target for its own users
  11: string image = "",
  12: i64 cpu_millicores = 0,
  13: Resources resources,          // reserved by the run; also set for STOP
  14: optional i32 spread_limit,    // maximum of runs of its step on one worker
  15: bool must_report_start = false // report at once that the run has begun
}

struct OrdersRequest {
  1: string agent,
  2: i64 term = 0,                  // of the subscriber's version
  3: i64 version = 0,
  4: i64 wait_ms = 0,
  5: i64 interference_version = 0
}

struct OrdersReply {
  1: i64 term,
  2: i64 version,
  3: bool whole = false,            // replaces the subscriber's configuration
  4: list<RunOrder> orders = [],
  5: list<RunId> removed = [],
  6: list<string> control_addresses = [],
  7: i64 interference_version = 0,
  8: optional list<PairInterference> interference,  // all pairs, if the version changed
  9: list<string> evacuated_data_centres = [],  // always complete
  10: list<string> pools = []       // that workers may belong to; empty: not known yet
}

// ---------------------------------------------------- group formation

struct JoinRequest { 1: Member member }
struct JoinReply { 2: list<string> control_addresses = [] }

/** Of a process that waits for the group at the very first start. */
struct FounderRequest {
  1: string name,
  2: bool stands = false,           // requests a binding vote to form the group
  3: i64 cluster_id = 0             // if it stands: of the group that it would form
}
struct FounderReply {
  1: bool first_start = false,      // false: this process votes for nobody
  2: string founder = "",           // the process it voted for or would vote for
  3: list<string> control_addresses = [],
  4: i64 cluster_id = 0             // that it voted for, never changes; 0: none yet
}

/** Where the group is, as far as a process knows; the newest one counts. */
struct GroupView {
  1: i64 term = 0,                  // 0: the group is unknown
  2: i64 members_index = 0,         // log index of the latest change of members
  3: list<string> addresses = [],   // of all members
  4: string leader_address = "",    // empty: unknown
  5: string teller_address = ""     // address of the source of this view
}

service Control {
  HeartbeatReply heartbeat(1: Heartbeat heartbeat) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  WatchReply watch(1: WatchRequest request) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  CommandResult claim(1: PutClaim claim) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  CommandResult end_claim(1: EndClaim end) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  JobReply submit_job(1: JobAddress address, 2: Job job) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  JobReply job_state(1: JobAddress address) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  JobReply cancel_job(1: JobAddress address) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  JobReply pending_jobs(1: JobAddress address) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  void replace_routing(1: Routing routing) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  RoutingReply routing() throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  /** A repeated command id has no effect. */
  void set_evacuation(1: SetEvacuation evacuation, 2: string command_id) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  AgentReply agent_report(1: AgentReport report) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum),
  OrdersReply agent_orders(1: OrdersRequest request) throws (1: NotLeader not_leader, 2: NoQuorum no_quorum)
}

/** What control processes and entries ask each other to find the group. */
service Formation {
  JoinReply join(1: JoinRequest request),
  FounderReply founder(1: FounderRequest request),
  /** Each side tells what it knows; both keep the newer. */
  GroupView exchange_views(1: GroupView view)
}

// ------------------------------------------------- entries to agents

struct Header { 1: string name, 2: string value }

struct CallRequest {
  1: string request_id,
  2: i64 attempt,
  3: string service_name,
  4: string method,
  5: string path,                   // with the query
  6: list<Header> headers,
  7: binary body,
  8: i64 budget_ms,                 // time until the deadline when sent
  9: bool idempotent = true,
  10: i64 agent_incarnation = 0,    // not idempotent: of the claim
  11: i64 claim_sequence = 0        // same
}

struct CallReply {
  1: string request_id,
  2: i32 status_code,
  3: list<Header> headers,
  4: binary body,
  5: i64 body_digest,               // xxh64 of body, as signed
  6: i32 in_flight = 0,             // load of the agent, for routing
  7: i32 queued = 0
}

enum RefusalReason { OVERLOADED = 1, DRAINING = 2, NO_ENDPOINT = 3, TOO_LATE = 4, CANCELLED = 5, DUPLICATE = 6, OTHER_INCARNATION = 7, CLAIM_TOO_OLD = 8 }

/** The request was not run, and a late copy of it will not run. */
exception Refused {
  1: RefusalReason reason,
  2: i64 retry_after_ms = 0,
  3: i32 in_flight = 0,
  4: i32 queued = 0
}

/** The request was handed to an endpoint and no whole answer came back. */
exception UnknownOutcome { 1: string detail }

/** Asks what became of a claimed request. */
struct ResolveRequest {
  1: string request_id,
  2: i64 attempt,
  3: i64 claim_sequence,
  4: i64 agent_incarnation,
  5: bool end = false               // a request that has not begun never will
}

/** CLAIMED: it runs, or may still come. UNKNOWN: this agent can't tell. */
struct ResolveReply {
  1: ClaimState state,
  2: optional CallReply reply       // of a request that is DONE
}

service Agent {
  CallReply call(1: CallRequest request) throws (1: Refused refused, 2: UnknownOutcome unknown),
  /** True: the request had not started and never will. */
  bool cancel(1: string request_id, 2: i64 attempt),
  ResolveReply resolve(1: ResolveRequest request)
}

// ---------------------------------------------------------- snapshots

/** Which change last touched a subject. */
struct SubjectVersion {
  1: string subject,
  2: i64 version,
  3: i64 plan_id,
  4: string operator_name,
  5: bool removed = false
}

struct StoredResult { 1: string command_id, 2: CommandResult result }

/** A cancellation of a job that was not known. */
struct EarlyCancellation { 1: string job_id, 2: i64 cancelled_unix_ms }

/** All tables of the replicated state. */
struct TablesSnapshot {
  1: i64 state_version,
  2: i64 next_plan_id,
  3: i64 next_audit_sequence,
  4: Policy policy,
  5: list<Service> services,
  6: list<BatchJob> batch_jobs,
  7: list<Watcher> watchers,
  8: list<Team> teams,
  9: list<SubjectVersion> versions,
  10: list<Task> tasks,
  11: list<Worker> workers,
  12: list<Plan> plans,
  13: list<AuditRecord> audit,
  14: list<Claim> claims,
  15: list<StoredResult> results,
  16: list<Member> members = [],
  17: i64 next_claim_sequence = 1,
  40: i64 leader_term = 0,
  41: i64 longest_lease_ms = 0,
  50: i64 epoch_floor = 0,          // no epoch of a removed task is above it
  51: i64 forgotten_version = 0,    // tombstones up to it may be removed
  52: list<StoredResult> operator_results = [],
  53: i64 config_version = 0,
  60: Routing routing,
  61: list<JobRecord> jobs = [],
  62: optional RecordLearnt learnt,
  63: list<string> unresponsive_agents = [],
  64: list<string> entry_addresses = [],
  65: list<string> evacuated_data_centres = [],
  70: list<EarlyCancellation> early_cancellations = []
}

/** What a control process must remember about itself; one file. */
struct MemberState {
  1: string name,
  2: i64 incarnation,               // new with each empty data folder
  3: i64 cluster_id = 0,            // 0: in no cluster yet
  4: i64 term = 0,
  5: string voted_for = "",         // in `term`
  6: bool initialised = false,      // a first snapshot is on the disk
  7: list<string> founding_seeds = [] // whose votes let it form its cluster; empty:
                                    // the cluster is formed
}
