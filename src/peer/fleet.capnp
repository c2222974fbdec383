@0xe1c5b7a90d3f2864;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chestnutsill::wire");

struct InstanceNews {
  name @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  serving @5 :Bool;
  # Milliseconds since the instance itself reported this status.
  ageMs @6 :UInt32;
  # Relative capacity, from 1 to 100.
  strength @7 :UInt8;
}

struct LoadShare {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  running @1 :UInt16;
  # Prompt tokens that await prefill.
  unreadTokens @2 :Float32;
  # Those of the running requests that are gap-sensitive streams.
  gapSensitive @3 :UInt16;
}

struct PromptPart {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

# Parts of a prompt in the prefix cache of an upstream.
struct PartCopy {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  parts @1 :List(PromptPart);
  # Whether the upstream has already processed these parts (prefill is done).
  read @2 :Bool;
}

struct CrashNews {
  # Hash of the incarnation that crashed.
  incarnation @0 :UInt64;
  fingerprints @1 :List(UInt64);
  parts @2 :List(SuspectPart);
  # Milliseconds since the crash was noticed.
  ageMs @3 :UInt32;
}

# A shared prompt part of a request that was in progress at a crash.
struct SuspectPart {
  part @0 :UInt64;
  # Number of shared parts that follow it in the prompt.
  following @1 :UInt8;
}

# Proof that a process whose crash was reported was alive afterwards.
struct LifeNews {
  # Hash of the incarnation.
  incarnation @0 :UInt64;
  # Milliseconds since it was alive.
  ageMs @1 :UInt32;
}

# A prompt part, or a whole request, that is refused because it crashes upstreams.
struct PartBan {
  part @0 :UInt64;
  # Failures that are attributed to it, and milliseconds since the last one.
  strikes @1 :UInt16;
  ageMs @2 :UInt32;
}

# A request rate that an upstream names in its responses.
struct RateNews {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  # Requests per second that it accepts from all instances together.
  perSecond @1 :Float64;
  # Milliseconds since a response named the rate.
  namedAgeMs @2 :UInt32;
  # Milliseconds since the sending of the latest request whose response named none; negative if there was none.
  endedAgeMs @3 :Int32;
}

# A logarithm that has been observed.
struct SpeedNews {
  # Hash of an upstream's id and the start of its process, or of a kind of samples.
  key @0 :UInt64;
  # In steps of 0.02.
  logValue @1 :Int16;
  # Number of samples behind it, on a logarithmic scale; 0 for none.
  weight @2 :UInt8;
}

# Request for the permit to send one request to an upstream that accepts a limited rate.
struct PermitAsk {
  # Identifies the request in the reply.
  id @0 :UInt64;
  upstream @1 :UInt64;
  perSecond @2 :Float64;
  maxDelayMs @3 :UInt32;
  # Priority rank of the request, 0 for the most urgent.
  rank @4 :UInt8;
}

struct PermitReply {
  id @0 :UInt64;
  granted @1 :Bool;
  # Milliseconds until the request may be sent or, if denied, until a permit may be had.
  delayMs @2 :UInt32;
}

# Where a stream was begun, and so may go on.
struct StreamOrigin {
  service @0 :Text;
  softwareVersion @1 :Text;
}

# Tells the origin of a stream that has begun.
struct StreamNews {
  # Hash of the client account and the attempt id.
  stream @0 :UInt64;
  origin @1 :StreamOrigin;
}

# Request for the origin of a stream.
struct OriginAsk {
  # Identifies the request in the reply.
  id @0 :UInt64;
  stream @1 :UInt64;
}

struct OriginReply {
  id @0 :UInt64;
  # Not set if the origin is not known for certain.
  origin @1 :StreamOrigin;
}

struct Echo {
  # Incarnation of the instance whose heartbeat is echoed.
  incarnation @0 :UInt64;
  # Time in microseconds by that instance's clock when it sent the echoed heartbeat.
  sentAt @1 :Int64;
  # Microseconds from the arrival of the echoed heartbeat to the sending of this one.
  held @2 :Int64;
}

# Heartbeat with gossip, sent as one datagram in packed form.
struct FleetBeat {
  self @0 :InstanceNews;
  others @1 :List(InstanceNews);
  tableVersion @2 :UInt64;
  # Age of the confirmation that this version is the newest published; negative when it was never confirmed.
  confirmedAgeMs @3 :Int32;
  loads @4 :List(LoadShare);
  # Microseconds by the sender's clock.
  sentAt @5 :Int64;
  echoes @6 :List(Echo);
  copies @7 :List(PartCopy);
  crashes @8 :List(CrashNews);
  # Fingerprints of requests that were suspected of causing a crash and have since completed.
  cleared @9 :List(UInt64);
  # Liveness digests: hash of the instance's name in the upper 32 bits, then 1 bit that is set when it serves,
  # then the age of its status in milliseconds in the lower 31 bits.
  signs @10 :List(UInt64);
  # Hashes of the names of instances that the sender has no status of and asks for.
  wanted @11 :List(UInt32);
  # Whether this message carries loads, so that an empty list differs from no list. In a large cluster only
  # messages to and from hubs carry them.
  hasLoads @12 :Bool;
  # Store revision up to which the sender has applied all changes.
  revision @13 :UInt64;
  # How long the sender has followed the store without a gap; 0 when it can't read the store.
  followedMs @14 :UInt32;
  # Hashes of the ids of upstreams that answer neither requests nor health checks of the sender.
  silent @15 :List(UInt64);
  bans @16 :List(PartBan);
  # Prompt parts that were suspected of crashing upstreams and have since been served.
  servedParts @17 :List(UInt64);
  rates @18 :List(RateNews);
  # A message with one of these is not a heartbeat.
  permitAsk @19 :PermitAsk;
  permitReply @20 :PermitReply;
  # Era of the store to which the revision belongs.
  era @21 :UInt64;
  # A message with one of these is not a heartbeat either.
  streamNews @22 :StreamNews;
  originAsk @23 :OriginAsk;
  originReply @24 :OriginReply;
  lives @25 :List(LifeNews);
  # Speeds of upstreams relative to the median upstream of their service, and the times that samples of each
  # kind are compared with, as far as they have changed since they were last sent.
  speeds @26 :List(SpeedNews);
  speedBaselines @27 :List(SpeedNews);
}
