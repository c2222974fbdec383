@0xc2f7a4f0b1d96e35;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chestnutsill::wire");

struct Ticket {
  holder @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct Ask {
  ticket @0 :Ticket;
  tier @1 :UInt8;
  account @2 :Text;
  fingerprint @3 :UInt64;
  strikes @4 :UInt8;
  # Microseconds left until the request must have started, counted from the sending of this message.
  startWithin @5 :Int64;
  avoid @6 :List(Text);
  overForecast @7 :Bool;
}

struct Decision {
  ticket @0 :Ticket;
  union {
    grant :group {
      upstream @1 :Text;
      address @2 :Text;
      incarnation @3 :Text;
      # Microseconds that the request waited at the home.
      waited @4 :Int64;
    }
    refusal :group {
      # Value of RefusalReason.
      reason @5 :UInt8;
      # Microseconds from now after which a retry may succeed.
      retryAfter @6 :Int64;
    }
  }
}

struct Release {
  ticket @0 :Ticket;
  # Value of RunOutcome.
  outcome @1 :UInt8;
  # The upstream's incarnation, when it differs from that of the grant.
  incarnationSeen @2 :Text;
  # Microseconds from send to first token; zero when there was none.
  firstToken @3 :Int64;
}

struct WarmUpstream {
  upstream @0 :Text;
  incarnation @1 :Text;
}

struct PoolSummary {
  pool @0 :Text;
  capacity @1 :UInt32;
  inUse @2 :UInt32;
  # Waiting requests by tier.
  waiting @3 :List(UInt32);
  warm @4 :List(WarmUpstream);
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  configVersion @3 :UInt64;
  listDigest @4 :UInt64;
  ready @5 :Bool;
  leaving @6 :Bool;
  requestIdPrefix @7 :Text;
  pools @8 :List(PoolSummary);
}

struct HeldSlot {
  ticket @0 :Ticket;
  pool @1 :Text;
  upstream @2 :Text;
  tier @3 :UInt8;
  fingerprint @4 :UInt64;
}

struct ForwardedRequest {
  requestId @0 :Text;
  account @1 :Text;
  requestClass @2 :Text;
  target @3 :Text;
  contentType @4 :Text;
  body @5 :Data;
}

struct Answer {
  status @0 :UInt16;
  # Value of Verdict.
  verdict @1 :UInt8;
  contentType @2 :Text;
  body @3 :Data;
  reason @4 :Text;
}

# A shared prompt part of a request that was in progress at a crash.
struct CrashPart {
  part @0 :UInt64;
  # Number of shared parts that follow it in the prompt.
  following @1 :UInt8;
}

struct CrashReport {
  upstream @0 :Text;
  incarnation @1 :Text;
  fingerprints @2 :List(UInt64);
  parts @3 :List(CrashPart);
}

interface Peer {
  heartbeat @0 (own :Heartbeat) -> (peer :Heartbeat);
  configuration @1 () -> (version :UInt64, text :Text);
  ask @2 (pool :Text, request :Ask) -> (decision :Decision);
  release @3 (pool :Text, ended :Release) -> ();
  adopt @4 (held :HeldSlot) -> ();
  forward @5 (request :ForwardedRequest) -> (answer :Answer);
  crash @6 (report :CrashReport) -> ();
  cleared @7 (fingerprint :UInt64) -> ();
}
