#pragma once

#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// An upstream that may take a request, with what is known of it.
struct UpstreamCandidate
{
    std::string_view upstream;
    /// Requests that it works on at a time, and those it has in progress.
    int slots = 0;
    int running = 0;
    /// Prompt tokens that it has still to read.
    double tokensToPrefill = 0;
    /// Tokens of the prompt that it holds or will have read when it comes to the prompt, as far as is known,
    /// and those of them that it holds already.
    double cachedTokens = 0;
    double prefilledTokens = 0;
    /// Share of recent attempts that failed, 0 to 1.
    double failureRate = 0;
    /// Whether it is one of those that requests of this kind go to first.
    bool preferred = true;
    /// What it counts as if it is not, in milliseconds.
    double separationPenaltyMs = 0;
    /// Whether only few instances may send to it now, so that it stays idle if they don't. It is compared for
    /// each request, and used for any kind.
    bool inColdStart = false;
    /// Whether it is in the availability zone of this instance.
    bool sameZone = false;
};

/// What upstreams of a service take for their work.
struct ServiceTimeModel
{
    /// Prompt tokens read in a millisecond by an engine.
    double prefillTokensPerMs = 50;
    /// Time that one more running request adds to the first token of the next, in milliseconds.
    double msPerRunningRequest = 2;
    /// Tokens that an engine fetches from the memory of another in a millisecond; 0 when it can't.
    double fetchTokensPerMs = 0;
    /// Time that a request waits for each one before it when all slots are taken, in milliseconds.
    double msPerQueuedRequest = 30;
};

/// Which upstream takes a request.
struct UpstreamSelection
{
    std::size_t candidate = 0;
    /// Tokens of the prompt that it will have to read.
    double tokensToPrefill = 0;
    /// The candidate whose memory it is to fetch shared parts from.
    std::optional<std::size_t> source;
};

/// Marks the upstreams that pause-sensitive streams go to first: a quarter, at least two, and more while
/// those are busy. The others read the long prompts, which would pause those streams. The order is a hash of
/// the ids, so that instances with equal views mark the same ones, and the loss of one moves few. Marks none
/// when there are fewer than four.
[[nodiscard]] std::vector<bool> reserveForGapSensitive(std::span<const UpstreamCandidate> candidates);

/// Whether a stream whose longest pause on time is `pauseMs` bears no longer pauses than others of its
/// service, of which `shortestMs` is the shortest. Both in milliseconds.
[[nodiscard]] bool isGapSensitive(double gapMs, double minGapMs) noexcept;

/// Keeps pause-sensitive streams and long prompts apart while there is room: sets which candidates are
/// preferred for a stream that is pause-sensitive or not, and what the others count as. Where few streams run
/// that could be paused, long prompts may use their upstreams sooner.
void separateByGapSensitivity(std::span<UpstreamCandidate> candidates, bool gapSensitive);

/// Chooses the upstream at which the first token is expected soonest. Reading shared parts again that another
/// one holds counts more than its time, because it also delays all others there. Where engines can fetch
/// parts from each other's memory, that is done instead, and counts for what it costs. A part that nobody
/// holds goes to the upstream that ranks first for it by rendezvous hash until that one is loaded, so that
/// instances that don't know of each other's work yet don't have it read twice. Returns nothing without
/// candidates.
[[nodiscard]] std::optional<UpstreamSelection> selectUpstream(std::span<const UpstreamCandidate> candidates,
                                                              const Prompt &prompt,
                                                              const ServiceTimeModel &timeModel,
                                                              std::uint64_t seed);

} // namespace chestnutsill
