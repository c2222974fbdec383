#include "chestnutsill/router/handedoverexchange.h"

#include "chestnutsill/policy/verdict.h"
#include "handover.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace chestnutsill {

HandedOverExchange::HandedOverExchange(Exchange &peer)
    : m_peer(peer)
    , m_request(peer.request())
{
    m_request.method = peer.request().field(HandOverMethodField);
    m_request.target = peer.request().field(HandOverTargetField);
    std::erase_if(m_request.fields, [](const HttpField &field) {
        return equalsIgnoringCase(field.name, HandOverMethodField)
               || equalsIgnoringCase(field.name, HandOverTargetField);
    });
}

bool HandedOverExchange::respond(int status, std::string_view contentType, std::string_view body,
                                 std::span<const HttpField> fields, const Fiber &fiber)
{
    return m_peer.respond(status, contentType, body, fields, fiber);
}

bool HandedOverExchange::startStream(int status, std::string_view contentType,
                                     std::span<const HttpField> fields, const Fiber &fiber)
{
    return m_peer.startStream(status, contentType, fields, fiber);
}

bool HandedOverExchange::startRelay(int status, std::span<const HttpField> fields,
                                    std::optional<std::uint64_t> length, const Fiber &fiber)
{
    std::vector<HttpField> all(fields.begin(), fields.end());
    std::erase_if(
        all, [](const HttpField &field) { return equalsIgnoringCase(field.name, HandOverVerdictField); });
    all.push_back({std::string(HandOverVerdictField), std::string(toString(Verdict::Answered))});
    return m_peer.startRelay(status, all, length, fiber);
}

bool HandedOverExchange::sendPiece(std::string_view piece, const Fiber &fiber)
{
    return m_peer.sendPiece(piece, fiber);
}

bool HandedOverExchange::endStream(const Fiber &fiber)
{
    return m_peer.endStream(fiber);
}

void HandedOverExchange::abort()
{
    m_peer.abort();
}

bool HandedOverExchange::callerGone()
{
    return m_peer.callerGone();
}

void HandedOverExchange::watchCaller(std::function<void()> onGone)
{
    m_peer.watchCaller(std::move(onGone));
}

bool HandedOverExchange::reserveMemory(std::size_t bytes)
{
    return m_peer.reserveMemory(bytes);
}

void HandedOverExchange::closeAfterResponse()
{
    m_peer.closeAfterResponse();
}

} // namespace chestnutsill
