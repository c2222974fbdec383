@0xb3d95e2f70a4c816;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chestnutsill::wire");

struct PublishedItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# Answer to a peer that follows the store through this instance.
struct FeedAnswer {
  items @0 :List(PublishedItem);
  at @1 :UInt64;
  # Age of the confirmation that nothing newer is published; negative when there is none.
  confirmedAgeMs @2 :Int32;
  # How much longer entries that lapsed in an outage are kept.
  lapseMs @3 :UInt32;
}
