#pragma once

#include "chestnutsill/policy/prompt.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chestnutsill::emulator {

/// What one engine can do. Times are those of an engine of speed 1.
struct EngineShape
{
    int slots = 64;
    double memoryTokens = 500000;
    /// Time of one step, more for each running request and for the tokens that those hold.
    double stepMs = 3;
    double stepPerRunningMs = 0.1;
    double stepPerThousandTokensMs = 0.003;
    /// Prompt tokens read in a millisecond, and the time that grows with tokens read times tokens before
    /// them.
    double readTokensPerMs = 50;
    double readMsPerMillionPairs = 0.2;
    /// Time from the arrival of a request until an engine can begin with it.
    double firstMs = 15;
    /// Most prompt tokens read in one step.
    int chunkTokens = 2048;
    int tokensPerEvent = 8;
    /// Tokens fetched from the memory of another engine in a millisecond, and the time to set that up; 0
    /// tokens when engines can't.
    double fetchTokensPerMs = 0;
    double fetchSetupMs = 5;
};

/// A generation as an engine takes it.
struct EngineRequest
{
    std::uint64_t id = 0;
    Prompt prompt;
    int outputTokens = 0;
    /// 0 is the most urgent.
    int rank = 0;
    /// Tokens at the start of its prompt that have been fetched from another engine.
    double fetchedTokens = 0;
};

/// An event of a stream that a step has made.
struct EngineEvent
{
    std::uint64_t request = 0;
    /// Whether it is the last one.
    bool done = false;
};

/// An engine with continuous batching: each step makes a token for every running request and reads a chunk of
/// prompts between. Parts of prompts that it has read stay in memory until the least recently used must
/// yield; running requests that find no memory are preempted, the newest of the least urgent first, and read
/// again. Time is made up; whoever drives it calls `begin` and `end` of each step.
class Engine
{
public:
    /// An engine `speed` times as fast as its shape says.
    Engine(const EngineShape &shape, double speed)
        : m_shape(shape)
        , m_speed(speed)
    {}

    /// Takes a request.
    void add(EngineRequest request);

    /// Drops a request whose caller has left. Does nothing when it has ended.
    void cancel(std::uint64_t request);

    /// Tokens at the start of a prompt that are in memory.
    [[nodiscard]] double cachedTokens(const Prompt &prompt) const;

    /// Whether there is anything to do.
    [[nodiscard]] bool isBusy() const noexcept { return !m_running.empty() || !m_waiting.empty(); }

    /// Begins a step and returns how long it takes, in milliseconds.
    [[nodiscard]] double begin();

    /// Ends the step that was begun and returns what it made.
    [[nodiscard]] std::vector<EngineEvent> end();

    /// Prompt tokens read so far, and those of shared parts among them.
    [[nodiscard]] double tokensRead() const noexcept { return m_tokensRead; }
    [[nodiscard]] double sharedTokensRead() const noexcept { return m_sharedRead; }
    [[nodiscard]] std::size_t preempted() const noexcept { return m_preempted; }

private:
    struct Run
    {
        EngineRequest request;
        double unread = 0;
        double sharedUnread = 0;
        int made = 0;
        std::uint64_t order = 0;
        /// Tokens to read in the step in progress.
        double chunk = 0;
    };

    [[nodiscard]] static bool isMoreUrgent(const Run &a, const Run &b) noexcept;
    void admit(double budget);
    void planReading();
    void makeRoom();
    [[nodiscard]] static double ownTokens(const Run &run);
    [[nodiscard]] double tokensHeld() const;
    void keep(const Prompt &prompt);

    EngineShape m_shape;
    double m_speed;
    std::vector<Run> m_waiting;
    std::vector<Run> m_running;
    std::unordered_set<std::uint64_t> m_canceled;
    std::uint64_t m_nextOrder = 0;
    /// Cached parts from the least to the most recently used.
    std::list<PromptPart> m_cache;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_cached;
    double m_tokensRead = 0;
    double m_sharedRead = 0;
    std::size_t m_preempted = 0;
};

} // namespace chestnutsill::emulator
