#include "chestnutsill/config/tablecheck.h"

#include "changes.h"
#include "chestnutsill/config/tabledocument.h"

#include <map>
#include <set>

namespace chestnutsill {

namespace {

using RouteEntry = TableDocument::RouteEntry;

/// Collects errors and warnings.
class FaultList
{
public:
    void error(std::string path, std::string message)
    {
        m_findings.push_back({Severity::Error, std::move(path), std::move(message)});
    }

    void warning(std::string path, std::string message)
    {
        m_findings.push_back({Severity::Warning, std::move(path), std::move(message)});
    }

    [[nodiscard]] Findings take() { return std::move(m_findings); }

private:
    Findings m_findings;
};

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &letter : lower)
        letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    return lower;
}

/// What a request is matched by: host and path prefix.
using MatchKey = std::pair<std::string, std::string>;

MatchKey matchKeyOf(const Route &route)
{
    return {lowerCase(route.host), route.pathPrefix};
}

/// Path of a service of a route, which the document names in the route or in its list of weights.
std::string servicePath(const RouteEntry &entry, std::size_t route, std::size_t service)
{
    const std::string path = entryPath("routes", route);
    return entry.isSplit ? entryPath(path + ".services", service) + ".service" : path + ".service";
}

bool isAtMostOnce(const Route &route)
{
    return route.kind == RouteKind::AtMostOnce || (route.kind == RouteKind::Streaming && !route.resumable);
}

/// Host and path prefix that no request has, because a request's host is compared without its port and its
/// path without the query.
void checkMatch(FaultList &faults, const Route &route, const std::string &path)
{
    if (route.host.find(':') != std::string::npos)
        faults.error(path + ".host", "never matches: hosts are compared without their port");
    if (!route.pathPrefix.starts_with('/'))
        faults.error(path + ".pathPrefix", "never matches: it must start with a slash");
    else if (route.pathPrefix.find_first_of("?#") != std::string::npos)
        faults.error(path + ".pathPrefix", "never matches: paths are compared without query and fragment");
    else if (!route.pathPrefix.ends_with('/'))
        faults.warning(path + ".pathPrefix",
                       "does not end with a slash, and also matches longer names that begin with it");
}

void checkTimes(FaultList &faults, const Route &route, const std::string &path)
{
    const std::string timeout = std::to_string(route.timeout.count()) + " ms";
    if (route.timeout <= milliseconds(0))
        faults.error(path + ".timeout", "leaves no time: every request misses its deadline");
    else if (route.target > route.timeout)
        faults.warning(path + ".target", "is above the timeout of " + timeout);
    if (route.timeout > milliseconds(0) && route.gapTarget > route.timeout)
        faults.warning(path + ".gapTarget", "is above the timeout of " + timeout);
    if (route.kind != RouteKind::Streaming && route.gapTarget > milliseconds(0))
        faults.warning(path + ".gapTarget", "has no effect: the route has no events");
}

void checkAttempts(FaultList &faults, const Route &route, const std::string &path)
{
    if (route.maxAttempts > 1 && isAtMostOnce(route))
        faults.warning(path + ".maxAttempts", "must be 1: requests of this route run at most once");
    if (route.kind != RouteKind::Streaming && route.resumable)
        faults.warning(path + ".resumable", "has no effect: the route has no events");
}

void checkServicesOf(FaultList &faults, const RouteEntry &entry, std::size_t index,
                     const std::set<std::string, std::less<>> &defined)
{
    const auto &services = entry.route.services;
    const bool hasWeight =
        std::any_of(services.begin(), services.end(), [](const auto &part) { return part.weight > 0; });
    if (!hasWeight)
        faults.warning(entryPath("routes", index) + ".services",
                       "no weight is above 0: all requests go to the first service");
    std::set<std::string_view> named;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const std::string path = servicePath(entry, index, i);
        if (!defined.contains(services[i].service))
            faults.error(path, "service " + quoted(services[i].service) + " is not defined");
        if (hasWeight && services[i].weight == 0)
            faults.warning(path, "gets no requests: its weight is 0");
        if (!named.insert(services[i].service).second)
            faults.warning(path, "occurs more than once in this route");
    }
}

