// Messages between nodes. Field numbers are never reused; unknown fields
// are ignored, so that nodes of two versions can talk to each other.

struct MemberUpdate {
  1: string name
  2: i64 incarnation
  3: i32 status
  4: string caller_address
  5: string peer_address
  6: string failure_domain
  7: string region
  8: bool accepting
  9: double capacity = 1.0
  10: string hand_over_address = ""
}

struct Ping {
  1: i64 sequence
  2: double wall
  3: list<MemberUpdate> updates
  4: i64 view
}

struct Ack {
  1: i64 sequence
  2: double wall
  3: list<MemberUpdate> updates
}

struct IndirectPing {
  1: i64 sequence
  2: string target
  3: list<MemberUpdate> updates
}

struct MemberSync {
  1: list<MemberUpdate> members
  2: bool reply
}

struct ObjectVersion {
  1: string name
  2: i64 version
}

struct StoredObject {
  1: string name
  2: i64 version
  3: optional string value
}

struct StateDigest {
  1: i64 root
  2: list<i64> buckets
}

struct StateVersions {
  1: list<i32> buckets
  2: list<ObjectVersion> versions
}

struct StateWant {
  1: list<string> names
  2: bool reads_compressed = false
}

struct StatePush {
  1: list<StoredObject> objects
  2: bool synced
}

struct Claim {
  1: string key
  2: string workspace
  3: string body_digest
  4: string host
  5: string nonce
}

struct ClaimForward {
  1: Claim claim
}

struct ClaimReply {
  1: string key
  2: string nonce
  3: i32 status
  4: optional Claim standing
}

struct Follow {
  1: string key
  2: string token
  3: i64 from_seq
  4: string body_digest
}

struct FollowEvent {
  1: string token
  2: string event
}

struct StageWork {
  1: string request_id
  2: i32 stage
  3: i32 piece
  4: optional string key
  5: list<string> inputs
}

struct StageAsk {
  1: string group
  2: string service_name
  3: list<StageWork> work
  4: double target_s
  5: double deadline_s
  6: i32 rank
  7: double result_bytes
  8: string failure_domain
  9: list<string> next_services = []
  10: optional list<string> allowed_domains
  11: list<string> makers = []
  12: list<i64> maker_starts = []
  13: optional double inputs_left_s
}

struct ServiceWait {
  1: string service_name
  2: list<double> waits_s
  3: double late_wait_s
  4: double age_s
  5: double call_s = 0.0
}

struct StageTaken {
  1: string group
  2: list<ServiceWait> waits
}

struct PieceOutcome {
  1: i32 piece
  2: optional string handle
  3: optional string reason
  4: i64 started_ms = 0
}

struct StageReply {
  1: string group
  2: string service_name
  3: list<PieceOutcome> outcomes
  4: list<ServiceWait> waits
}

struct StageDrop {
  1: string group
  2: string service_name
}

struct StageDeclined {
  1: string group
  2: string service_name
}

struct StageRelease {
  1: string service_name
  2: list<string> handles
  3: list<i64> starts = []
}

struct RunnerLimit {
  1: string runner
  2: i64 started_ms
  3: optional double rate_per_s
  4: double age_s
}

struct RunnerLimits {
  1: list<RunnerLimit> limits
}

struct StreamBegan {
  1: string first_attempt
  2: string workspace
  3: string service_name
  4: string software_version
  5: double ttl_s
}

struct StreamsBegan {
  1: list<StreamBegan> streams
}

struct StreamQuestion {
  1: string question
  2: string first_attempt
  3: string workspace
  4: string service_name
}

struct SeenVersion {
  1: string software_version
  2: double age_s
}

struct StreamAnswer {
  1: string question
  2: optional StreamBegan origin
  3: list<SeenVersion> versions
  4: optional bool remembers_all
}

struct LeavingRunner {
  1: string runner
  2: i64 started_ms
  3: double age_s
}

struct RunnersLeaving {
  1: list<LeavingRunner> runners
}

struct SuspectCrash {
  1: string service_name
  2: string suspect
  3: bool is_first
  4: string runner
  5: i64 started_ms
  6: double age_s
  7: double ran_s = 0.3
}

struct ClearedSuspect {
  1: string service_name
  2: string suspect
  3: double age_s
}

struct CrashNews {
  1: list<SuspectCrash> crashes
  2: list<ClearedSuspect> cleared
}

struct ColdRunner {
  1: string runner
  2: i64 started_ms
  3: double left_s
  4: double age_s
}

struct ColdRunners {
  1: list<ColdRunner> runners
}

struct RunnerStart {
  1: string address
  2: i64 started_ms
  3: list<i64> ended
  4: bool is_down = false
}

struct RunnerStarts {
  1: list<RunnerStart> starts
}

struct Envelope {
  1: i32 version
  2: string sender
  // Counts a sender's frames to one peer from 1. The peer answers on the same
  // connection with a receipt: the highest number read, in 8 bytes.
  3: i64 number = 0
  10: optional Ping ping
  11: optional Ack ack
  12: optional IndirectPing indirect_ping
  13: optional MemberSync member_sync
  14: optional StateDigest state_digest
  15: optional StateVersions state_versions
  16: optional StateWant state_want
  17: optional StatePush state_push
  18: optional ClaimForward claim_forward
  19: optional ClaimReply claim_reply
  20: optional Follow follow
  21: optional FollowEvent follow_event
  22: optional StageAsk stage_ask
  23: optional StageTaken stage_taken
  24: optional StageReply stage_reply
  25: optional StageDrop stage_drop
  26: optional StageRelease stage_release
  27: optional RunnerLimits runner_limits
  28: optional StreamsBegan streams_began
  29: optional StreamQuestion stream_question
  30: optional StreamAnswer stream_answer
  31: optional RunnersLeaving runners_leaving
  32: optional CrashNews crash_news
  33: optional StageDeclined stage_declined
  34: optional ColdRunners cold_runners
  35: optional RunnerStarts runner_starts
}
