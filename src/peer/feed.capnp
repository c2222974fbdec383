@0xb3d95e2f70a4c816;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chestnutsill::wire");

struct PublishedItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

# Response to a follower, a peer that receives the changes of the store through this instance.
struct FeedAnswer {
  items @0 :List(PublishedItem);
  at @1 :UInt64;
  # Age of the confirmation that nothing newer is published; negative when it was never confirmed.
  confirmedAgeMs @2 :Int32;
  # Remaining time for which the removal of entries that lapsed during an outage of the store is delayed.
  lapseMs @3 :UInt32;
  # Whether the items are all that exist at this revision, not the changes since the follower's revision.
  snapshot @4 :Bool;
  # Era of the store to which the revisions belong.
  era @5 :UInt64;
}
