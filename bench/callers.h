#pragma once

#include "chestnutsill/net/fiber.h"
#include "workload.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chestnutsill::bench {

/// What became of the requests of one class.
struct ClassOutcome
{
    std::int64_t offered = 0;
    /// Whole answers whose first token came within the class's target.
    std::int64_t attained = 0;
    /// Whole answers, in time or not.
    std::int64_t answered = 0;
    /// Explicit refusals that the request has not run.
    std::int64_t refused = 0;
    /// All other ends: errors, cut streams, doubtful verdicts.
    std::int64_t failed = 0;
    /// Tokens of whole answers.
    std::int64_t tokens = 0;
    /// Tokens of whole answers whose first token came in time.
    std::int64_t tokensInTime = 0;
    std::vector<double> firstTokenMs;
};

using Outcomes = std::map<std::string, ClassOutcome>;

/// How the load differs from calm times, by class and account.
struct LoadShape
{
    /// Factor on the rate of a class at a time since the start.
    std::function<double(const std::string &requestClass, double second)> factor = [](const std::string &,
                                                                                      double) { return 1.0; };
    /// Share of a class's requests that one large account sends.
    double largeAccountShare = 0.3;
};

/// Callers that send requests at random times whatever becomes of earlier ones (open loop). They ask for
/// addresses, keep the answer for its hold time, and turn to another address when a connection is refused.
class Callers
{
public:
    Callers(const Deployment &deployment, std::vector<std::string> addresses, bool baseline,
            std::uint64_t seed);

    /// Sends load for a number of seconds and waits for all answers. `events` are called once each at their
    /// second.
    Outcomes run(double duration, const LoadShape &shape,
                 const std::vector<std::pair<double, std::function<void()>>> &events);

private:
    struct Address
    {
        std::string address;
        std::string requestIdPrefix;
    };

    void refreshAddresses(const Fiber &fiber);
    void offer(const ClassLoad &load, double duration, const LoadShape &shape, const Fiber &fiber);
    void send(const ClassLoad &load, const std::string &account, const std::string &content,
              const Fiber &fiber);
    [[nodiscard]] double elapsed() const;

    const Deployment &m_deployment;
    const std::vector<std::string> m_seeds;
    const bool m_baseline;
    std::mt19937_64 m_random;
    boost::asio::io_context m_io;
    std::chrono::steady_clock::time_point m_start;
    std::vector<Address> m_addresses;
    Outcomes m_outcomes;
    const std::uint64_t m_seed;
};

} // namespace chestnutsill::bench
