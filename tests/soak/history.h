#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill::soak {

/// Setting `revoke_ms` of the soak's instances: maximum age of the configuration's last confirmation at which
/// they accept keys.
constexpr std::chrono::milliseconds MaxKeyConfirmationAge{2500};

/// Current Unix time in milliseconds, comparable between all processes of the machine.
[[nodiscard]] inline std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// One request and its result as the caller observed them.
struct RequestRecord
{
    std::string id;
    std::string path;
    std::string key;
    std::int64_t sentMs = 0;
    /// HTTP status; 0 when no complete response arrived.
    int status = 0;
    std::string body;
    /// Id of the attempt that received the first event of the stream that the request takes up; empty if it
    /// takes up none.
    std::string resumedId;
};

/// A time interval; `toMs` is empty while it lasts.
struct TimeSpan
{
    std::int64_t fromMs = 0;
    std::optional<std::int64_t> toMs;
};

/// Requests of all callers, and faults and violations during the run. Thread-safe.
class History
{
public:
    void add(RequestRecord request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(request));
    }

    /// Counts an injected fault, for the summary.
    void recordFault(const std::string &fault)
    {
        const std::lock_guard lock(m_mutex);
        ++m_faults[fault];
    }

    /// Record that `key-2` was removed from the routing table (time of the acknowledgement) or added to it
    /// again (time of sending). It is invalid in between.
    void recordKeyRevoked(std::int64_t ackedMs)
    {
        const std::lock_guard lock(m_mutex);
        m_keyRevocations.push_back({ackedMs, std::nullopt});
    }
    void recordKeyRestored(std::int64_t sentMs)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_keyRevocations.empty())
            m_keyRevocations.back().toMs = sentMs;
    }

    /// Records a violation observed during the run.
    void recordViolation(const std::string &violation)
    {
        const std::lock_guard lock(m_mutex);
        m_violations.push_back(violation);
    }

    [[nodiscard]] std::vector<RequestRecord> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }
    [[nodiscard]] std::vector<TimeSpan> keyRevocations() const
    {
        const std::lock_guard lock(m_mutex);
        return m_keyRevocations;
    }
    [[nodiscard]] std::vector<std::string> violations() const
    {
        const std::lock_guard lock(m_mutex);
        return m_violations;
    }

    [[nodiscard]] std::string summary() const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t answered = 0;
        std::size_t takenUp = 0;
        std::size_t wentOn = 0;
        for (const RequestRecord &request : m_requests) {
            answered += request.status == 200 ? 1 : 0;
            takenUp += request.resumedId.empty() ? 0 : 1;
            wentOn += !request.resumedId.empty() && request.status == 200 ? 1 : 0;
        }
        std::string text = std::to_string(m_requests.size()) + " requests, " + std::to_string(answered)
                           + " answered, of " + std::to_string(takenUp) + " that took a stream up "
                           + std::to_string(wentOn) + " to its end;";
        for (const auto &[fault, count] : m_faults)
            text += ' ' + fault + ' ' + std::to_string(count);
        return text;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RequestRecord> m_requests;
    std::map<std::string, int> m_faults;
    std::vector<TimeSpan> m_keyRevocations;
    std::vector<std::string> m_violations;
};

} // namespace chestnutsill::soak
