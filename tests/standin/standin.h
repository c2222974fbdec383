#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/httpserver.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chestnutsill::standin {

/// Command line options of the form `--name value`.
using Options = std::map<std::string, std::string>;

/// Returns an integer option, or the default when it is absent.
[[nodiscard]] std::int64_t number(const Options &options, const std::string &name, std::int64_t defaultValue);

/// Unix time in milliseconds, which tests compare across processes.
[[nodiscard]] std::int64_t unixMs();

/// Parses a JSON object. Returns an empty object for any other text.
[[nodiscard]] boost::json::object parseObject(std::string_view text);

/// Returns an integer field, or the default when it is absent or no integer.
[[nodiscard]] std::int64_t integer(const boost::json::object &object, std::string_view name,
                                   std::int64_t defaultValue);

/// Returns a boolean field, or false when it is absent or no boolean.
[[nodiscard]] bool flag(const boost::json::object &object, std::string_view name);

/// Sends a JSON response.
void respondJson(Exchange &exchange, int status, const boost::json::value &value, const Fiber &fiber);

// Each of these runs one stand-in until the process ends.
void runEngine(boost::asio::io_context &io, const Options &options);
void runService(boost::asio::io_context &io, const Options &options);
void runPlatform(boost::asio::io_context &io, const Options &options);
void runFaultProxy(boost::asio::io_context &io, const Options &options);
void runStore(boost::asio::io_context &io, const Options &options);
void runReplica(boost::asio::io_context &io, const Options &options);

} // namespace chestnutsill::standin
