#include "chestnutsill/config/document.h"

#include "chestnutsill/config/jsonobjectreader.h"

#include <boost/json.hpp>

#include <set>

namespace chestnutsill {

namespace {

namespace json = boost::json;

constexpr std::int64_t MaxSlots = 10'000;
constexpr std::int64_t MaxLatencyMs = 600'000;
/// Limit of the version, monthly requests and tokens per request.
constexpr std::int64_t MaxCount = 1'000'000'000'000;
/// Limit of the sum of all floors, which leaves at least half of the starts to the highest tier.
constexpr double MaxFloor = 0.5;

/// Adds an error for each name that occurs more than once in a list.
class UniqueNames
{
public:
    void check(JsonObjectReader &reader, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second)
            reader.addError("name", "occurs more than once");
    }

    [[nodiscard]] bool contains(const std::string &name) const { return m_names.contains(name); }

private:
    std::set<std::string> m_names;
};

void readTiers(JsonObjectReader &document, Configuration &configuration, ValidationErrors &errors)
{
    double sum = 0;
    document.list("tiers", 1, [&](const json::value &value, const std::string &path) {
        JsonObjectReader reader(value, path, errors);
        Tier tier;
        tier.name = reader.name("name");
        tier.floor = reader.number("floor", 0, MaxFloor);
        reader.rejectUnknownFields();
        sum += tier.floor;
        configuration.tiers.push_back(tier);
    });
    if (configuration.tiers.size() > static_cast<std::size_t>(TierCount))
        document.addError("tiers", "must have at most 4 entries");
    if (sum > MaxFloor)
        document.addError("tiers", "the sum of floors must not exceed 0.5");
}

void readAccounts(JsonObjectReader &document, Configuration &configuration, ValidationErrors &errors)
{
    UniqueNames names;
    document.list("accounts", 1, [&](const json::value &value, const std::string &path) {
        JsonObjectReader reader(value, path, errors);
        configuration.accounts.push_back(reader.name("name"));
        names.check(reader, configuration.accounts.back());
        reader.rejectUnknownFields();
    });
}

UniqueNames readZones(JsonObjectReader &document, Configuration &configuration, ValidationErrors &errors)
{
    UniqueNames names;
    document.list("zones", 1, [&](const json::value &value, const std::string &path) {
        JsonObjectReader reader(value, path, errors);
        Zone zone;
        zone.name = reader.name("name");
        zone.out = reader.flag("out");
        names.check(reader, zone.name);
        reader.rejectUnknownFields();
        configuration.zones.push_back(zone);
    });
    return names;
}

void readUpstreams(JsonObjectReader &document, Configuration &configuration, const UniqueNames &zones,
                   ValidationErrors &errors)
{
    UniqueNames names;
    document.list("upstreams", 1, [&](const json::value &value, const std::string &path) {
        JsonObjectReader reader(value, path, errors);
        Upstream upstream;
        upstream.name = reader.name("name");
        names.check(reader, upstream.name);
        upstream.address = reader.address("address");
        upstream.zone = reader.name("zone");
        if (!upstream.zone.empty() && !zones.contains(upstream.zone))
            reader.addError("zone", "is not a zone of this document");
        upstream.model = reader.name("model");
        upstream.slots = static_cast<int>(reader.integer("slots", 1, MaxSlots));
        upstream.coldSlots = static_cast<int>(reader.integer("coldSlots", 1, MaxSlots));
        if (upstream.coldSlots > upstream.slots)
            reader.addError("coldSlots", "must not exceed slots");
        upstream.out = reader.flag("out");
        reader.rejectUnknownFields();
        configuration.upstreams.push_back(upstream);
    });
}

RequestClass readClass(JsonObjectReader &reader, const Configuration &configuration)
{
    RequestClass item;
    item.name = reader.name("name");
    item.tier = static_cast<int>(reader.integer("tier", 0, TierCount - 1));
    if (static_cast<std::size_t>(item.tier) >= configuration.tiers.size())
        reader.addError("tier", "is not a tier of this document");
    item.model = reader.name("model");
    item.firstTokenTarget = milliseconds(reader.integer("firstTokenMs", 1, MaxLatencyMs));
    item.deadline = milliseconds(reader.integer("deadlineMs", 1, MaxLatencyMs));
    if (item.deadline < item.firstTokenTarget)
        reader.addError("deadlineMs", "must not be below firstTokenMs");
    item.repeatable = reader.flag("repeatable");
    item.monthlyRequests = static_cast<std::uint64_t>(reader.integer("monthlyRequests", 0, MaxCount));
    item.tokensPerRequest = static_cast<std::uint64_t>(reader.integer("tokensPerRequest", 0, MaxCount));
    return item;
}

bool hasModel(const Configuration &configuration, const std::string &model)
{
    for (const Upstream &upstream : configuration.upstreams) {
        if (upstream.model == model)
            return true;
    }
    return false;
}

void readClasses(JsonObjectReader &document, Configuration &configuration, ValidationErrors &errors)
{
    UniqueNames names;
    document.list("classes", 1, [&](const json::value &value, const std::string &path) {
        JsonObjectReader reader(value, path, errors);
        configuration.classes.push_back(readClass(reader, configuration));
        const RequestClass &item = configuration.classes.back();
        names.check(reader, item.name);
        if (!item.model.empty() && !hasModel(configuration, item.model))
            reader.addError("model", "is not served by any upstream of this document");
        reader.rejectUnknownFields();
    });
}

json::array classesToJson(const Configuration &configuration)
{
    json::array classes;
    for (const RequestClass &item : configuration.classes) {
        classes.push_back({{"name", item.name},
                           {"tier", item.tier},
                           {"model", item.model},
                           {"firstTokenMs", item.firstTokenTarget.count()},
                           {"deadlineMs", item.deadline.count()},
                           {"repeatable", item.repeatable},
                           {"monthlyRequests", item.monthlyRequests},
                           {"tokensPerRequest", item.tokensPerRequest}});
    }
    return classes;
}

json::array upstreamsToJson(const Configuration &configuration)
{
    json::array upstreams;
    for (const Upstream &item : configuration.upstreams) {
        upstreams.push_back({{"name", item.name},
                             {"address", item.address},
                             {"zone", item.zone},
                             {"model", item.model},
                             {"slots", item.slots},
                             {"coldSlots", item.coldSlots},
                             {"out", item.out}});
    }
    return upstreams;
}

template<typename Item>
bool setOutOfService(std::vector<Item> &items, std::string_view name, bool out)
{
    for (Item &item : items) {
        if (item.name != name)
            continue;
        item.out = out;
        return true;
    }
    return false;
}

} // namespace

