#pragma once

#include "chestnutsill/net/http.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/configuration.h"
#include "daemon/clusterview.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Header fields of a request.
inline constexpr std::string_view AccountField = "chestnutsill-account";
inline constexpr std::string_view ClassField = "chestnutsill-class";
inline constexpr std::string_view RequestIdField = "chestnutsill-request-id";
inline constexpr std::string_view DeadlineField = "chestnutsill-deadline-ms";

/// One request on its way through the pipeline.
struct PipelineCall
{
    Instant arrivedAt{};
    std::string account;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string requestIdText;
    /// Asked for by the caller, in place of the class's own deadline.
    std::optional<milliseconds> callerDeadline;
    std::shared_ptr<const Configuration> configuration;
    const RequestClass *requestClass = nullptr;
    bool stream = false;
    std::uint64_t fingerprint = 0;
    /// Latest useful start, and the instant at which the run must have ended.
    Instant startBy{};
    Instant endBy{};
    /// Polled while the request waits.
    std::function<bool()> isAbandoned;
};

/// Refuses a request that has not been sent. A request id that came with it may have run before, so only a
/// request without one is said not to have run.
[[nodiscard]] Answer refuse(const PipelineCall &call, int status, std::string_view reason,
                            std::string_view field, std::string_view message);

/// First filter: whose request is it, and may this instance take it? Returns an answer when it ends here.
[[nodiscard]] std::optional<Answer> identify(PipelineCall &call, const HttpRequest &request,
                                             const ClusterView &view, bool closed);

/// Second filter: which class is it, and which bounds follow? Returns an answer when it ends here.
[[nodiscard]] std::optional<Answer> classify(PipelineCall &call, const HttpRequest &request);

} // namespace chestnutsill
