#include "chestnutsill/policy/crashtracker.h"
#include "chestnutsill/policy/hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace chestnutsill;

namespace {

constexpr milliseconds Heartbeat{200};
constexpr std::uint64_t CrashingRequest = 666;
constexpr std::uint64_t CrashingPart = 667;
constexpr std::uint64_t CommonPart = 1;
/// Time after which all instances in touch are bound by what has happened, and retries after it that are
/// allowed.
constexpr milliseconds ContactTime{3000};
constexpr int MaxLateRetries = 3;

struct Play
{
    int instances = 6;
    int zones = 3;
    /// Share of the heartbeats that are lost.
    double loss = 0.05;
    /// Whether the crashing part comes in requests that are all different, instead of one request that comes
    /// again.
    bool isPart = false;
    int seed = 1;
    /// Parts that all prompts begin with, and parts of its own that each prompt shares with no other one.
    std::size_t commonParts = 1;
    std::size_t ownParts = 0;
};

struct Result
{
    int crashes = 0;
    /// Retries later than `ContactTime` after the third crash, by instances that have run for as long.
    int lateRetries = 0;
    /// Sound requests that were refused, of those that came while no instance was cut off, and all of these.
    int refused = 0;
    int sound = 0;
};

/// A cluster in which a request crashes upstreams while instances are cut off from them, take them for
/// crashed, and restart. Exchanges crash notices as `UdpGossip` does: among all, or through the hubs of
/// zones.
class Cluster
{
public:
    explicit Cluster(const Play &play)
        : m_play(play)
        , m_random(static_cast<unsigned>(play.seed))
        , m_trackers(static_cast<std::size_t>(play.instances))
        , m_incarnations(Upstreams, 1)
        , m_startedAt(Upstreams)
        , m_cutUntil(m_trackers.size())
        , m_instanceStartedAt(m_trackers.size())
    {}

    Result run()
    {
        for (m_now = seconds(1); m_now < seconds(60); m_now += Heartbeat) {
            injectFaults();
            sendCrashing();
            sendSound();
            exchangeHeartbeats();
        }
        return m_result;
    }

private:
    static constexpr std::size_t Upstreams = 24;

    [[nodiscard]] std::size_t draw(std::size_t count) { return m_random() % count; }
    [[nodiscard]] bool isCut(std::size_t instance) const { return m_now < m_cutUntil[instance]; }

    [[nodiscard]] std::vector<std::uint64_t> partsOf(bool crashing)
    {
        std::vector<std::uint64_t> parts;
        for (std::uint64_t i = 0; i < m_play.commonParts; ++i)
            parts.push_back(CommonPart + i);
        if (crashing && m_play.isPart)
            parts.push_back(CrashingPart);
        for (std::size_t i = 0; i < m_play.ownParts; ++i)
            parts.push_back(m_nextSound++);
        return parts;
    }

    [[nodiscard]] bool mayRun(std::size_t instance, const std::vector<std::uint64_t> &parts,
                              std::uint64_t fingerprint) const
    {
        const auto ranksFirst = [&](std::uint64_t part) { return part % m_trackers.size() == instance; };
        return !m_trackers[instance].refusedUntil(parts, fingerprint, ranksFirst, m_now);
    }

    void breakRun(std::size_t instance, std::size_t upstream, std::uint64_t fingerprint,
                  const std::vector<std::uint64_t> &parts)
    {
        const std::string name = "u" + std::to_string(upstream);
        CrashTracker &tracker = m_trackers[instance];
        tracker.recordStart(name, fingerprint, parts);
        tracker.recordEnd(name, fingerprint, true, m_now);
        (void)tracker.recordCrash(name, std::to_string(m_incarnations[upstream]), m_now);
    }

    void injectFaults()
    {
        const auto rounds = m_now / Instant(Heartbeat);
        // A third of the instances is cut off, and each of their connections breaks.
        if (rounds % 40 == 5) {
            for (std::size_t i = 0; i < m_trackers.size(); ++i) {
                if (draw(3) != 0)
                    continue;
                m_cutUntil[i] = m_now + seconds(5);
                for (std::size_t upstream = 0; upstream < Upstreams; ++upstream)
                    breakRun(i, upstream, m_nextSound++, partsOf(false));
            }
        }
        if (rounds % 10 == 7) {
            const std::size_t restarted = draw(m_trackers.size());
            m_trackers[restarted] = {};
            m_instanceStartedAt[restarted] = m_now;
        }
    }

    void sendCrashing()
    {
        const std::size_t instance = draw(m_trackers.size());
        const auto parts = partsOf(true);
        const std::uint64_t fingerprint = m_play.isPart ? m_nextSound++ : CrashingRequest;
        if (isCut(instance) || !mayRun(instance, parts, fingerprint))
            return;
        const std::size_t upstream = draw(Upstreams);
        if (m_now < m_startedAt[upstream])
            return;
        const Instant boundSince = std::max(m_thirdCrashAt, m_instanceStartedAt[instance]);
        if (m_result.crashes >= 3 && m_now > boundSince + ContactTime)
            ++m_result.lateRetries;
        if (++m_result.crashes == 3)
            m_thirdCrashAt = m_now;
        // Others have sound requests there, and some of them notice the crash first.
        for (int i = 0; i < 3; ++i)
            breakRun(draw(m_trackers.size()), upstream, m_nextSound++, partsOf(false));
        breakRun(instance, upstream, fingerprint, parts);
        ++m_incarnations[upstream];
        m_startedAt[upstream] = m_now + seconds(2);
    }

