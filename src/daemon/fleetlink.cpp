#include "daemon/fleetlink.h"

#include "chestnutsill/clock.h"
#include "chestnutsill/observe/log.h"

#include <charconv>
#include <set>

namespace chestnutsill {

namespace {

using Udp = boost::asio::ip::udp;

/// Heartbeats between two tries of the seeds while others are known: a seed may lead to a part of the fleet
/// that this instance has lost sight of.
constexpr std::uint64_t SeedTurns = 10;

std::optional<Udp::endpoint> toEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
    unsigned short port = 0;
    if (colon != std::string_view::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return error || port == 0 ? std::nullopt : std::optional(Udp::endpoint(ip, port));
}

} // namespace

FleetLink::FleetLink(boost::asio::io_context &io, const std::string &address, std::vector<std::string> seeds,
                     RouterState &state, Handlers handlers)
    : m_socket(io)
    , m_seeds(std::move(seeds))
    , m_state(state)
    , m_handlers(std::move(handlers))
    , m_incarnation(m_handlers.self().incarnation)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        throw std::runtime_error("cannot listen on " + address + ": not an IP address and port");
    m_socket.open(endpoint->protocol());
    m_socket.bind(*endpoint);
    m_socket.non_blocking(true);
    receive();
}

void FleetLink::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                if (const auto beat = decodeBeat({m_buffer.data(), size}))
                    heard(*beat);
                else
                    log(LogLevel::Warning, "heartbeat-malformed", {{"from", m_sender.address().to_string()}});
            }
            receive();
        });
}

void FleetLink::heard(const FleetBeat &beat)
{
    const Instant time = now();
    m_state.fleet.hear(beat.self, time);
    for (const InstanceNews &news : beat.others)
        m_state.fleet.hear(news, time);
    m_state.loads.hear(beat.self.name, beat.loads, time);
    for (const PartCopy &copy : beat.copies)
        m_state.parts.hear(copy);
    for (const CrashNews &crash : beat.crashes)
        m_state.crashes.hear(crash, time);
    for (const std::uint64_t fingerprint : beat.cleared)
        m_state.crashes.hearCleared(fingerprint);
    m_heard[beat.self.incarnation] = {beat.sentAt, time};
    const auto &table = m_state.catalog.table();
    const std::uint64_t ownVersion = table ? table->version : 0;
    if (beat.tableVersion > ownVersion)
        m_handlers.newerTable(beat.self.peerAddress, beat.tableVersion);
    else if (beat.tableVersion == ownVersion && table)
        confirm(beat, ownVersion, time);
}

void FleetLink::confirm(const FleetBeat &beat, std::uint64_t ownVersion, Instant time)
{
    if (!beat.confirmedAge)
        return;
    for (const BeatEcho &echo : beat.echoes) {
        // The peer sent this after it had held an own heartbeat for so long, which dates its confirmation.
        const Instant earliestSend = echo.sentAt + std::max(echo.held, Instant{});
        if (echo.incarnation == m_incarnation && earliestSend <= time)
            m_state.freshness.confirm(ownVersion, earliestSend - *beat.confirmedAge);
    }
}

void FleetLink::beat()
{
    const Instant time = now();
    FleetBeat beat;
    beat.self = m_handlers.self();
    beat.others = m_state.fleet.newsToPass(time, m_turn);
    beat.tableVersion = m_state.catalog.table() ? m_state.catalog.table()->version : 0;
    if (const auto age = m_state.freshness.age(time))
        beat.confirmedAge = std::chrono::ceil<milliseconds>(*age);
    beat.loads = m_state.loads.own();
    beat.copies = m_state.parts.news();
    beat.crashes = m_state.crashes.news();
    beat.cleared = m_state.crashes.clearedNews();
    beat.sentAt = time;
    std::erase_if(m_heard, [&](const auto &item) { return time - item.second.arrivedAt > Fleet::DeadAfter; });
    for (const auto &[incarnation, heard] : m_heard)
        beat.echoes.push_back({incarnation, heard.sentAt, time - heard.arrivedAt});
    const std::string bytes = encodeBeat(beat);
    std::set<std::string> addresses;
    for (std::string &address : m_state.fleet.targets(time, m_turn))
        addresses.insert(std::move(address));
    if (addresses.empty() || m_turn % SeedTurns == 0)
        addresses.insert(m_seeds.begin(), m_seeds.end());
    addresses.erase(beat.self.peerAddress);
    for (const std::string &address : addresses) {
        boost::system::error_code error;
        // A datagram that can't be sent is lost like one on the way; the next heartbeat makes up for it.
        if (const auto endpoint = toEndpoint(address))
            m_socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, error);
    }
    ++m_turn;
}

void FleetLink::run(const Fiber &fiber)
{
    for (;;) {
        beat();
        sleepFor(Fleet::Period, fiber);
    }
}

} // namespace chestnutsill
