#pragma once

#include "chestnutsill/net/exchange.h"
#include "chestnutsill/net/httpserver.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chestnutsill::standin {

/// Options `--name value` of the program.
using Options = std::map<std::string, std::string>;

/// A whole number from the options, or the default.
[[nodiscard]] std::int64_t number(const Options &options, const std::string &name, std::int64_t standard);

/// Milliseconds of the system's clock, which tests compare across processes.
[[nodiscard]] std::int64_t unixMs();

/// Reads a JSON object; an empty one for anything else.
[[nodiscard]] boost::json::object parseObject(std::string_view text);

/// A whole number member, or the default.
[[nodiscard]] std::int64_t integer(const boost::json::object &object, std::string_view name,
                                   std::int64_t standard);

/// A truth value member, or false.
[[nodiscard]] bool flag(const boost::json::object &object, std::string_view name);

/// Sends a JSON response.
void respondJson(Exchange &exchange, int status, const boost::json::value &value, const Fiber &fiber);

/// Each runs one stand-in until the process ends.
void runEngine(boost::asio::io_context &io, const Options &options);
void runService(boost::asio::io_context &io, const Options &options);
void runPlatform(boost::asio::io_context &io, const Options &options);
void runFaultProxy(boost::asio::io_context &io, const Options &options);
void runStore(boost::asio::io_context &io, const Options &options);
void runReplica(boost::asio::io_context &io, const Options &options);

} // namespace chestnutsill::standin
