#pragma once

#include "chestnutsill/config/finding.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace chestnutsill {

/// How much callers notice of a change, most first.
enum class Notice {
    /// Requests are refused because nothing matches them any more.
    RouteRemoved,
    /// Requests are refused because their key is.
    KeyRemoved,
    /// Requests are served by other upstreams or in another way.
    ServiceChanged,
    /// Requests are refused, or fail, earlier than before.
    LimitLowered,
    /// Everything else.
    Other,
};

/// Collects the changes between two versions.
class Changes
{
public:
    void add(Notice notice, std::string path, std::string message)
    {
        m_changes.emplace_back(notice, Finding{Severity::Change, std::move(path), std::move(message)});
    }

    /// Adds a change of a value from `before` to `after`, unless they are equal.
    template<typename Value>
    void compare(Notice notice, const std::string &path, const Value &before, const Value &after)
    {
        if (before != after)
            add(notice, path, "changes from " + toText(before) + " to " + toText(after));
    }

    /// As `compare`, for a value that callers notice as `lowered` if it becomes smaller.
    template<typename Value>
    void compareLimit(const std::string &path, const Value &before, const Value &after)
    {
        compare(after < before ? Notice::LimitLowered : Notice::Other, path, before, after);
    }

    /// All changes, the most noticeable first, and in the order in which they were added otherwise.
    [[nodiscard]] Findings sorted() const
    {
        auto changes = m_changes;
        std::stable_sort(changes.begin(), changes.end(),
                         [](const auto &a, const auto &b) { return a.first < b.first; });
        Findings findings;
        for (auto &change : changes)
            findings.push_back(std::move(change.second));
        return findings;
    }

private:
    template<typename Value>
    static std::string toText(const Value &value)
    {
        if constexpr (requires { value.count(); })
            return std::to_string(value.count()) + " ms";
        else if constexpr (std::is_same_v<Value, bool>)
            return value ? "true" : "false";
        else if constexpr (std::is_arithmetic_v<Value>)
            return std::to_string(value);
        else
            return '"' + std::string(value) + '"';
    }

    std::vector<std::pair<Notice, Finding>> m_changes;
};

/// Path of an entry of a list, for example `routes[2]`.
[[nodiscard]] inline std::string entryPath(std::string_view list, std::size_t index)
{
    return std::string(list) + '[' + std::to_string(index) + ']';
}

/// Path of an entry that only the version in force has.
[[nodiscard]] inline std::string formerPath(std::string_view list, std::size_t index)
{
    return "against:" + entryPath(list, index);
}

[[nodiscard]] inline std::string quoted(std::string_view name)
{
    return '"' + std::string(name) + '"';
}

/// The changes, after an error if instances that use version `inForce` would not take `next`.
[[nodiscard]] inline Findings withVersionCheck(const Changes &changes, std::uint64_t inForce,
                                               std::uint64_t next)
{
    Findings findings = changes.sorted();
    if (next < inForce || (next == inForce && !findings.empty()))
        findings.insert(findings.begin(),
                        {Severity::Error, "version",
                         "must be above " + std::to_string(inForce)
                             + ", the version in force, or no instance takes the document"});
    return findings;
}

} // namespace chestnutsill
