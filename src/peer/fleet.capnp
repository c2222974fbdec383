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
  ageMs @6 :UInt32;
  strength @7 :UInt8;
}

struct LoadShare {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  running @1 :UInt16;
  unreadTokens @2 :Float32;
}

struct PromptPart {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

struct PartCopy {
  # Hash of the upstream's id.
  upstream @0 :UInt64;
  parts @1 :List(PromptPart);
  # Whether the upstream has read them already.
  read @2 :Bool;
}

struct CrashNews {
  # Hash of the incarnation that crashed.
  incarnation @0 :UInt64;
  fingerprints @1 :List(UInt64);
}

struct Echo {
  # Incarnation of the instance whose heartbeat is echoed.
  incarnation @0 :UInt64;
  # Its clock when it sent that heartbeat.
  sentAt @1 :Int64;
  # Microseconds from its arrival to this heartbeat.
  held @2 :Int64;
}

# Sent as one datagram, packed.
struct FleetBeat {
  self @0 :InstanceNews;
  others @1 :List(InstanceNews);
  tableVersion @2 :UInt64;
  # Age of the confirmation that this version is the newest; negative when there is none.
  confirmedAgeMs @3 :Int32;
  loads @4 :List(LoadShare);
  # Microseconds by the sender's clock.
  sentAt @5 :Int64;
  echoes @6 :List(Echo);
  copies @7 :List(PartCopy);
  crashes @8 :List(CrashNews);
  # Fingerprints of requests that were suspected and have completed.
  cleared @9 :List(UInt64);
  # Signs of life: hash of the name in the upper 32 bits, then 1 bit whether it serves, then its age in ms.
  signs @10 :List(UInt64);
  # Hashes of the names of instances that the sender doesn't know.
  wanted @11 :List(UInt32);
  # Whether loads are meant; gossip carries none.
  hasLoads @12 :Bool;
  # Revision of the store up to which the sender has followed it.
  revision @13 :UInt64;
  # For how long the sender has followed the store without a gap.
  followedMs @14 :UInt32;
}
