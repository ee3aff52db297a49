# Messages between gateways: load and usage as gossip datagrams several times per second, and the
# mirrored part of the store on request.
@0xd3b07384d113edec;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujube::wire::schema");

# Load that one gateway puts on one endpoint.
struct LoadShare {
  endpoint @0 :UInt64;      # hash of the endpoint's id
  running @1 :UInt16;
  backlogTokens @2 :UInt32; # prompt tokens sent whose prefill has not finished
  changing @3 :Bool;        # the sender has ordered a stage change that is not complete
  failing @4 :Bool;         # the sender has ejected the endpoint and not yet readmitted it
  leaving @5 :Bool;         # the endpoint has announced to the sender that it is leaving
  remainingTokens @6 :UInt32; # output tokens that the sender's streams there still have to produce
  heldTokens @7 :UInt32;      # KV cache that the sender's requests hold there, in tokens
  reportedRunning @8 :UInt16; # of all callers, as the endpoint last stated to the sender
  reportedWaiting @9 :UInt16;
  pace @10 :UInt16;           # percent of the usual time that work takes there; 0: not stated
  reportAgeMs @11 :UInt16;    # age of the endpoint's statement
}

# Tokens charged to a team's quota by one run of a gateway, less what was refunded.
struct QuotaCount { team @0 :UInt64; tokens @1 :Int64; }

# Level of a team's bucket as the hub knows it, and the receiver's count that is included in it.
struct QuotaLevel { team @0 :UInt64; level @1 :Int64; includedTokens @2 :Int64; }

# Evidence of one gateway on the speed of an engine.
struct SpeedSample { endpoint @0 :UInt64; meanLogRatio @1 :Float32; weight @2 :Float32; }

# Engine time that the sender gave to a team of a service lately, as a decayed sum.
struct TeamUse { service @0 :UInt64; team @1 :UInt64; engineMs @2 :Float32; }

struct TeamCount { team @0 :Text; count @1 :UInt32; }

# A prefix block that was sent to an endpoint, as the hash that chains it to all preceding blocks.
struct PartSent { endpoint @0 :UInt64; link @1 :UInt64; tokens @2 :UInt32; }

# Requests that started in one usage window, as counted by one incarnation of a gateway.
struct WindowCounts { run @0 :UInt64; window @1 :UInt64; counts @2 :List(TeamCount); }

# An engine that was lost while it began to answer a prompt with a block.
struct BlockCrash { block @0 :UInt64; engine @1 :UInt64; ageMs @2 :UInt32; position @3 :UInt16; }

# A suspected block with which a prompt was answered.
struct BlockSuccess { block @0 :UInt64; ageMs @1 :UInt32; }

# The limit of requests per second that an endpoint named in an answer to the sender; negative: none.
struct EndpointLimit { endpoint @0 :UInt64; perSecond @1 :Float32; ageMs @2 :UInt32; }

struct GatewayNews {
  name @0 :Text;
  run @1 :UInt64;            # incarnation of the sender
  sequence @2 :UInt64;       # a datagram older than one already received is ignored
  configVersion @3 :UInt64;
  storeRevision @4 :UInt64;  # newest revision that the sender knows, within storeEra
  storeEra @15 :UInt64;      # newest era of the store that the sender knows
  promptTokensPerSecond @5 :Float32;
  shares @6 :List(LoadShare);
  windows @7 :List(WindowCounts);
  processorShare @9 :Float64; # cores the sender may use; the gateway with most becomes the hub
  load @10 :Bool;            # load report for the hub only: no windows, no revisions
  summary @11 :Bool;         # from the hub: total load of all other gateways
  outputTokensPerSecond @13 :Float32;
  readTokensPerSecond @16 :Float32; # rate of a prefill engine as observed by the sender
  watches @14 :Bool;         # the sender watches the store, and the store responds
  wallMs @12 :UInt64;        # wall-clock time of the sender; 0 while the message is queued
  blockCrashes @17 :List(BlockCrash);
  blockSuccesses @18 :List(BlockSuccess);
  quarantinedBlocks @19 :List(UInt64);
  limits @21 :List(EndpointLimit);
  requestsPerSecond @22 :Float32; # of clients, received by the sender
  quotaCounts @23 :List(QuotaCount);
  quotaLevels @24 :List(QuotaLevel); # in summaries only
  heardPeers @25 :List(UInt64);      # hashes of the names of peers heard recently; without a hub only
  engineSpeeds @26 :List(SpeedSample);
  teamUse @27 :List(TeamUse);        # the largest; replaces the sender's last list
  counts @20 :Bool;          # windows of departed gateways only; no other field applies
  parts @8 :List(PartSent);  # blocks sent recently; repeated because datagrams may be lost
}

struct StateItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
  era @4 :UInt64;
}

# All items, or, if base is not 0, those that changed after it.
struct GatewayState {
  items @0 :List(StateItem);
  revision @1 :UInt64;
  base @2 :UInt64;
  era @3 :UInt64;
}
