#pragma once

#include "chestnutsill/policy/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// What one instance tells of itself or of another.
struct InstanceNews
{
    std::string name;
    /// Random number of the process; a restart changes it.
    std::uint64_t incarnation = 0;
    std::string zone;
    /// IP address and port for callers.
    std::string callerAddress;
    /// IP address and port for heartbeats.
    std::string peerAddress;
    /// Whether callers may be sent there.
    bool serving = false;
    /// How long ago the instance itself said so.
    milliseconds age{};
};

/// Who else is alive, learnt from heartbeats that pass on the news of others with their age. A state machine
/// without I/O. Not thread-safe.
class Fleet
{
public:
    /// Time between the heartbeats of one instance.
    static constexpr milliseconds Period{200};
    /// An instance without news for this long counts as dead: seven heartbeats, so that lost datagrams alone
    /// rarely make one look dead.
    static constexpr milliseconds DeadAfter{1400};
    /// Dead instances are forgotten after this time.
    static constexpr milliseconds ForgetAfter{60000};
    /// Most instances that one heartbeat is sent to, so that the cost of an instance doesn't grow with the
    /// fleet.
    static constexpr std::size_t FanOut = 10;
    /// Most instances whose news one heartbeat passes on, so that it fits into one datagram.
    static constexpr std::size_t MaxNews = 12;

    /// A fleet seen by the instance of this name.
    explicit Fleet(std::string ownName)
        : m_ownName(std::move(ownName))
    {}

    /// Takes news of an instance, from itself or passed on. News of this instance itself is ignored.
    void hear(const InstanceNews &news, Instant now);

    /// Whether an instance has been heard of lately.
    [[nodiscard]] bool isAlive(std::string_view name, Instant now) const;

    /// Live instances other than this one, in order of their names, with the age of what is known of them.
    [[nodiscard]] std::vector<InstanceNews> alive(Instant now) const;

    /// Number of live instances, this one included.
    [[nodiscard]] std::size_t size(Instant now) const;

    /// Live instances to send the next heartbeat to, and the news to pass on with it. `turn` counts
    /// heartbeats.
    [[nodiscard]] std::vector<std::string> targets(Instant now, std::uint64_t turn) const;
    [[nodiscard]] std::vector<InstanceNews> newsToPass(Instant now, std::uint64_t turn) const;

private:
    struct Known
    {
        InstanceNews news;
        Instant heardAt{};
    };

    std::string m_ownName;
    std::map<std::string, Known, std::less<>> m_known;
};

} // namespace chestnutsill