    /// Each instance that reaches upstreams is answered by one over a connection of long ago.
    void sendSound()
    {
        for (std::size_t i = 0; i < m_trackers.size(); ++i) {
            const std::size_t upstream = draw(Upstreams);
            if (isCut(i) || m_now < m_startedAt[upstream])
                continue;
            const auto parts = partsOf(false);
            ++m_result.sound;
            if (!mayRun(i, parts, m_nextSound++)) {
                ++m_result.refused;
                continue;
            }
            const std::uint64_t incarnation =
                incarnationKeyOf("u" + std::to_string(upstream), std::to_string(m_incarnations[upstream]));
            (void)m_trackers[i].recordAnswer(incarnation, m_startedAt[upstream], m_now, m_now);
            m_trackers[i].recordPartsServed(parts, m_now);
        }
    }

    struct Message
    {
        std::vector<CrashNotice> notices;
        std::vector<CrashDisproof> disproofs;
        std::vector<std::uint64_t> served;
        std::vector<PartBan> bans;
    };

    void deliver(const Message &message, std::size_t to, bool relay)
    {
        if (std::uniform_real_distribution<double>()(m_random) < m_play.loss)
            return;
        CrashTracker &tracker = m_trackers[to];
        for (const CrashNotice &notice : message.notices)
            (void)tracker.mergeNotice(notice, m_now, relay);
        for (const CrashDisproof &disproof : message.disproofs)
            tracker.mergeDisproof(disproof, m_now, relay);
        for (const std::uint64_t part : message.served)
            tracker.mergeServedPart(part, m_now, relay);
        for (const PartBan &ban : message.bans)
            tracker.parts().mergeBan(ban, m_now);
    }

    void exchangeHeartbeats()
    {
        const std::size_t count = m_trackers.size();
        const auto zones = static_cast<std::size_t>(m_play.zones);
        const bool isLarge = count > 11;
        for (std::size_t from = 0; from < count; ++from) {
            CrashTracker &tracker = m_trackers[from];
            const Message message{tracker.takeNotices(), tracker.takeDisproofs(), tracker.takeServedParts(),
                                  tracker.parts().bans(m_now)};
            for (std::size_t to = 0; to < count; ++to) {
                // The hub of a zone is its first instance.
                const bool isHub = to < zones;
                const bool sameZone = from % zones == to % zones;
                const bool isTarget = !isLarge || (from < zones ? isHub || sameZone : isHub && sameZone);
                if (to != from && isTarget)
                    deliver(message, to, isLarge && isHub);
            }
        }
    }

    Play m_play;
    std::mt19937 m_random;
    std::vector<CrashTracker> m_trackers;
    std::vector<int> m_incarnations;
    std::vector<Instant> m_startedAt;
    std::vector<Instant> m_cutUntil;
    std::vector<Instant> m_instanceStartedAt;
    Instant m_now{};
    Instant m_thirdCrashAt{};
    std::uint64_t m_nextSound = 1000;
    Result m_result;
};

void checkPlays(int instances, bool isPart, int seeds, std::size_t commonParts = 1, std::size_t ownParts = 0)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(instances);
        CAPTURE(isPart);
        CAPTURE(seed);
        CAPTURE(commonParts);
        CAPTURE(ownParts);
        const Result result =
            Cluster({instances, std::min(6, instances / 2), 0.05, isPart, seed, commonParts, ownParts}).run();
        CHECK(result.crashes >= 3);
        CHECK(result.lateRetries <= MaxLateRetries);
        CHECK(result.refused * 50 <= result.sound);
    }
}

} // namespace

TEST_CASE(
    "crash play: a crashing request is stopped while instances are cut off and restart, at 6, 13 and 30")
{
    for (const int instances : {6, 13, 30})
        checkPlays(instances, false, 10);
}

TEST_CASE("crash play: a crashing part is stopped while instances are cut off and restart, at 6, 13 and 30")
{
    for (const int instances : {6, 13, 30})
        checkPlays(instances, true, 10);
}

TEST_CASE("crash play: a crashing request and a crashing part are stopped at 300 instances")
{
    checkPlays(300, false, 2);
    checkPlays(300, true, 2);
}

// Guards against a part that is never suspected because a prompt has more parts than a report holds.
TEST_CASE("crash play: a crashing part is stopped wherever it stands in prompts of hundreds of parts")
{
    for (const int instances : {6, 13, 30}) {
        checkPlays(instances, true, 3, 39);
        checkPlays(instances, true, 3, 207);
        checkPlays(instances, true, 3, 1, 200);
        checkPlays(instances, true, 3, 150, 100);
    }
}