void checkRoutes(FaultList &faults, const TableDocument &table)
{
    std::set<std::string, std::less<>> services;
    for (const auto &entry : table.services)
        services.insert(entry.name);
    std::map<MatchKey, std::string> matched;
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        const Route &route = table.routes[i].route;
        const std::string path = entryPath("routes", i);
        const auto [first, isNew] = matched.emplace(matchKeyOf(route), path);
        if (!isNew)
            faults.error(path + ".pathPrefix",
                         "never matches: " + first->second + " has the same host and path prefix");
        if (!names.insert(route.name).second)
            faults.warning(path + ".name", "occurs more than once; metrics and learnt times of both are one");
        checkMatch(faults, route, path);
        checkTimes(faults, route, path);
        checkAttempts(faults, route, path);
        checkServicesOf(faults, table.routes[i], i, services);
        if (!route.anonymous && table.accounts.empty())
            faults.warning(path + ".anonymous",
                           "has no effect: the table has no accounts, and no caller needs a key");
    }
}

void checkServices(FaultList &faults, const TableDocument &table)
{
    std::set<std::string_view> used;
    for (const RouteEntry &entry : table.routes) {
        for (const WeightedService &part : entry.route.services)
            used.insert(part.service);
    }
    std::map<std::string_view, std::size_t> last;
    for (std::size_t i = 0; i < table.services.size(); ++i)
        last[table.services[i].name] = i;
    for (std::size_t i = 0; i < table.services.size(); ++i) {
        const auto &[name, service] = table.services[i];
        const std::string path = entryPath("services", i);
        if (last[name] != i)
            faults.error(path + ".name",
                         "has no effect: " + entryPath("services", last[name]) + " has the same name");
        else if (!used.contains(name))
            faults.warning(path + ".name", "no route uses the service");
        if (service.coldStart > milliseconds(0) && service.coldPerSecond <= 0)
            faults.warning(path + ".coldPerSecond",
                           "must be above 0, or upstreams get no requests during their cold start");
    }
}

void checkAccounts(FaultList &faults, const TableDocument &table)
{
    std::map<std::string_view, std::size_t> last;
    for (std::size_t i = 0; i < table.accounts.size(); ++i) {
        for (const std::string &key : table.accounts[i].keys)
            last[key] = i;
    }
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < table.accounts.size(); ++i) {
        const TableDocument::AccountEntry &entry = table.accounts[i];
        const std::string path = entryPath("accounts", i);
        if (!names.insert(entry.account.name).second)
            faults.warning(path + ".name", "occurs more than once; both share limits and metrics");
        if (entry.ignoredKeys > 0)
            faults.error(path + ".keys", "keys that are no strings are ignored");
        if (entry.keys.empty() && entry.ignoredKeys == 0)
            faults.warning(path + ".keys", "the account has no key, and no request is of it");
        std::set<std::string_view> own;
        for (std::size_t j = 0; j < entry.keys.size(); ++j) {
            const std::string &key = entry.keys[j];
            const std::string keyPath = entryPath(path + ".keys", j);
            if (key.empty())
                faults.error(keyPath, "is empty, and would accept callers without a key");
            if (last[key] != i)
                faults.error(keyPath, "has no effect: account "
                                          + quoted(table.accounts[last[key]].account.name)
                                          + " holds the same key");
            else if (!own.insert(key).second)
                faults.warning(keyPath, "occurs more than once in this account");
        }
    }
}

void checkLimits(FaultList &faults, const CallerLimits &limits)
{
    if (limits.headTimeout <= milliseconds(0))
        faults.error("limits.headTimeout", "leaves no time for the head of a request");
    if (limits.idleTimeout <= milliseconds(0))
        faults.warning("limits.idleTimeout", "leaves no time between two requests of a connection");
}

/// Index of the first route for each host and path prefix; further ones never match.
std::map<MatchKey, std::size_t> effectiveRoutes(const TableDocument &table)
{
    std::map<MatchKey, std::size_t> routes;
    for (std::size_t i = 0; i < table.routes.size(); ++i)
        routes.emplace(matchKeyOf(table.routes[i].route), i);
    return routes;
}

std::string describe(const Route &route)
{
    return quoted(route.name) + " (" + route.host + route.pathPrefix + ')';
}

/// Weights by service; a route that names a single service gives it all requests.
std::map<std::string, std::uint64_t> weightsOf(const Route &route)
{
    std::map<std::string, std::uint64_t> weights;
    for (const WeightedService &part : route.services)
        weights[part.service] += static_cast<std::uint64_t>(std::max(part.weight, 0));
    return weights;
}

std::string describeServices(const Route &route)
{
    const auto weights = weightsOf(route);
    std::string text;
    for (const auto &[service, weight] : weights) {
        text += (text.empty() ? "" : ", ") + quoted(service);
        if (weights.size() > 1)
            text += " with weight " + std::to_string(weight);
    }
    return text;
}

std::string_view nameOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::AtMostOnce:
        return "at-most-once";
    case RouteKind::Streaming:
        return "streaming";
    }
    return "unknown";
}

