#include "chestnutsill/policy/routing.h"

#include <algorithm>
#include <cctype>

namespace chestnutsill {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

const Route *findRoute(const RoutingTable &table, std::string_view host, std::string_view path) noexcept
{
    host = host.substr(0, host.rfind(':'));
    path = path.substr(0, path.find('?'));
    const Route *best = nullptr;
    for (const Route &route : table.routes) {
        if (best != nullptr && best->pathPrefix.size() >= route.pathPrefix.size())
            continue;
        if (path.starts_with(route.pathPrefix) && equalsIgnoringCase(host, route.host))
            best = &route;
    }
    return best;
}

const ClientAccount *findAccount(const RoutingTable &table, std::string_view key)
{
    const auto found = table.accountByKey.find(std::string(key));
    return found == table.accountByKey.end() ? nullptr : &table.accounts[found->second];
}

int engineRank(const RoutingTable &table, const Route &route, const ClientAccount *account) noexcept
{
    constexpr int LowestRank = 9;
    // Tier of an account that sets none, and of requests without an account.
    constexpr int DefaultAccountTier = 1;
    int routeTiers = 1;
    for (const Route &other : table.routes)
        routeTiers = std::max(routeTiers, other.tier + 1);
    const int accountTier =
        account == nullptr ? DefaultAccountTier : account->tier.value_or(DefaultAccountTier);
    return std::clamp(accountTier * routeTiers + route.tier, 0, LowestRank);
}

std::string_view selectService(const Route &route, std::uint64_t seed) noexcept
{
    std::uint64_t sum = 0;
    for (const WeightedService &choice : route.services)
        sum += static_cast<std::uint64_t>(std::max(choice.weight, 0));
    if (sum == 0)
        return route.services.empty() ? std::string_view() : std::string_view(route.services.front().service);
    std::uint64_t left = seed % sum;
    for (const WeightedService &choice : route.services) {
        const auto weight = static_cast<std::uint64_t>(std::max(choice.weight, 0));
        if (left < weight)
            return choice.service;
        left -= weight;
    }
    return {};
}

} // namespace chestnutsill
