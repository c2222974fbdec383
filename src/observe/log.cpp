#include "chestnutsill/observe/log.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/shared_ptr.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>

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

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning", "error"};

std::string_view levelName(LogLevel level)
{
    return LevelNames[static_cast<std::size_t>(level)];
}

/// Rate and burst size of the token bucket that limits log lines, so that a burst of requests can't overload
/// the instance with logging.
constexpr double MaxLinesPerSecond = 500;
constexpr double MaxBurstLines = 1000;
/// Maximum length of a line, newline included; longer lines are truncated. A pipe that is ready for writing
/// takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4096;

/// Writes lines to standard output without ever blocking on its reader. Lines that can't be written are
/// counted, and the count is logged after the next line that can.
class StandardOutputBackend
    : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding>
{
public:
    void consume(const logging::record_view &, const string_type &line)
    {
        refill();
        if (m_allowedLines < 1 || !tryWrite(line)) {
            ++m_dropped;
            return;
        }
        m_allowedLines -= 1;
        if (m_dropped > 0
            && tryWrite(R"({"level":"warning","instance":")" + instanceName()
                        + R"(","event":"log-lines-dropped","count":)" + std::to_string(m_dropped) + '}'))
            m_dropped = 0;
    }

private:
    void refill()
    {
        const auto now = std::chrono::steady_clock::now();
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_allowedLines = std::min(m_allowedLines + seconds * MaxLinesPerSecond, MaxBurstLines);
        m_refilledAt = now;
    }

    static bool tryWrite(std::string line)
    {
        line.resize(std::min(line.size(), MaxLineBytes - 1));
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
            return false;
        return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    }

    double m_allowedLines = MaxBurstLines;
    std::chrono::steady_clock::time_point m_refilledAt = std::chrono::steady_clock::now();
    std::uint64_t m_dropped = 0;
};

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

std::optional<LogLevel> toLogLevel(std::string_view name) noexcept
{
    const auto found = std::find(LevelNames.begin(), LevelNames.end(), name);
    return found == LevelNames.end() ? std::nullopt
                                     : std::optional(static_cast<LogLevel>(found - LevelNames.begin()));
}

void setUpLog(std::string_view instance, LogLevel minimum)
{
    instanceName() = instance;
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<StandardOutputBackend>>(
        boost::make_shared<StandardOutputBackend>());
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