void compareRoute(Changes &changes, const RouteEntry &formerEntry, const RouteEntry &entry, std::size_t index,
                  bool needsKey)
{
    const Route &former = formerEntry.route;
    const Route &route = entry.route;
    const std::string path = entryPath("routes", index);
    if (weightsOf(former) != weightsOf(route))
        changes.add(Notice::ServiceChanged, entry.isSplit ? path + ".services" : path + ".service",
                    "requests go to " + describeServices(route) + " instead of " + describeServices(former));
    changes.compare(Notice::ServiceChanged, path + ".kind", nameOf(former.kind), nameOf(route.kind));
    changes.compare(Notice::ServiceChanged, path + ".resumable", former.resumable, route.resumable);
    if (needsKey && former.anonymous && !route.anonymous)
        changes.add(Notice::KeyRemoved, path + ".anonymous", "callers without a key are refused");
    else
        changes.compare(Notice::Other, path + ".anonymous", former.anonymous, route.anonymous);
    changes.compareLimit(path + ".timeout", former.timeout, route.timeout);
    changes.compare(Notice::Other, path + ".maxAttempts", former.maxAttempts, route.maxAttempts);
    changes.compare(Notice::Other, path + ".target", former.target, route.target);
    changes.compare(Notice::Other, path + ".gapTarget", former.gapTarget, route.gapTarget);
    changes.compare(Notice::Other, path + ".tier", former.tier, route.tier);
    changes.compare(Notice::Other, path + ".name", former.name, route.name);
}

void compareRoutes(Changes &changes, const TableDocument &inForce, const TableDocument &next)
{
    const RoutingTable formerTable = toRoutingTable(inForce);
    const RoutingTable table = toRoutingTable(next);
    const auto formerRoutes = effectiveRoutes(inForce);
    const auto routes = effectiveRoutes(next);
    for (const auto &[key, index] : formerRoutes) {
        const Route &former = inForce.routes[index].route;
        if (routes.contains(key))
            continue;
        const Route *other = findRoute(table, former.host, former.pathPrefix);
        changes.add(Notice::RouteRemoved, formerPath("routes", index),
                    "route " + describe(former) + " is removed; its requests "
                        + (other == nullptr ? "are refused" : "go to route " + describe(*other)));
    }
    for (const auto &[key, index] : routes) {
        const RouteEntry &entry = next.routes[index];
        const auto former = formerRoutes.find(key);
        if (former != formerRoutes.end()) {
            compareRoute(changes, inForce.routes[former->second], entry, index, !next.accounts.empty());
            continue;
        }
        const Route *other = findRoute(formerTable, entry.route.host, entry.route.pathPrefix);
        const std::string source =
            other == nullptr ? "" : "; it takes requests from route " + describe(*other);
        changes.add(other == nullptr ? Notice::Other : Notice::ServiceChanged, entryPath("routes", index),
                    "route " + describe(entry.route) + " is added" + source);
    }
}

/// Index of the account that each key belongs to.
std::map<std::string_view, std::size_t> accountsByKey(const TableDocument &table)
{
    std::map<std::string_view, std::size_t> accounts;
    for (std::size_t i = 0; i < table.accounts.size(); ++i) {
        for (const std::string &key : table.accounts[i].keys)
            accounts[key] = i;
    }
    return accounts;
}

std::string countOf(std::size_t count, std::string_view noun)
{
    return std::to_string(count) + ' ' + std::string(noun) + (count == 1 ? "" : "s");
}

void compareKeys(Changes &changes, const TableDocument &inForce, const TableDocument &next)
{
    const auto formerKeys = accountsByKey(inForce);
    const auto keys = accountsByKey(next);
    std::map<std::size_t, std::size_t> removed;
    std::map<std::size_t, std::size_t> added;
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> moved;
    for (const auto &[key, account] : formerKeys) {
        const auto found = keys.find(key);
        if (found == keys.end())
            ++removed[account];
        else if (inForce.accounts[account].account.name != next.accounts[found->second].account.name)
            ++moved[{account, found->second}];
    }
    for (const auto &[key, account] : keys)
        added[account] += formerKeys.contains(key) ? 0 : 1;
    const auto nameOf = [](const TableDocument &table, std::size_t index) {
        return quoted(table.accounts[index].account.name);
    };
    for (const auto &[account, count] : removed)
        changes.add(Notice::KeyRemoved, formerPath("accounts", account) + ".keys",
                    countOf(count, "key") + " of account " + nameOf(inForce, account)
                        + (count == 1 ? " is removed" : " are removed"));
    for (const auto &[accounts, count] : moved)
        changes.add(Notice::KeyRemoved, entryPath("accounts", accounts.second) + ".keys",
                    countOf(count, "key") + " of account " + nameOf(inForce, accounts.first)
                        + (count == 1 ? " becomes one" : " become keys") + " of account "
                        + nameOf(next, accounts.second));
    for (const auto &[account, count] : added) {
        if (count > 0)
            changes.add(Notice::Other, entryPath("accounts", account) + ".keys",
                        countOf(count, "key") + " of account " + nameOf(next, account)
                            + (count == 1 ? " is added" : " are added"));
    }
}

