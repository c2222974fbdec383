#pragma once

#include "cluster.h"

#include <optional>
#include <string>
#include <thread>

namespace chestnutsill::support {

/// What a caller got.
struct CallerResult
{
    int status = 0;
    std::string verdict;
    std::string body;
    std::string requestIdPrefix;
};

/// Adds two zones, one account, the classes `booking` (at most once, service `desk`), `chat` and `history`
/// (model `m`) to a cluster.
void describeWorkload(Cluster &cluster);

/// Adds a service upstream and an engine, one in each of the two zones.
void addDesk(Cluster &cluster, const std::string &name, const std::string &zone);
void addEngine(Cluster &cluster, const std::string &name, const std::string &zone, int slots, int coldSlots,
               const std::vector<std::string> &options = {});

/// Sends a booking under an id.
[[nodiscard]] CallerResult book(const Instance &instance, const std::string &requestId,
                                std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// A fresh request id owned by the instance.
[[nodiscard]] std::string freshId(const Instance &instance, const std::string &nonce);

/// Sends a chat call; `content` tells requests apart and `standin` goes to the engine.
[[nodiscard]] CallerResult chat(const Instance &instance, const std::string &requestClass,
                                const std::string &content, const std::string &standin, bool stream,
                                std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Sends a chat call and closes the connection after a time.
void chatAndLeave(const Instance &instance, const std::string &requestClass, const std::string &standin,
                  bool stream, std::chrono::milliseconds after);

/// Sends bytes as they are and returns all that comes back until the connection is closed.
[[nodiscard]] std::string sendRaw(const Instance &instance, const std::string &text);

} // namespace chestnutsill::support
