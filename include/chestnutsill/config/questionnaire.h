#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Generates a configuration from a team's answers (JSON): deployment, zones, accounts, upstreams, and for
/// each request class its name, priority (`highest`, `high`, `normal` or `low`), model, latency targets,
/// whether it may be repeated, and its expected monthly volume. Returns nothing when an answer is bad;
/// `errors` then names each by its field.
[[nodiscard]] std::optional<Configuration> generateConfiguration(std::string_view answers,
                                                                 ValidationErrors &errors);

/// Puts one question and returns the line that was answered.
using Prompt = std::function<std::string(std::string_view question)>;

/// Asks for all answers one by one. Returns them in the form that `generateConfiguration` reads.
[[nodiscard]] std::string promptForAnswers(const Prompt &prompt);

/// Forecast consumption of one class.
struct ForecastRow
{
    std::string requestClass;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
};

/// Consumption by class that the configuration expects for a month.
[[nodiscard]] std::vector<ForecastRow> forecast(const Configuration &configuration);

} // namespace chestnutsill
