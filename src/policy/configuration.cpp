#include "chestnutsill/policy/configuration.h"

#include <algorithm>
#include <set>

namespace chestnutsill {

namespace {

template<typename Range>
auto findByName(const Range &range, std::string_view name) noexcept -> decltype(range.data())
{
    const auto found =
        std::find_if(range.begin(), range.end(), [&](const auto &item) { return item.name == name; });
    return found == range.end() ? nullptr : &*found;
}

} // namespace

const RequestClass *findClass(const Configuration &configuration, std::string_view name) noexcept
{
    return findByName(configuration.classes, name);
}

const Upstream *findUpstream(const Configuration &configuration, std::string_view name) noexcept
{
    return findByName(configuration.upstreams, name);
}

bool isOpen(const Configuration &configuration, const Upstream &upstream) noexcept
{
    const Zone *zone = findByName(configuration.zones, upstream.zone);
    return !upstream.out && zone != nullptr && !zone->out;
}

std::string poolOf(const Upstream &upstream)
{
    return upstream.model + '/' + upstream.zone;
}

std::vector<std::string> openPools(const Configuration &configuration, std::string_view model)
{
    std::set<std::string> pools;
    for (const Upstream &upstream : configuration.upstreams) {
        if (upstream.model == model && isOpen(configuration, upstream))
            pools.insert(poolOf(upstream));
    }
    return {pools.begin(), pools.end()};
}

std::vector<std::string> allPools(const Configuration &configuration)
{
    std::set<std::string> pools;
    for (const Upstream &upstream : configuration.upstreams)
        pools.insert(poolOf(upstream));
    return {pools.begin(), pools.end()};
}

std::vector<UpstreamSpec> poolSpecs(const Configuration &configuration, std::string_view pool,
                                    std::span<const std::string> leaving)
{
    std::vector<UpstreamSpec> specs;
    for (const Upstream &upstream : configuration.upstreams) {
        if (poolOf(upstream) != pool)
            continue;
        const bool leaves = std::find(leaving.begin(), leaving.end(), upstream.name) != leaving.end();
        specs.push_back({upstream.name, upstream.address, upstream.slots, upstream.coldSlots,
                         isOpen(configuration, upstream) && !leaves});
    }
    return specs;
}

std::array<double, TierCount> tierFloors(const Configuration &configuration) noexcept
{
    std::array<double, TierCount> floors{};
    const std::size_t count = std::min(floors.size(), configuration.tiers.size());
    for (std::size_t tier = 0; tier < count; ++tier)
        floors[tier] = configuration.tiers[tier].floor;
    return floors;
}

} // namespace chestnutsill
