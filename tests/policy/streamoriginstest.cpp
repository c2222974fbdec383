#include "chestnutsill/policy/streamorigins.h"
#include "chestnutsill/policy/membership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

const StreamOrigin First{"chat", "v1"};
const StreamOrigin Second{"chat", "v2"};

/// A cluster whose instances all know each other, and the origins that each of them keeps. Peer addresses
/// are the names.
class Cluster
{
public:
    explicit Cluster(int size)
    {
        for (int i = 0; i < size; ++i)
            m_names.push_back("instance-" + std::to_string(i));
        for (const std::string &name : m_names)
            start(name);
    }

    /// Starts an instance, or starts it again without anything that it knew.
    void start(const std::string &name)
    {
        m_origins.erase(name);
        m_origins.emplace(name, StreamOrigins());
        m_dead.erase(name);
    }

    void kill(const std::string &name) { m_dead.insert(name); }

    void begin(const std::string &at, std::uint64_t stream, const StreamOrigin &origin)
    {
        m_origins.at(at).record(stream, origin, m_now);
        for (const std::string &peer : view(at).rankedPeers(stream, StreamOrigins::ToldPeers, m_now)) {
            if (!m_dead.contains(peer))
                m_origins.at(peer).record(stream, origin, m_now);
        }
    }

    /// What an instance learns of a stream, by itself and from the peers that it asks.
    [[nodiscard]] std::optional<StreamOrigin> ask(const std::string &at, std::uint64_t stream) const
    {
        auto origin = m_origins.at(at).find(stream, m_now);
        for (const std::string &peer : view(at).rankedPeers(stream, StreamOrigins::AskedPeers, m_now)) {
            if (!origin && !m_dead.contains(peer))
                origin = m_origins.at(peer).find(stream, m_now);
        }
        return origin;
    }

    [[nodiscard]] const std::vector<std::string> &names() const noexcept { return m_names; }

    [[nodiscard]] std::size_t largestTable() const
    {
        std::size_t largest = 0;
        for (const auto &[name, origins] : m_origins)
            largest = std::max(largest, origins.size());
        return largest;
    }

    void add(const std::string &name)
    {
        m_names.push_back(name);
        start(name);
    }

private:
    /// The view of an instance, which still takes dead ones to be alive.
    [[nodiscard]] Membership view(const std::string &own) const
    {
        Membership membership(own, "a");
        for (const std::string &name : m_names)
            membership.mergeStatus({name, 1, "a", name, name, true, milliseconds(0)}, m_now);
        return membership;
    }

    std::vector<std::string> m_names;
    std::map<std::string, StreamOrigins> m_origins;
    std::set<std::string> m_dead;
    Instant m_now = seconds(1);
};

} // namespace

TEST_CASE("stream origins: what is found is what was recorded, and a stream that nobody recorded is unknown")
{
    StreamOrigins origins;
    origins.record(1, First, seconds(1));
    origins.record(2, Second, seconds(1));
    CHECK(origins.find(1, seconds(2)) == First);
    CHECK(origins.find(2, seconds(2)) == Second);
    CHECK_FALSE(origins.find(3, seconds(2)));
    CHECK(streamKeyOf("account-1", "a") != streamKeyOf("account-2", "a"));
    CHECK(streamKeyOf("account-1", "a") != streamKeyOf("account-1", "b"));
}

TEST_CASE("stream origins: a stream with two different origins is unknown")
{
    StreamOrigins origins;
    origins.record(1, First, seconds(1));
    origins.record(1, First, seconds(2));
    CHECK(origins.find(1, seconds(2)) == First);
    origins.record(1, Second, seconds(3));
    CHECK_FALSE(origins.find(1, seconds(3)));
    origins.record(1, First, seconds(4));
    CHECK_FALSE(origins.find(1, seconds(4)));
}

TEST_CASE("stream origins: the time and the number of kept ones are bounded, and a renewed one stays")
{
    StreamOrigins origins;
    origins.record(1, First, seconds(1));
    origins.record(2, First, seconds(1));
    origins.record(1, First, seconds(100));
    const Instant later = seconds(1) + StreamOrigins::Retention + milliseconds(1);
    CHECK(origins.find(1, later) == First);
    CHECK_FALSE(origins.find(2, later));
    origins.expire(later);
    CHECK(origins.size() == 1);
    for (std::uint64_t stream = 10; stream < 10 + StreamOrigins::MaxStreams; ++stream)
        origins.record(stream, Second, later);
    CHECK(origins.size() == StreamOrigins::MaxStreams);
    CHECK_FALSE(origins.find(1, later));
    CHECK(origins.find(10, later) == Second);
}

TEST_CASE("stream origins: 3, 13 and 300 instances learn a stream's origin after the one that began it and "
          "others with it are killed, and nobody guesses after all are")
{
    constexpr std::uint64_t Streams = 200;
    for (const int size : {3, 13, 300}) {
        CAPTURE(size);
        Cluster cluster(size);
        const std::string origin = cluster.names().front();
        for (std::uint64_t stream = 1; stream <= Streams; ++stream)
            cluster.begin(origin, stream, stream % 2 == 0 ? First : Second);
        cluster.kill(origin);
        const std::string asking = cluster.names().back();
        for (std::uint64_t stream = 1; stream <= Streams; ++stream)
            CHECK(cluster.ask(asking, stream) == (stream % 2 == 0 ? First : Second));
        // A third of the instances dies with it and half a dozen others join.
        for (int i = 0; i < size / 3; ++i)
            cluster.kill(cluster.names()[static_cast<std::size_t>(i)]);
        for (int i = 0; i < std::min(size, 6); ++i)
            cluster.add("joined-" + std::to_string(i));
        std::uint64_t known = 0;
        for (std::uint64_t stream = 1; stream <= Streams; ++stream) {
            const auto learned = cluster.ask(asking, stream);
            CHECK((!learned || *learned == (stream % 2 == 0 ? First : Second)));
            known += learned ? 1 : 0;
        }
        CHECK(2 * known >= Streams);
        for (const std::string &name : cluster.names())
            cluster.start(name);
        for (std::uint64_t stream = 1; stream <= Streams; ++stream)
            CHECK_FALSE(cluster.ask(asking, stream));
    }
}

TEST_CASE("stream origins: 300 instances share the origins of all streams evenly")
{
    // Each instance keeps what it has begun and its part of what the others tell, within twice the mean.
    constexpr std::uint64_t Streams = 12'000;
    Cluster cluster(300);
    std::vector<std::string> names = cluster.names();
    for (std::uint64_t stream = 1; stream <= Streams; stream += 40)
        for (std::uint64_t i = 0; i < 40; ++i)
            cluster.begin(names[(stream / 40) % names.size()], stream + i, First);
    CHECK(cluster.largestTable() <= 2 * (1 + StreamOrigins::ToldPeers) * Streams / names.size());
}
