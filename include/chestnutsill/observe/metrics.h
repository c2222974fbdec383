#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chestnutsill {

struct Lateness;

/// Counters and latency histograms of one process. Thread-safe; state is sharded by request class to reduce
/// lock contention.
class Metrics
{
public:
    /// Data recorded for one completed request.
    struct Request
    {
        std::string_view requestClass;
        /// Wire form of the verdict.
        std::string_view verdict;
        /// Reason of a refusal; empty otherwise.
        std::string_view reason;
        /// Time from arrival to the first token; zero if there was none.
        std::chrono::microseconds firstToken{};
        /// Time from arrival to the end of the request.
        std::chrono::microseconds totalTime{};
        /// Whether the request met the latency target of its class.
        bool attained = false;
        std::uint64_t tokensIn = 0;
        std::uint64_t tokensOut = 0;
        /// Tokens that upstreams generated but no caller received.
        std::uint64_t tokensWasted = 0;
    };

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Records a completed request.
    void record(const Request &request);

    /// Counts which targets a request missed, by route and by client account. The names are those of the
    /// configuration, empty for a request without them.
    void recordLateness(std::string_view route, std::string_view account, const Lateness &lateness);

    /// Adds to a counter with the label `kind`, for example `retries_total{kind="not-run"}`.
    void add(std::string_view name, std::string_view labelValue, std::uint64_t amount = 1);

    /// Input and output tokens of one request class since the process started.
    [[nodiscard]] std::uint64_t tokens(std::string_view requestClass) const;

    /// All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace chestnutsill