void compareAccounts(Changes &changes, const TableDocument &inForce, const TableDocument &next)
{
    if (inForce.accounts.empty() && !next.accounts.empty())
        changes.add(Notice::KeyRemoved, "accounts", "callers without a key are refused");
    if (!inForce.accounts.empty() && next.accounts.empty())
        changes.add(Notice::KeyRemoved, "accounts", "no caller needs a key any more");
    compareKeys(changes, inForce, next);
    std::map<std::string_view, std::size_t> former;
    for (std::size_t i = 0; i < inForce.accounts.size(); ++i)
        former.emplace(inForce.accounts[i].account.name, i);
    constexpr int NoTier = -1;
    for (std::size_t i = 0; i < next.accounts.size(); ++i) {
        const ClientAccount &account = next.accounts[i].account;
        if (const auto found = former.find(account.name); found != former.end())
            changes.compare(Notice::Other, entryPath("accounts", i) + ".tier",
                            inForce.accounts[found->second].account.tier.value_or(NoTier),
                            account.tier.value_or(NoTier));
    }
}

void compareService(Changes &changes, const std::string &path, const Service &former, const Service &service)
{
    changes.compare(Notice::Other, path + ".healthPath", former.healthPath, service.healthPath);
    changes.compare(Notice::Other, path + ".maxConnections", former.maxConnections, service.maxConnections);
    changes.compare(Notice::Other, path + ".coldStart", former.coldStart, service.coldStart);
    changes.compare(Notice::Other, path + ".coldPerSecond", former.coldPerSecond, service.coldPerSecond);
    if (former.engine.has_value() != service.engine.has_value()) {
        changes.add(Notice::Other, path + ".engine",
                    service.engine ? "its upstreams become model engines"
                                   : "its upstreams are model engines no longer");
        return;
    }
    if (!service.engine)
        return;
    changes.compare(Notice::Other, path + ".engine.cacheTokens", former.engine->cacheTokens,
                    service.engine->cacheTokens);
    changes.compare(Notice::Other, path + ".engine.fetchTokensPerMs", former.engine->fetchTokensPerMs,
                    service.engine->fetchTokensPerMs);
}

void compareServices(Changes &changes, const TableDocument &inForce, const TableDocument &next)
{
    std::map<std::string_view, std::size_t> former;
    for (std::size_t i = 0; i < inForce.services.size(); ++i)
        former[inForce.services[i].name] = i;
    std::map<std::string_view, std::size_t> services;
    for (std::size_t i = 0; i < next.services.size(); ++i)
        services[next.services[i].name] = i;
    for (const auto &[name, index] : former) {
        if (!services.contains(name))
            changes.add(Notice::Other, formerPath("services", index),
                        "service " + quoted(name) + " is removed");
    }
    for (const auto &[name, index] : services) {
        const std::string path = entryPath("services", index);
        const auto found = former.find(name);
        if (found == former.end())
            changes.add(Notice::Other, path, "service " + quoted(name) + " is added");
        else
            compareService(changes, path, inForce.services[found->second].service,
                           next.services[index].service);
    }
}

} // namespace

Findings checkTable(const TableDocument &table)
{
    FaultList faults;
    checkRoutes(faults, table);
    checkServices(faults, table);
    checkAccounts(faults, table);
    checkLimits(faults, table.limits);
    return faults.take();
}

Findings tableDifferences(const TableDocument &inForce, const TableDocument &next)
{
    Changes changes;
    compareRoutes(changes, inForce, next);
    compareAccounts(changes, inForce, next);
    compareServices(changes, inForce, next);
    changes.compareLimit("limits.maxHead", inForce.limits.maxHead, next.limits.maxHead);
    changes.compareLimit("limits.maxBody", inForce.limits.maxBody, next.limits.maxBody);
    changes.compareLimit("limits.headTimeout", inForce.limits.headTimeout, next.limits.headTimeout);
    changes.compareLimit("limits.idleTimeout", inForce.limits.idleTimeout, next.limits.idleTimeout);
    return withVersionCheck(changes, inForce.version, next.version);
}

} // namespace chestnutsill
