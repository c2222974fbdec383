#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill::soak {

/// Longest age of a confirmation with which keys are honoured, as the settings of the soak say.
constexpr std::chrono::milliseconds KeyAge{2500};

/// Now in Unix milliseconds, which the processes of one machine share.
[[nodiscard]] inline std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// One request as its caller saw it.
struct Seen
{
    std::string id;
    std::string path;
    std::string key;
    std::int64_t sentMs = 0;
    /// 0 when no whole answer came.
    int status = 0;
    std::string body;
};

/// A span of time; open at the end while it lasts.
struct Span
{
    std::int64_t fromMs = 0;
    std::optional<std::int64_t> toMs;
};

/// What callers saw and what was done to the site. Safe from any thread.
class History
{
public:
    void add(Seen seen)
    {
        const std::lock_guard lock(m_mutex);
        m_seen.push_back(std::move(seen));
    }

    /// Records a fault, for the summary.
    void note(const std::string &fault)
    {
        const std::lock_guard lock(m_mutex);
        ++m_faults[fault];
    }

    /// Key 2 is not valid from its removal on until it is given back.
    void keyTaken(std::int64_t ackedMs)
    {
        const std::lock_guard lock(m_mutex);
        m_keyGone.push_back({ackedMs, std::nullopt});
    }
    void keyGiven(std::int64_t sentMs)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_keyGone.empty())
            m_keyGone.back().toMs = sentMs;
    }

    /// A promise that was seen broken while the soak ran.
    void broken(const std::string &promise)
    {
        const std::lock_guard lock(m_mutex);
        m_broken.push_back(promise);
    }

    [[nodiscard]] std::vector<Seen> seen() const
    {
        const std::lock_guard lock(m_mutex);
        return m_seen;
    }
    [[nodiscard]] std::vector<Span> keyGone() const
    {
        const std::lock_guard lock(m_mutex);
        return m_keyGone;
    }
    [[nodiscard]] std::vector<std::string> brokenMeanwhile() const
    {
        const std::lock_guard lock(m_mutex);
        return m_broken;
    }

    [[nodiscard]] std::string summary() const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t answered = 0;
        for (const Seen &seen : m_seen)
            answered += seen.status == 200 ? 1 : 0;
        std::string text =
            std::to_string(m_seen.size()) + " requests, " + std::to_string(answered) + " answered;";
        for (const auto &[fault, count] : m_faults)
            text += ' ' + fault + ' ' + std::to_string(count);
        return text;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Seen> m_seen;
    std::map<std::string, int> m_faults;
    std::vector<Span> m_keyGone;
    std::vector<std::string> m_broken;
};

} // namespace chestnutsill::soak
