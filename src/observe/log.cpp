#include "chestnutsill/observe/log.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/shared_ptr.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace chestnutsill {

namespace {

namespace logging = boost::log;
namespace json = boost::json;

using Logger = logging::sources::severity_logger_mt<int>;

std::string &instanceName()
{
    static std::string name;
    return name;
}

Logger &logger()
{
    static Logger instance;
    return instance;
}

std::string_view levelName(LogLevel level)
{
    static constexpr std::array<std::string_view, 4> Names{"debug", "info", "warning", "error"};
    return Names[static_cast<std::size_t>(level)];
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void setUpLog(std::string_view instance, LogLevel minimum)
{
    using Backend = logging::sinks::text_ostream_backend;
    instanceName() = instance;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::message);
    sink->set_filter(logging::expressions::attr<int>("Severity") >= static_cast<int>(minimum));
    logging::core::get()->add_sink(sink);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logging::record record = logger().open_record(logging::keywords::severity = static_cast<int>(level));
    if (!record)
        return;
    json::object line{{"timeMs", unixMilliseconds()},
                      {"level", json::string_view(levelName(level).data(), levelName(level).size())},
                      {"instance", instanceName()},
                      {"event", json::string_view(event.data(), event.size())}};
    for (const LogField &field : fields) {
        std::visit(
            [&](const auto &value) { line[json::string_view(field.name.data(), field.name.size())] = value; },
            field.value);
    }
    logging::record_ostream stream(record);
    stream << json::serialize(line);
    stream.flush();
    logger().push_record(std::move(record));
}

} // namespace chestnutsill
