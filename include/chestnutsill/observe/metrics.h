#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Counters and latency histograms of one process. Safe from any thread; state is in shards by class.
class Metrics
{
public:
    /// What is recorded of one ended request.
    struct Request
    {
        std::string_view requestClass;
        /// Wire form of the verdict.
        std::string_view verdict;
        /// Cause of a refusal, or empty.
        std::string_view reason;
        /// From arrival to first token; zero when there was none.
        std::chrono::microseconds firstToken{};
        std::chrono::microseconds totalTime{};
        /// Whether the class's latency target was met.
        bool attained = false;
        std::uint64_t tokensIn = 0;
        std::uint64_t tokensOut = 0;
        /// Tokens that upstreams generated and no caller received.
        std::uint64_t tokensWasted = 0;
    };

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Records an ended request.
    void record(const Request &request);

    /// Adds to a counter that has one label, for example `retries_total{kind="not-run"}`.
    void add(std::string_view name, std::string_view labelValue, std::uint64_t amount = 1);

    /// Tokens in and out of one class since the process started.
    [[nodiscard]] std::uint64_t tokens(std::string_view requestClass) const;

    /// All metrics in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace chestnutsill
