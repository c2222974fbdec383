#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutsill {

/// The only upstreams at which a stream may go on: those of the service and software version that began it.
struct StreamOrigin
{
    std::string service;
    std::string softwareVersion;

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// Key of a stream: a hash of the client account and of the attempt id that received its first event.
[[nodiscard]] std::uint64_t streamKeyOf(std::string_view account, std::string_view attemptId) noexcept;

/// Origins of the streams that this instance has begun, or that peers have told it. The origin of a stream
/// never changes, so what is found here is true whenever it was told and however old the view of the cluster
/// is; a stream that is not found may have begun anywhere. Memory use is bounded: the origin that was
/// recorded longest ago is dropped first. Not thread-safe.
class StreamOrigins
{
public:
    /// Number of peers to which the instance that begins a stream tells its origin before the caller gets the
    /// first event.
    static constexpr std::size_t ToldPeers = 3;
    /// Number of peers that are asked for an origin. More than are told, because instances that have joined
    /// since may rank before those that know it.
    static constexpr std::size_t AskedPeers = 8;
    /// Time for which an origin is kept after it was last recorded.
    static constexpr std::chrono::minutes Retention{2};
    /// Maximum number of origins kept.
    static constexpr std::size_t MaxStreams = 32'768;

    /// Records the origin of a stream, or renews it. Two different origins of one stream, which only a
    /// repeated attempt id can cause, leave it unknown.
    void record(std::uint64_t stream, const StreamOrigin &origin, Instant now);

    /// The origin of a stream; nothing if it is not known for certain.
    [[nodiscard]] std::optional<StreamOrigin> find(std::uint64_t stream, Instant now) const;

    /// Drops the origins that were recorded longer than `Retention` ago.
    void expire(Instant now);

    /// Number of streams that are kept.
    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

private:
    struct Record
    {
        std::uint64_t stream = 0;
        StreamOrigin origin;
        bool isAmbiguous = false;
        Instant recordedAt{};
    };

    void dropOldest();

    /// Ordered by the time of their last recording.
    std::list<Record> m_records;
    std::unordered_map<std::uint64_t, std::list<Record>::iterator> m_byStream;
};

} // namespace chestnutsill
