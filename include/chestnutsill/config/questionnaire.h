#pragma once

#include "chestnutsill/config/validationerror.h"
#include "chestnutsill/policy/configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// Generates a configuration from the answers of a team (JSON): deployment, availability zones, client
/// accounts, upstreams, and for each request class its name, priority (`highest`, `high`, `normal` or `low`),
/// model, latency targets, whether its requests may be retried, and the expected monthly volume. Returns
/// `std::nullopt` when an answer is invalid and adds an error for each invalid field to `errors`.
[[nodiscard]] std::optional<Configuration> generateConfiguration(std::string_view answers,
                                                                 ValidationErrors &errors);

/// Shows a question to the user and returns the line entered.
using PromptFunction = std::function<std::string(std::string_view question)>;

/// Prompts for all answers one by one. Returns them as the JSON that `generateConfiguration` takes.
[[nodiscard]] std::string promptForAnswers(const PromptFunction &prompt);

/// Expected monthly consumption of one request class.
struct ForecastRow
{
    std::string requestClass;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
};

/// Expected monthly consumption of each request class of a configuration.
[[nodiscard]] std::vector<ForecastRow> forecast(const Configuration &configuration);

} // namespace chestnutsill
