#pragma once

/// Forward declarations of the public types.

namespace chestnutsill {

class Catalog;
class ChangeLog;
class ColdShare;
class CrashBook;
class FairQueue;
class FeedChoice;
class Fleet;
class ForecastPacer;
class Freshness;
class Ledger;
class LoadBook;
class PartCache;
class RepeatBudget;
class RetryBudget;
class RevisionLag;
class Suspects;
class UpstreamJudge;
class VersionGuard;

enum class Claim;
enum class PeerFailure;
enum class RefusalReason;
enum class RunOutcome;
enum class Verdict;
enum class ViewState;

struct Answer;
struct Ask;
struct Configuration;
struct CrashNews;
struct CrashReport;
struct FeedPeers;
struct ForwardedRequest;
struct Grant;
struct Heartbeat;
struct HeldSlot;
struct HomeTerm;
struct InstanceNews;
struct LifeSign;
struct Load;
struct LoadShare;
struct Member;
struct PartCopy;
struct Placement;
struct PlacingCandidate;
struct PlacingSpeed;
struct PoolState;
struct PoolSummary;
struct Prompt;
struct PromptPart;
struct PublishedItem;
struct PublishedText;
struct Refusal;
struct Release;
struct RepeatBounds;
struct RequestClass;
struct RequestId;
struct Route;
struct RoutingTable;
struct Service;
struct Ticket;
struct Tier;
struct Upstream;
struct UpstreamEntry;
struct UpstreamRecord;
struct UpstreamReport;
struct UpstreamSpec;
struct UpstreamState;
struct Zone;

} // namespace chestnutsill
