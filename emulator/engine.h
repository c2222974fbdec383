#pragma once

#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chestnutsill::emulator {

/// Capacity and timing of an engine. Fields have the names of the scenario's keys; times are those of an
/// engine with speed 1.
struct EngineShape
{
    /// Maximum number of requests that run concurrently.
    int slots = 64;
    /// Capacity of the KV cache in tokens.
    double memoryTokens = 500000;
    /// Duration of one step: a fixed part, a part per running request, and a part per 1,000 tokens in use.
    double stepMs = 3;
    double stepPerRunningMs = 0.1;
    double stepPerThousandTokensMs = 0.003;
    /// Prefill speed in prompt tokens per millisecond, and the additional attention time per million pairs of
    /// a prefilled token and a token before it.
    double readTokensPerMs = 50;
    double readMsPerMillionPairs = 0.2;
    /// Delay from the arrival of a request until the engine can start it.
    double firstMs = 15;
    /// Maximum number of prompt tokens prefilled in one step.
    int chunkTokens = 2048;
    /// Output tokens per event of the stream.
    int tokensPerEvent = 8;
    /// Speed of fetching cached tokens from another engine, and the setup time of a fetch. A speed of 0 means
    /// that engines can't fetch.
    double fetchTokensPerMs = 0;
    double fetchSetupMs = 5;
};

/// A generation request as an engine receives it.
struct EngineRequest
{
    std::uint64_t id = 0;
    Prompt prompt;
    int outputTokens = 0;
    /// Priority rank; 0 is the most urgent.
    int rank = 0;
    /// Tokens at the start of the prompt whose KV cache was fetched from another engine.
    double fetchedTokens = 0;
};

/// An event of a response stream.
struct EngineEvent
{
    std::uint64_t request = 0;
    /// Whether this is the last event of the stream.
    bool done = false;
};

/// Model of an engine with continuous batching and chunked prefill. Each step generates one token for every
/// running request and prefills a chunk of prompt tokens. Prefilled prompt parts stay in the prefix cache,
/// which evicts the least recently used parts. When memory runs out, running requests are preempted, the
/// newest of the least urgent first, and prefilled again later. Time is simulated: the user calls `beginStep`
/// and `endStep`.
class Engine
{
public:
    /// Creates an engine that is `speed` times as fast as its shape.
    Engine(const EngineShape &shape, double speed)
        : m_shape(shape)
        , m_speed(speed)
    {}

    /// Queues a request.
    void add(EngineRequest request);

    /// Cancels a request whose caller has disconnected. Does nothing when the request has ended.
    void cancel(std::uint64_t request);

    /// Returns how many tokens at the start of a prompt are in the prefix cache.
    [[nodiscard]] double cachedTokens(const Prompt &prompt) const;

    /// Returns whether any request is running or queued.
    [[nodiscard]] bool hasWork() const noexcept { return !m_running.empty() || !m_queue.empty(); }

    /// Begins a step and returns its duration in milliseconds.
    [[nodiscard]] double beginStep();

    /// Ends the step in progress and returns the events that it produced.
    [[nodiscard]] std::vector<EngineEvent> endStep();

    /// Number of prompt tokens prefilled so far, and how many of them belong to shared parts.
    [[nodiscard]] double tokensPrefilled() const noexcept { return m_tokensPrefilled; }
    [[nodiscard]] double sharedTokensPrefilled() const noexcept { return m_sharedPrefilled; }
    [[nodiscard]] std::size_t preempted() const noexcept { return m_preempted; }

private:
    struct Run
    {
        EngineRequest request;
        double tokensLeft = 0;
        double sharedTokensLeft = 0;
        int generated = 0;
        std::uint64_t order = 0;
        /// Tokens to prefill in the step in progress.
        double chunk = 0;
    };

    [[nodiscard]] static bool isMoreUrgent(const Run &a, const Run &b) noexcept;
    void admit(double budget);
    void planPrefill();
    void preemptAndEvict();
    [[nodiscard]] static double unsharedTokens(const Run &run);
    [[nodiscard]] double tokensInUse() const;
    void cache(const Prompt &prompt);

    EngineShape m_shape;
    double m_speed;
    std::vector<Run> m_queue;
    std::vector<Run> m_running;
    std::unordered_set<std::uint64_t> m_cancelled;
    std::uint64_t m_nextOrder = 0;
    /// Prefix cache, ordered from the least to the most recently used part.
    std::list<PromptPart> m_cache;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_cached;
    double m_tokensPrefilled = 0;
    double m_sharedPrefilled = 0;
    std::size_t m_preempted = 0;
};

} // namespace chestnutsill::emulator
