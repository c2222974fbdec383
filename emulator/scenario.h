#pragma once

#include "chestnutsill/config/validationerror.h"
#include "engine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill::emulator {

/// A log-normal distribution of sizes: mean, standard deviation of the logarithm, and upper limit.
struct LogNormalSize
{
    double mean = 0;
    double spread = 0;
    double largest = 0;
};

/// A prompt part that requests of a class share. There are `things` variants of it; variant i is used with a
/// frequency proportional to i to the power of minus `skew` (0: all equally often; values above 0.99 count as
/// 0.99).
struct SharedPart
{
    LogNormalSize tokens;
    int things = 1;
    double skew = 0;
};

/// Load and targets of one class of requests.
struct RequestClass
{
    std::string name;
    /// Mean number of arrivals per second; arrivals are a Poisson process.
    double perSecond = 0;
    /// Rank at the engine, 0 the most urgent.
    int rank = 0;
    /// Targets in milliseconds: maximum time to the first token and maximum gap between two events. After
    /// `deadlineMs` the caller disconnects.
    double targetMs = 0;
    double pauseMs = 0;
    double deadlineMs = 0;
    /// Value of a response that meets the targets, and of one that misses them.
    double worth = 1;
    double lateWorth = 0;
    /// Prompt tokens that no other request shares.
    LogNormalSize ownTokens;
    std::vector<SharedPart> sharedParts;
    /// Number of events of a response.
    LogNormalSize events;
};

/// A period in which the request rate of a class is multiplied by `factor`.
struct Burst
{
    std::string requestClass;
    /// Start in seconds from the start of the simulation, and duration in seconds.
    double from = 0;
    double seconds = 0;
    double factor = 1;
};

/// A period in which some engines are down. They lose their prefix cache, and their requests fail.
struct Outage
{
    /// Start in seconds from the start of the simulation, and duration in seconds.
    double from = 0;
    double seconds = 0;
    /// Fraction of all engines that is down.
    double share = 0;
};

/// A deployment and its load, simulated for some seconds.
struct Scenario
{
    double seconds = 20;
    int instances = 8;
    int zones = 4;
    /// Network latency between an instance and an engine, in milliseconds.
    double linkMs = 1;
    int engines = 8;
    EngineShape shape;
    /// Speeds assigned to the engines in turn, relative to their shape.
    std::vector<double> speeds{1};
    std::vector<RequestClass> classes;
    std::vector<Burst> bursts;
    std::vector<Outage> outages;
};

/// Parses a scenario from JSON text. Returns `std::nullopt` and adds an error for each invalid field when it
/// is invalid.
[[nodiscard]] std::optional<Scenario> parseScenario(std::string_view text, ValidationErrors &errors);

} // namespace chestnutsill::emulator
