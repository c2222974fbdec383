#include "standin.h"

#include <csignal>
#include <functional>
#include <iostream>

namespace chestnutsill::standin {

std::int64_t number(const Options &options, const std::string &name, std::int64_t defaultValue)
{
    const auto found = options.find(name);
    return found == options.end() ? defaultValue : std::stoll(found->second);
}

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

boost::json::object parseObject(std::string_view text)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    return !error && value.is_object() ? value.get_object() : boost::json::object{};
}

std::int64_t integer(const boost::json::object &object, std::string_view name, std::int64_t defaultValue)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : defaultValue;
}

bool flag(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

void respondJson(Exchange &exchange, int status, const boost::json::value &value, const Fiber &fiber)
{
    exchange.respond(status, "application/json", boost::json::serialize(value) + '\n', {}, fiber);
}

} // namespace chestnutsill::standin

/// Usage: chestnutsill-standin engine|service|platform|proxy|store|replica [--name value]...
int main(int argc, char **argv)
{
    using namespace chestnutsill::standin;
    const std::map<std::string, std::function<void(boost::asio::io_context &, const Options &)>> modes{
        {"engine", runEngine},    {"service", runService}, {"platform", runPlatform},
        {"proxy", runFaultProxy}, {"store", runStore},     {"replica", runReplica}};
    const auto mode = modes.find(argc > 1 ? argv[1] : "");
    if (mode == modes.end() || argc % 2 != 0) {
        std::cerr
            << "usage: chestnutsill-standin engine|service|platform|proxy|store|replica [--name value]...\n";
        return 2;
    }
    Options options;
    for (int i = 2; i + 1 < argc; i += 2)
        options[std::string(argv[i]).substr(2)] = argv[i + 1];
    std::signal(SIGPIPE, SIG_IGN);
    try {
        boost::asio::io_context io(1);
        mode->second(io, options);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "chestnutsill-standin: " << error.what() << '\n';
        return 1;
    }
}
