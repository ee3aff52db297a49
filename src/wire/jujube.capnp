# Messages between the system's own processes. Entries are clients of agents and of
# each other; an agent never opens a connection. Generated C++ is committed under
# generated/; scripts/generate-schema makes it anew.
@0xc8f1a7d2b3e45906;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujube::wire::schema");

# Kind of back end a worker serves.
enum Kind { language @0; service @1; }

# Role of a language engine: which phases of a request it is meant for.
enum Role { mixed @0; prefill @1; decode @2; }

# How a unit of work ended, as far as the reporting process can prove.
enum Outcome { whole @0; notRun @1; unknown @2; failed @3; }

# Progress of a request at one agent.
enum Progress { absent @0; queued @1; started @2; finished @3; tombstone @4; }

struct Header { name @0 :Text; value @1 :Text; }

# One attempt to run a request at one endpoint.
struct WorkRequest {
  requestId @0 :Text;      # names every attempt of one caller request
  incarnation @1 :UInt64;  # agent incarnation this attempt is meant for
  team @2 :Text;
  profile @3 :Text;
  kind @4 :Kind;
  prompt @5 :Text;         # language work
  maxTokens @6 :UInt32;
  resumeTokens @7 :UInt32; # output tokens the caller already has
  priority @8 :UInt8;
  weight @9 :Float64;      # fair share of the team at the queue
  deadlineMs @10 :UInt32;  # time left for the whole request
  firstTokenMs @11 :UInt32;
  idempotent @12 :Bool;
  window @13 :UInt64;      # usage window both ends count the request in
  service @14 :Text;       # service work
  method @15 :Text;
  path @16 :Text;
  headers @17 :List(Header);
  body @18 :Data;
  entry @19 :UInt64;       # incarnation of the entry that sent it
}

# State of one endpoint as its agent sees it. It rides on every reply.
struct LoadReport {
  incarnation @0 :UInt64;
  queuedRequests @1 :UInt32;
  queuedTokens @2 :UInt64;     # uncached prefill tokens waiting
  running @3 :UInt32;
  slots @4 :UInt32;
  prefillRate @5 :Float64;     # tokens a second, learned
  decodeRate @6 :Float64;      # tokens a second for one stream, learned
  freeKvPieces @7 :UInt32;     # KV memory left, in pieces of 1,024 tokens
  role @8 :Role;
  ready @9 :Bool;
  leaving @10 :Bool;
  appliedTerm @11 :UInt64;     # newest plan order carried out
  appliedSequence @12 :UInt64;
  oldestQueuedMs @13 :UInt32;
  unmetDeadlines @14 :UInt64;  # refused or dropped for their deadline, cumulative
  hybridTime @15 :UInt64;
  evidence @16 :Evidence;      # freshest configuration evidence this agent was told
  outstandingOutput @17 :UInt64;  # output tokens admitted and not yet produced
}

# When a configuration version was last known to be the newest in the platform's KV.
struct Evidence {
  version @0 :UInt64;
  ageMs @1 :UInt32;            # age at the time of sending
}

struct Usage { promptTokens @0 :UInt32; cachedTokens @1 :UInt32; outputTokens @2 :UInt32; }

struct Chunk {
  data @0 :Data;
  nextOffset @1 :UInt64;
  progress @2 :Progress;
  outcome @3 :Outcome;         # meaningful when progress is finished
  message @4 :Text;
  retryAfterMs @5 :UInt32;
  usage @6 :Usage;
  status @7 :UInt16;           # HTTP status of service work
  contentType @8 :Text;
  tokens @9 :UInt32;           # output tokens up to nextOffset, resumed ones included
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
  planTerm @2 :UInt64;         # hint: newest plan the sender knows
  planSequence @3 :UInt64;
}

# One key of the mirrored part of the platform's KV.
struct Change { key @0 :Text; value @1 :Text; revision @2 :UInt64; deleted @3 :Bool; }

struct PeerState {
  hybridTime @0 :UInt64;
  process @1 :Text;
  incarnation @2 :UInt64;
  evidence @3 :Evidence;
  version @4 :UInt64;          # newest change the sender has applied
  stopping @5 :Bool;
}

# Bootstrap interface of every process. A session capability is given only to a caller
# that proves it holds the fleet secret, and the reply proves the same of the server.
interface Gate {
  challenge @0 () -> (nonce :Data);
  login @1 (process :Text, clientNonce :Data, proof :Data)
      -> (proof :Data, agent :AgentSession, peer :PeerSession);
}

interface AgentSession {
  submit @0 (request :WorkRequest) -> (result :Submitted);
  # Waits until the answer has bytes beyond the offset, has ended, or waitMs passed.
  # Bytes below the offset are acknowledged and may be dropped.
  fetch @1 (requestId :Text, offset :UInt64, waitMs :UInt32) -> (chunk :Chunk);
  # Tells how far a request came. An absent one becomes a tombstone: it never runs here.
  resolve @2 (requestId :Text) -> (progress :Progress, incarnation :UInt64);
  cancel @3 (requestId :Text, onlyQueued :Bool) -> (cancelled :Bool);
  ping @4 (ping :Ping) -> (load :LoadReport);
  events @5 (after :UInt64) -> (events :List(Event), process :Text);
}

interface PeerSession {
  # Tells each side how fresh the other is, and brings the caller what it lacks.
  exchange @0 (state :PeerState) -> (state :PeerState, changes :List(Change));
  events @1 (after :UInt64) -> (events :List(Event), process :Text);
}
