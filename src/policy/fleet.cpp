#include "chestnutsill/policy/fleet.h"

#include "chestnutsill/policy/hash.h"

#include <algorithm>

namespace chestnutsill {

namespace {

/// Takes `count` items starting at a place that moves on with each turn, so that all get their turn.
template<typename Item>
std::vector<Item> rotate(std::vector<Item> items, std::size_t count, std::uint64_t turn)
{
    if (items.size() <= count)
        return items;
    const auto start = static_cast<std::ptrdiff_t>((turn * count) % items.size());
    std::rotate(items.begin(), items.begin() + start, items.end());
    items.resize(count);
    return items;
}

} // namespace

void Fleet::hear(const InstanceNews &news, Instant now)
{
    if (news.name == m_ownName || news.name.empty())
        return;
    std::erase_if(m_known, [&](const auto &item) { return now - item.second.heardAt > ForgetAfter; });
    const Instant heardAt = now - news.age;
    const auto [found, isNew] = m_known.try_emplace(news.name);
    if (!isNew && found->second.heardAt >= heardAt)
        return;
    found->second = {news, heardAt};
}

bool Fleet::isAlive(std::string_view name, Instant now) const
{
    const auto found = m_known.find(name);
    return name == m_ownName || (found != m_known.end() && now - found->second.heardAt <= DeadAfter);
}

std::vector<InstanceNews> Fleet::alive(Instant now) const
{
    std::vector<InstanceNews> instances;
    for (const auto &[name, known] : m_known) {
        if (now - known.heardAt > DeadAfter)
            continue;
        instances.push_back(known.news);
        instances.back().age = std::chrono::duration_cast<milliseconds>(now - known.heardAt);
    }
    return instances;
}

std::size_t Fleet::size(Instant now) const
{
    return 1 + alive(now).size();
}

std::vector<std::string> Fleet::targets(Instant now, std::uint64_t turn) const
{
    std::vector<std::string> addresses;
    for (const InstanceNews &instance : alive(now))
        addresses.push_back(instance.peerAddress);
    // Each instance starts at a place of its own, so that all are heard from evenly.
    return rotate(std::move(addresses), FanOut, turn + stableHash(m_ownName));
}

std::vector<InstanceNews> Fleet::newsToPass(Instant now, std::uint64_t turn) const
{
    auto known = alive(now);
    // Where everybody hears everybody, a single piece of news at a time is enough for those who have just
    // come.
    const std::size_t count = known.size() <= FanOut ? 1 : MaxNews;
    return rotate(std::move(known), count, turn);
}

} // namespace chestnutsill
