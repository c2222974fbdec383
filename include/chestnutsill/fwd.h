#pragma once

/// Forward declarations of the public types in policy/, except templates, and of `PeerFailure` in peer/.

namespace chestnutsill {

class ActiveConfiguration;
class BrittleUpstreams;
class Catalog;
class ChangeLog;
class ColdStartLimiter;
class CrashHistory;
class CrashingParts;
class CrashTracker;
class DeadlineEstimator;
class DeduplicationTable;
class FairQueue;
class FeedSelector;
class ForecastPacer;
class Freshness;
class HandOverTargets;
class LoadTable;
class Membership;
class OutlierDetector;
class PermitIssuer;
class PrefillRateEstimator;
class PrefixCacheIndex;
class RankDemand;
class RetryBudget;
class RevisionLagDetector;
class SilenceDetector;
class StreamOrigins;
class UpstreamPauses;
class UpstreamRateLimits;
class UpstreamReach;
class WindowedRetryBudget;

enum class AttemptResult;
enum class Claim;
enum class ConfigurationState;
enum class PeerFailure;
enum class RefusalReason;
enum class RouteKind;
enum class RunOutcome;
enum class Verdict;

struct Answer;
struct CachedTokens;
struct CallerLimits;
struct ClientAccount;
struct ColdStartRequest;
struct Configuration;
struct CrashDisproof;
struct CrashNotice;
struct CrashReport;
struct EngineTraits;
struct FeedCandidates;
struct FeedSource;
struct ForwardedRequest;
struct Grant;
struct Heartbeat;
struct HeldSlot;
struct HomeTerm;
struct InstanceStatus;
struct LivenessDigest;
struct Load;
struct Member;
struct PartBan;
struct Permit;
struct PermitRequest;
struct PoolState;
struct PoolSummary;
struct PrefixCacheUpdate;
struct Prompt;
struct PromptPart;
struct PublishedItem;
struct PublishedText;
struct RateLimitNotice;
struct Refusal;
struct Release;
struct RequestClass;
struct RequestId;
struct RetryLimits;
struct Route;
struct RoutingTable;
struct Service;
struct ServiceTimeModel;
struct SlotRequest;
struct StoreRevision;
struct StreamOrigin;
struct SuspectPart;
struct Ticket;
struct Tier;
struct Upstream;
struct UpstreamCandidate;
struct UpstreamEntry;
struct UpstreamLoad;
struct UpstreamRecord;
struct UpstreamReport;
struct UpstreamRoom;
struct UpstreamSelection;
struct UpstreamSpec;
struct UpstreamState;
struct WarmUpstream;
struct WeightedService;
struct Zone;

} // namespace chestnutsill
