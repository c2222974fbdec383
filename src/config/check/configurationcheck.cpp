#include "chestnutsill/config/configurationcheck.h"

#include "changes.h"
#include "chestnutsill/policy/configuration.h"

#include <map>
#include <set>

namespace chestnutsill {

namespace {

/// Index of each entry of a list by its name.
template<typename Item>
std::map<std::string_view, std::size_t> indexByName(const std::vector<Item> &items)
{
    std::map<std::string_view, std::size_t> index;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if constexpr (requires { items[i].name; })
            index.emplace(items[i].name, i);
        else
            index.emplace(items[i], i);
    }
    return index;
}

/// Adds a change for each entry that only one version has, and calls `compare` with the indices of those that
/// both have.
template<typename Item, typename Compare>
void compareLists(Changes &changes, std::string_view list, std::string_view noun, Notice removed,
                  const std::vector<Item> &former, const std::vector<Item> &next, const Compare &compare)
{
    const auto formerIndex = indexByName(former);
    const auto nextIndex = indexByName(next);
    for (const auto &[name, index] : formerIndex) {
        if (!nextIndex.contains(name))
            changes.add(removed, formerPath(list, index),
                        std::string(noun) + ' ' + quoted(name) + " is removed");
    }
    for (const auto &[name, index] : nextIndex) {
        const auto found = formerIndex.find(name);
        if (found == formerIndex.end())
            changes.add(Notice::Other, entryPath(list, index),
                        std::string(noun) + ' ' + quoted(name) + " is added");
        else
            compare(entryPath(list, index), former[found->second], next[index]);
    }
}

void compareClass(Changes &changes, const std::string &path, const RequestClass &former,
                  const RequestClass &item)
{
    changes.compare(Notice::ServiceChanged, path + ".model", former.model, item.model);
    changes.compare(Notice::ServiceChanged, path + ".repeatable", former.repeatable, item.repeatable);
    changes.compareLimit(path + ".deadlineMs", former.deadline, item.deadline);
    changes.compare(Notice::Other, path + ".firstTokenMs", former.firstTokenTarget, item.firstTokenTarget);
    changes.compare(Notice::Other, path + ".tier", former.tier, item.tier);
    changes.compare(Notice::Other, path + ".monthlyRequests", former.monthlyRequests, item.monthlyRequests);
    changes.compare(Notice::Other, path + ".tokensPerRequest", former.tokensPerRequest,
                    item.tokensPerRequest);
}

void compareUpstream(Changes &changes, const std::string &path, const Upstream &former,
                     const Upstream &upstream)
{
    changes.compare(Notice::Other, path + ".model", former.model, upstream.model);
    changes.compare(Notice::Other, path + ".address", former.address, upstream.address);
    changes.compare(Notice::Other, path + ".zone", former.zone, upstream.zone);
    changes.compare(Notice::Other, path + ".slots", former.slots, upstream.slots);
    changes.compare(Notice::Other, path + ".coldSlots", former.coldSlots, upstream.coldSlots);
    changes.compare(Notice::Other, path + ".out", former.out, upstream.out);
}

} // namespace

Findings checkConfiguration(const Configuration &configuration)
{
    Findings findings;
    std::set<std::string_view> used;
    for (std::size_t i = 0; i < configuration.classes.size(); ++i) {
        const RequestClass &item = configuration.classes[i];
        used.insert(item.model);
        if (openPools(configuration, item.model).empty())
            findings.push_back(
                {Severity::Error, entryPath("classes", i) + ".model",
                 "all upstreams of " + quoted(item.model) + " are out of service, and requests are refused"});
    }
    std::map<std::string_view, std::size_t> addresses;
    for (std::size_t i = 0; i < configuration.upstreams.size(); ++i) {
        const Upstream &upstream = configuration.upstreams[i];
        const std::string path = entryPath("upstreams", i);
        if (!used.contains(upstream.model))
            findings.push_back({Severity::Warning, path + ".model", "no class uses this model"});
        const auto [first, isNew] = addresses.emplace(upstream.address, i);
        if (!isNew)
            findings.push_back({Severity::Warning, path + ".address",
                                "is also that of " + entryPath("upstreams", first->second)
                                    + ": both together get more requests than either has slots for"});
    }
    return findings;
}

Findings configurationDifferences(const Configuration &inForce, const Configuration &next)
{
    Changes changes;
    changes.compare(Notice::Other, "deployment", inForce.deployment, next.deployment);
    compareLists(changes, "classes", "class", Notice::RouteRemoved, inForce.classes, next.classes,
                 [&](const std::string &path, const RequestClass &former, const RequestClass &item) {
                     compareClass(changes, path, former, item);
                 });
    compareLists(changes, "accounts", "account", Notice::KeyRemoved, inForce.accounts, next.accounts,
                 [](const std::string &, const std::string &, const std::string &) {});
    compareLists(changes, "upstreams", "upstream", Notice::Other, inForce.upstreams, next.upstreams,
                 [&](const std::string &path, const Upstream &former, const Upstream &upstream) {
                     compareUpstream(changes, path, former, upstream);
                 });
    compareLists(changes, "zones", "zone", Notice::Other, inForce.zones, next.zones,
                 [&](const std::string &path, const Zone &former, const Zone &zone) {
                     changes.compare(Notice::Other, path + ".out", former.out, zone.out);
                 });
    compareLists(changes, "tiers", "tier", Notice::Other, inForce.tiers, next.tiers,
                 [&](const std::string &path, const Tier &former, const Tier &tier) {
                     changes.compare(Notice::Other, path + ".floor", former.floor, tier.floor);
                 });
    return withVersionCheck(changes, inForce.version, next.version);
}

} // namespace chestnutsill
