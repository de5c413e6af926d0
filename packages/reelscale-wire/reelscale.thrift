/**
 * Messages between reelscale's own processes.
 *
 * Copyright 2026 The reelscale maintainers. Licensed under Apache-2.0.
 *
 * One framed connection a pair, opened by the caller's side; calls are
 * multiplexed on it by sequence number.  Every call is safe to repeat.  Fields
 * named offset hold positions, see reelscale_core/position.py.
 */
namespace py reelscale_wire.gen

enum VerdictKind {
  ADMITTED = 1,
  REFUSED = 2,   // The request was not run and will not be run.
  UNKNOWN = 3,   // It cannot be told whether the request was run.
}

struct Header { 1: string name, 2: string value }

struct Submit {
  1: string attempt,       // Unique: entry, incarnation and counter.
  2: string workspace,
  3: string target,        // Name of a service or a group.
  4: string method,
  5: string path,
  6: list<Header> headers,
  7: binary body,
  8: i32 resume_from,      // Events that the caller already has.
  9: i32 deadline_ms,      // What is left of the caller's time.
  10: i32 priority,        // 0 is the most urgent class.
  11: string once_key,     // Empty for requests that may be repeated.
  12: i64 offset,          // Configuration the entry decided on.
  13: string entry,
  14: bool stream,         // Whether the answer is an event stream.
  15: i32 max_events,      // Zero when the caller set no limit.
}

struct Verdict {
  1: VerdictKind kind,
  2: string code,
  3: string detail,
  4: i32 retry_after_ms,
  5: string incarnation,
}

struct Pull {
  1: string attempt,
  2: i32 from_seq,         // All earlier chunks have arrived.
  3: i32 max_bytes,
}

struct Batch {
  1: i32 from_seq,
  2: list<binary> chunks,
  3: bool done,
  4: i32 count,            // With done: number of chunks in the answer.
  5: string digest,        // With done: digest over all chunks.
  6: i32 status,
  7: list<Header> headers,
  8: string code,          // Empty unless the attempt failed.
  9: string detail,
  10: string incarnation,
  11: VerdictKind ran,     // With a code: whether the upstream ran it.
  12: string attempt,
}

struct Cancel { 1: string attempt }

struct Heartbeat {
  1: string name,
  2: string incarnation,
  3: string hall,
  4: i64 offset,           // Configuration in force at the sender.
  5: map<string, i32> wanted,  // Slots wanted of each upstream.
  6: i64 log_age_ms,       // Since the sender last heard from the log.
  7: string peer,          // Address for calls to the sender.
  8: bool want_heat,       // Whether the answer is to carry heat.
}

struct Grant {
  1: string upstream,
  2: i32 slots,
  3: i32 lapse_ms,
}

struct Pulse {
  1: string name,
  2: string incarnation,
  3: string hall,
  4: i64 offset,
  5: Grant grant,
  6: i32 running,
  7: i32 queued,
  8: i32 capacity,
  9: bool leaving,
  10: i32 layout,          // Version of the group layout in force.
  11: double step_ms,
  12: string model_version,
  13: bool healthy,
  14: list<i64> heat,      // If asked: tokens of each expert, decayed.
  15: i64 log_age_ms,
  16: string peer,
}

struct StateRequest {
  1: i64 have_offset,      // Position of the asker's configuration.
  2: optional i64 have_version,  // Its version, if it has versions.
}

struct StateReply {
  1: i64 offset,
  2: string digest,
  3: binary state,         // Empty when the asker is not behind.
}

struct Order {
  1: string group,
  2: i64 fence,            // Offset of the lease record.
  3: string kind,          // probe, stage, prepare, decide, commit,
                           // release or adopt.
  4: i32 version,
  5: string layout,        // With stage: the layout as JSON.
  6: i64 step,
  7: i32 next_version,     // With adopt.
  8: i64 next_step,        // With adopt.
  9: i64 seq,              // Round of the holder.
}

struct RankState {
  1: i64 fence,
  2: i32 version,
  3: i64 step,
  4: list<i32> staged,
  5: i32 next_version,
  6: i64 next_step,
  7: bool decided,
  8: bool committed,
  9: string incarnation,   // Of the engine: a new one has lost all.
  10: i64 seq,
  11: i64 floor,           // The step it joined at.
}

struct OrderReply {
  1: bool accepted,
  2: string code,          // Why not.
  3: optional RankState rank,
}

struct KeyRequest {
  1: string target,
  2: string key,
  3: i64 offset,           // The asker's configuration.
}

