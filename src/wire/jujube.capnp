# RPC messages between processes of the system. Entries are clients of agents and of each
# other; an agent never opens a connection. The generated C++ code is committed under
# generated/; scripts/generate-schema regenerates it.
@0xc8f1a7d2b3e45906;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujube::wire::schema");

# Kind of back end behind an endpoint.
enum Kind { language @0; service @1; }

# Role of a language engine: the phases of a request that it is used for.
enum Role { mixed @0; prefill @1; decode @2; }

# How a request ended, as far as the reporting process can prove.
enum Outcome { whole @0; notRun @1; unknown @2; failed @3; }

# Progress of a request at one agent.
enum Progress { absent @0; queued @1; started @2; finished @3; tombstone @4; }

struct Header { name @0 :Text; value @1 :Text; }

# An attempt to run a request at an endpoint.
struct WorkRequest {
  requestId @0 :Text;      # the same for all attempts of one caller request
  incarnation @1 :UInt64;  # incarnation of the agent that the attempt is for
  team @2 :Text;
  profile @3 :Text;
  kind @4 :Kind;
  prompt @5 :Text;         # language requests only
  maxTokens @6 :UInt32;
  resumeTokens @7 :UInt32; # output tokens that the caller has already received
  priority @8 :UInt8;
  weight @9 :Float64;      # weight of the team in the fair queue
  deadlineMs @10 :UInt32;  # time left for the whole request
  firstTokenMs @11 :UInt32;
  idempotent @12 :Bool;
  window @13 :UInt64;      # usage window in which entry and agent count the request
  service @14 :Text;       # service requests only
  method @15 :Text;
  path @16 :Text;
  headers @17 :List(Header);
  body @18 :Data;
  entry @19 :UInt64;       # incarnation of the entry that sends the request
}

# State of an endpoint as observed by its agent. It is part of every reply.
struct LoadReport {
  incarnation @0 :UInt64;
  queuedRequests @1 :UInt32;
  queuedTokens @2 :UInt64;     # prompt tokens that wait for prefill, without cached ones
  running @3 :UInt32;
  slots @4 :UInt32;
  prefillRate @5 :Float64;     # observed prompt tokens per second
  decodeRate @6 :Float64;      # observed output tokens per second of one stream
  freeKvPieces @7 :UInt32;     # free KV memory, in pieces of 1,024 tokens
  role @8 :Role;
  ready @9 :Bool;
  leaving @10 :Bool;
  appliedTerm @11 :UInt64;     # newest plan order that the agent has applied
  appliedSequence @12 :UInt64;
  oldestQueuedMs @13 :UInt32;
  unmetDeadlines @14 :UInt64;  # requests rejected or dropped because of their deadline, cumulative
  hybridTime @15 :UInt64;
  evidence @16 :Evidence;      # newest freshness token that the agent has received
  outstandingOutput @17 :UInt64;  # output tokens admitted and not yet produced
}

# Freshness token: when a configuration version was last confirmed to be the newest in the
# platform's KV.
struct Evidence {
  version @0 :UInt64;
  ageMs @1 :UInt32;            # age of that confirmation at the time of sending
}

struct Usage { promptTokens @0 :UInt32; cachedTokens @1 :UInt32; outputTokens @2 :UInt32; }

struct Chunk {
  data @0 :Data;
  nextOffset @1 :UInt64;
  progress @2 :Progress;
  outcome @3 :Outcome;         # valid if progress is finished
  message @4 :Text;
  retryAfterMs @5 :UInt32;
  usage @6 :Usage;
  status @7 :UInt16;           # HTTP status of a service request
  contentType @8 :Text;
  tokens @9 :UInt32;           # output tokens up to nextOffset, including resumeTokens
  load @10 :LoadReport;
}

struct Submitted {
  accepted @0 :Bool;
  retryAfterMs @1 :UInt32;
  message @2 :Text;
  load @3 :LoadReport;
  incarnationMatches @4 :Bool;
}

struct Event { hybridTime @0 :UInt64; line @1 :Text; }

struct Ping {
  hybridTime @0 :UInt64;
  evidence @1 :Evidence;
  planTerm @2 :UInt64;         # hint: newest plan that the sender has received
  planSequence @3 :UInt64;
}

# A change of a key in the mirrored part of the platform's KV.
struct Change { key @0 :Text; value @1 :Text; revision @2 :UInt64; deleted @3 :Bool; }

struct PeerState {
  hybridTime @0 :UInt64;
  process @1 :Text;
  incarnation @2 :UInt64;
  evidence @3 :Evidence;
  version @4 :UInt64;          # newest change the sender has applied
  stopping @5 :Bool;
}

# Bootstrap interface of every process. Session capabilities are granted only to a client
# that proves to hold the fleet secret; the reply proves that the server holds it too.
interface Gate {
  challenge @0 () -> (nonce :Data);
  login @1 (process :Text, clientNonce :Data, proof :Data)
      -> (proof :Data, agent :AgentSession, peer :PeerSession);
}

interface AgentSession {
  submit @0 (request :WorkRequest) -> (result :Submitted);
  # Waits until the response has bytes beyond the offset, has ended, or waitMs has passed.
  # Bytes below the offset are acknowledged and may be discarded.
  fetch @1 (requestId :Text, offset :UInt64, waitMs :UInt32) -> (chunk :Chunk);
  # Returns the progress of a request. An absent request becomes a tombstone: it will never
  # run at this agent.
  resolve @2 (requestId :Text) -> (progress :Progress, incarnation :UInt64);
  cancel @3 (requestId :Text, onlyQueued :Bool) -> (cancelled :Bool);
  ping @4 (ping :Ping) -> (load :LoadReport);
  events @5 (after :UInt64) -> (events :List(Event), process :Text);
}

interface PeerSession {
  # Exchanges the state of both sides and returns the changes that the client lacks.
  exchange @0 (state :PeerState) -> (state :PeerState, changes :List(Change));
  events @1 (after :UInt64) -> (events :List(Event), process :Text);
}
