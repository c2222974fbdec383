#pragma once

/// Forward declarations of the public types.

namespace chestnutsill {

class FairQueue;
class ForecastPacer;
class Ledger;
class RetryBudget;
class Suspects;
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
struct CrashReport;
struct ForwardedRequest;
struct Grant;
struct Heartbeat;
struct HeldSlot;
struct HomeTerm;
struct Member;
struct PoolState;
struct PoolSummary;
struct PublishedText;
struct Refusal;
struct Release;
struct RequestClass;
struct RequestId;
struct Ticket;
struct Tier;
struct Upstream;
struct UpstreamReport;
struct UpstreamSpec;
struct UpstreamState;
struct Zone;

} // namespace chestnutsill