struct KeyReply {
  1: bool known,
  2: bool released,        // The home has moved on to that offset.
  3: i64 since_ms,         // Wall time from which memory is complete.
}

// How many requests a second one start of an upstream takes from all entries.
struct RateLimit {
  1: i32 start,            // Hash of the start.
  2: optional double per_s,  // Not there once the limit is over.
  3: i32 age_ms,           // Since the upstream's answer told it.
}

// A request, or a part of prompts, that was in progress on starts of upstreams
// as they crashed.
struct Suspect {
  1: i64 digest,           // Of workspace, method, path, query and body; of a
                           // part: of target and part.
  2: list<i32> crashed,    // Hashes of those starts.
  3: i32 alone,            // At how many of them nothing else was running.
  4: i32 verdict,          // See core/suspicion.py, Verdict.
  5: i32 age_ms,           // Since the newest change.
  6: list<i32> running,    // Hashes of starts that it is at now.
  7: optional list<i32> crash_ages_ms,  // Of a part only: since each crash.
  8: optional i32 answer_age_ms,  // Of a part: since an answer with it began.
  9: optional i32 target,  // Of a part: hash of the target of its requests.
}

// Sent between entries as a datagram; a lost one is made up by the next.
struct Usage {
  1: string name,          // The entry that sends it.
  2: string incarnation,
  3: i64 number,           // Rises with each one sent.
  4: map<i32, i32> counts, // Requests in progress, by hash of an upstream.
  5: list<string> known,   // Hosts of entries that the sender knows.
  6: i64 offset,           // Configuration in force at the sender.
  7: string peer,          // Address for calls to the sender.
  8: i64 roster_offset,    // Where the sender reads the list on.
  9: optional list<RateLimit> limits,
  10: optional list<Suspect> suspects,
  11: optional i64 version,  // Of the configuration in force at the sender.
  // Since the log, and the list, last told the sender that it has all of it.
  12: optional i32 log_age_ms,
  13: optional i32 roster_age_ms,
}

// What the agent of a rank is asked for; see core/rank.py.
struct RankQuery {
  1: bool counts,          // Whether counts are wanted.
  2: bool experts,         // Whether the experts of the rank are wanted.
}

struct RankTold {
  1: string group,
  2: i64 epoch,
  3: i32 number,
  4: i32 size,
  5: bool open,
  6: i64 step,
  7: i64 version,
  8: bool copying,
  9: optional i64 prepared,
  10: optional i64 armed_version,
  11: optional i64 armed_step,
  12: optional i64 held,
  13: optional binary counts,   // See daemon/packed.py.
  14: optional list<list<i32>> experts,  // By set of layers.
  15: i32 requests,        // Working and waiting.
  16: optional i64 born_ms,  // Unix time of its start, if it told.
}

struct RankOrder {
  1: string kind,          // Name of the order, in lower case.
  2: i64 fence,
  3: i64 epoch,            // The order is void in any other.
  4: i64 version,
  5: i64 step,
  6: optional binary table,     // With prepare; see daemon/packed.py.
}

struct RankAnswer {
  1: i32 outcome,          // See core/rank.py, Outcome.
  2: optional RankTold rank,             // After the order.
}

struct RosterQuery { 1: i64 have_offset }

struct RosterItem {
  1: string name,
  2: string target,
  3: string address,
  4: string hall,
  5: i32 slots,
  6: bool leaving,
  7: optional i64 born_ms,  // Unix time of its start, if it told.
  8: optional i64 sequence, // Number of the announcement within the start.
}

struct RosterReply {
  1: i64 offset,           // Where to read on; 0 if there is no list.
  2: list<RosterItem> items,  // Empty when the asker is not behind.
}

struct GroupQuery {}

// Which group of ranks a start of an upstream is in.
struct GroupOf {
  1: i32 start,            // Hash of the start.
  2: string group,
}

struct GroupReply { 1: list<GroupOf> groups }

service Peer {
  Pulse heartbeat(1: Heartbeat beat),
  StateReply state(1: StateRequest request),
  Verdict submit(1: Submit request),
  Batch pull(1: Pull request),
  Verdict cancel(1: Cancel request),
  OrderReply order(1: Order order),
  KeyReply key(1: KeyRequest request),
  RankTold rank(1: RankQuery query),
  RankAnswer order_rank(1: RankOrder order),
  RosterReply roster(1: RosterQuery query),
  GroupReply groups(1: GroupQuery query),
}
