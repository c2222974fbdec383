#pragma once

#include "chestnutsill/policy/instant.h"

#include <map>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Measures for how long each upstream has sent nothing although it has requests in progress. Not
/// thread-safe.
class SilenceDetector
{
public:
    /// Records that a request is sent to an upstream.
    void recordSend(std::string_view upstream, Instant now);

    /// Records that bytes of a response have arrived from an upstream, on any connection.
    void recordBytes(std::string_view upstream, Instant now);

    /// Records that a request has ended, with or without a response.
    void recordEnd(std::string_view upstream);

    /// Time since the last byte from an upstream or, if that is shorter, since it has requests in progress;
    /// zero if it has none.
    [[nodiscard]] Instant silence(std::string_view upstream, Instant now) const;

private:
    struct Record
    {
        int inProgress = 0;
        /// When the upstream last sent bytes, or when the first of the requests in progress was sent.
        Instant silentSince{};
    };

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace chestnutsill
