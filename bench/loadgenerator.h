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

/// Results of the requests of one class.
struct ClassOutcome
{
    std::int64_t offered = 0;
    /// Complete responses whose first token met the target of the class.
    std::int64_t attained = 0;
    /// All complete responses.
    std::int64_t answered = 0;
    /// Rejections with the verdict that the request has not run.
    std::int64_t refused = 0;
    /// All other results: errors, incomplete streams, uncertain verdicts.
    std::int64_t failed = 0;
    /// Tokens of complete responses.
    std::int64_t tokens = 0;
    /// Tokens of complete responses whose first token met the target.
    std::int64_t tokensInTime = 0;
    std::vector<double> firstTokenMs;
};

using Outcomes = std::map<std::string, ClassOutcome>;

/// How the load differs from the normal load, by class and account.
struct LoadShape
{
    /// Multiplier of the request rate of a class at a time since the start.
    std::function<double(const std::string &requestClass, double second)> factor = [](const std::string &,
                                                                                      double) { return 1.0; };
    /// Fraction of the requests of each class that one large client account sends.
    double largeAccountShare = 0.3;
};

/// Open-loop load generator: callers send requests at random times, independent of earlier responses. They
/// refresh the addresses of the instances once per second (not with the baseline), and try up to three
/// addresses when connecting fails.
class LoadGenerator
{
public:
    LoadGenerator(const Deployment &deployment, std::vector<std::string> addresses, bool baseline,
                  std::uint64_t seed);

    /// Generates load for `duration` seconds and waits for all responses. Each of `events` is called once, at
    /// its time in seconds since the start.
    Outcomes run(double duration, const LoadShape &shape,
                 const std::vector<std::pair<double, std::function<void()>>> &events);

private:
    struct Address
    {
        std::string address;
        std::string requestIdPrefix;
    };

    void refreshAddresses(const Fiber &fiber);
    void generateArrivals(const ClassLoad &load, double duration, const LoadShape &shape, const Fiber &fiber);
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
