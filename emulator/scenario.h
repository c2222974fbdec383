#pragma once

#include "chestnutsill/config/validationerror.h"
#include "engine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill::emulator {

/// A log-normal size: its mean, the standard deviation of its logarithm, and the largest value drawn.
struct Size
{
    double mean = 0;
    double spread = 0;
    double largest = 0;
};

/// A part that prompts of a class share: how many different ones there are, and how unevenly they are asked
/// for (0: evenly; the i-th is asked for in proportion to i to the power of minus `skew`).
struct SharedPart
{
    Size tokens;
    int things = 1;
    double skew = 0;
};

/// Requests of one kind.
struct RequestClass
{
    std::string name;
    double perSecond = 0;
    /// Rank at the engine, 0 the most urgent.
    int rank = 0;
    /// Longest time to the first token and longest pause between events that are on time, and the time after
    /// which the caller leaves, in milliseconds.
    double targetMs = 0;
    double pauseMs = 0;
    double deadlineMs = 0;
    /// What an answer on time is worth, and one that is late.
    double worth = 1;
    double lateWorth = 0;
    Size ownTokens;
    std::vector<SharedPart> sharedParts;
    /// Events of an answer.
    Size events;
};

/// A time in which a class sends more.
struct Burst
{
    std::string requestClass;
    double from = 0;
    double seconds = 0;
    double factor = 1;
};

/// A time in which some engines are gone and have lost their memory.
struct Outage
{
    double from = 0;
    double seconds = 0;
    /// Part of all engines.
    double share = 0;
};

/// A deployment and its load, played for some seconds.
struct Scenario
{
    double seconds = 20;
    int instances = 8;
    int zones = 4;
    /// Time that a message takes between instances and to engines, in milliseconds.
    double linkMs = 1;
    int engines = 8;
    EngineShape shape;
    /// Speeds of engines, taken in turn; 1 is what the shape says.
    std::vector<double> speeds{1};
    std::vector<RequestClass> classes;
    std::vector<Burst> bursts;
    std::vector<Outage> outages;
};

/// Decodes a scenario from JSON text. Returns nothing and records a fault for each field that is wrong.
[[nodiscard]] std::optional<Scenario> parseScenario(std::string_view text, ValidationErrors &faults);

} // namespace chestnutsill::emulator
