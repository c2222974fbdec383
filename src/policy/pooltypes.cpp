#include "chestnutsill/policy/pooltypes.h"

namespace chestnutsill {

std::string_view toString(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::WouldBeLate:
        return "would-be-late";
    case RefusalReason::WaitedTooLong:
        return "waited-too-long";
    case RefusalReason::NoUpstream:
        return "no-upstream";
    case RefusalReason::HomeNotReady:
        return "home-not-ready";
    case RefusalReason::Quarantined:
        return "quarantined";
    }
    return "no-upstream";
}

const Ticket &ticketOf(const Decision &decision) noexcept
{
    if (const auto *grant = std::get_if<Grant>(&decision))
        return grant->ticket;
    return std::get_if<Refusal>(&decision)->ticket;
}

} // namespace chestnutsill