std::optional<Configuration> parseConfiguration(std::string_view text, ValidationErrors &errors)
{
    const std::size_t before = errors.size();
    const json::value value = parseJson(text, errors);
    if (errors.size() > before)
        return std::nullopt;
    Configuration configuration;
    JsonObjectReader document(value, "", errors);
    configuration.version = static_cast<std::uint64_t>(document.integer("version", 1, MaxCount));
    configuration.deployment = document.name("deployment");
    readTiers(document, configuration, errors);
    readAccounts(document, configuration, errors);
    const UniqueNames zones = readZones(document, configuration, errors);
    readUpstreams(document, configuration, zones, errors);
    readClasses(document, configuration, errors);
    document.rejectUnknownFields();
    if (errors.size() > before)
        return std::nullopt;
    return configuration;
}

std::string writeConfiguration(const Configuration &configuration)
{
    json::array tiers;
    for (const Tier &tier : configuration.tiers)
        tiers.push_back({{"name", tier.name}, {"floor", tier.floor}});
    json::array accounts;
    for (const std::string &account : configuration.accounts)
        accounts.push_back(json::object{{"name", account}});
    json::array zones;
    for (const Zone &zone : configuration.zones)
        zones.push_back({{"name", zone.name}, {"out", zone.out}});
    const json::value document = {{"version", configuration.version},
                                  {"deployment", configuration.deployment},
                                  {"tiers", std::move(tiers)},
                                  {"accounts", std::move(accounts)},
                                  {"zones", std::move(zones)},
                                  {"upstreams", upstreamsToJson(configuration)},
                                  {"classes", classesToJson(configuration)}};
    return json::serialize(document);
}

std::optional<Configuration> withZoneOutOfService(Configuration base, std::string_view zone, bool out)
{
    if (!setOutOfService(base.zones, zone, out))
        return std::nullopt;
    ++base.version;
    return base;
}

std::optional<Configuration> withUpstreamOutOfService(Configuration base, std::string_view upstream, bool out)
{
    if (!setOutOfService(base.upstreams, upstream, out))
        return std::nullopt;
    ++base.version;
    return base;
}

} // namespace chestnutsill
