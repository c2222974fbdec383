#pragma once

#include "cluster.h"

#include <optional>
#include <string>
#include <thread>

namespace chestnutsill::support {

/// The response that a caller received. `status` is 0 when there was none.
struct CallerResponse
{
    int status = 0;
    std::string verdict;
    std::string body;
    std::string requestIdPrefix;
};

/// Configures a cluster with two availability zones, two client accounts, and the classes `booking` (at most
/// once, model `desk`), `chat` and `history` (both model `m`).
void configureWorkload(Cluster &cluster);

/// Adds an upstream in the given availability zone: a service for model `desk`, or an engine for model `m`.
/// `slots` and `coldSlots` are its limits of concurrent requests after and during cold start.
void addDesk(Cluster &cluster, const std::string &name, const std::string &zone);
void addEngine(Cluster &cluster, const std::string &name, const std::string &zone, int slots, int coldSlots,
               const std::vector<std::string> &options = {});

/// Sends a booking with a request id; with an empty one, none is sent.
[[nodiscard]] CallerResponse book(const Instance &instance, const std::string &requestId,
                                  std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Returns a new request id that the instance owns.
[[nodiscard]] std::string newRequestId(const Instance &instance, const std::string &nonce);

/// Sends a chat request. `content` distinguishes requests; `standin` is a JSON object of instructions for
/// the stand-in engine.
[[nodiscard]] CallerResponse chat(const Instance &instance, const std::string &requestClass,
                                  const std::string &content, const std::string &standin, bool stream,
                                  std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Sends a chat request whose last message, `content`, follows another one, `first`.
[[nodiscard]] CallerResponse chatWithHistory(const Instance &instance, const std::string &first,
                                             const std::string &content);

/// Sends a chat request and closes the connection after the given time.
void chatAndDisconnect(const Instance &instance, const std::string &requestClass, const std::string &standin,
                       bool stream, std::chrono::milliseconds after);

/// Sends raw bytes and returns everything received until the connection is closed.
[[nodiscard]] std::string sendRaw(const Instance &instance, const std::string &text);

} // namespace chestnutsill::support
