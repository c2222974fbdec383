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
#include <vector>

namespace chestnutsill {

inline constexpr std::string_view AccountField = "chestnutsill-account";
inline constexpr std::string_view ClassField = "chestnutsill-class";
inline constexpr std::string_view RequestIdField = "chestnutsill-request-id";
inline constexpr std::string_view DeadlineField = "chestnutsill-deadline-ms";

/// A caller's request and what the pipeline has determined about it so far.
struct PipelineCall
{
    Instant arrivedAt{};
    std::string account;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string requestIdText;
    /// Deadline that the caller sent; it can only shorten that of the class.
    std::optional<milliseconds> callerDeadline;
    std::shared_ptr<const Configuration> configuration;
    const RequestClass *requestClass = nullptr;
    bool stream = false;
    std::uint64_t fingerprint = 0;
    /// Hashes of the model and each message of a chat but the last one, which other chats may share.
    std::vector<std::uint64_t> sharedParts;
    /// Latest instant at which starting the run is still useful, and instant by which the run must have
    /// ended.
    Instant startBy{};
    Instant endBy{};
    /// Whether the caller has disconnected; polled while the request waits or runs. Always false while the
    /// owner of a request id runs the request, which continues without its caller.
    std::function<bool()> isAbandoned;
};

/// Refuses a request that has not been sent to an upstream. A request that carries a request id may have run
/// earlier under the same id, so only one without an id gets the verdict `NotRun`.
[[nodiscard]] Answer refuse(const PipelineCall &call, int status, std::string_view reason,
                            std::string_view field, std::string_view message);

/// First stage of the pipeline: determines the client account and checks that this instance accepts requests.
/// Returns an answer if the request ends here.
[[nodiscard]] std::optional<Answer> identify(PipelineCall &call, const HttpRequest &request,
                                             const ClusterView &view, bool closed);

/// Second stage: determines the request class, the deadlines and the fingerprint. Returns an answer if the
/// request ends here.
[[nodiscard]] std::optional<Answer> classify(PipelineCall &call, const HttpRequest &request);

} // namespace chestnutsill
