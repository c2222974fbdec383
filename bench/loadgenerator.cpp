#include "loadgenerator.h"

#include "chestnutsill/net/httpclient.h"
#include "chestnutsill/policy/hash.h"

#include <boost/json.hpp>

#include <algorithm>
#include <thread>

namespace chestnutsill::bench {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds ConnectTimeout{400};
constexpr milliseconds AnswerTimeout{30000};
constexpr milliseconds RefreshPeriod{1000};
constexpr int MaxConnectAttempts = 3;

std::int64_t countEvents(std::string_view text)
{
    std::int64_t count = 0;
    for (std::size_t at = 0; (at = text.find("data: {\"id\"", at)) != std::string_view::npos; ++at)
        ++count;
    return count;
}

} // namespace

LoadGenerator::LoadGenerator(const Deployment &deployment, std::vector<std::string> addresses, bool baseline,
                             std::uint64_t seed)
    : m_deployment(deployment)
    , m_seeds(std::move(addresses))
    , m_baseline(baseline)
    , m_random(seed)
    , m_io(1)
    , m_seed(seed)
{
    for (const std::string &address : m_seeds)
        m_addresses.push_back({address, {}});
}

double LoadGenerator::elapsed() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
}

void LoadGenerator::refreshAddresses(const Fiber &fiber)
{
    std::uniform_int_distribution<std::size_t> any(0, m_seeds.size() - 1);
    std::string reason;
    const auto response =
        fetch(m_seeds[any(m_random)], {.target = "/v1/addresses"}, milliseconds(1000), fiber, reason);
    if (!response || response->head.status != 200)
        return;
    std::vector<Address> addresses;
    const json::value answer = json::parse(response->body);
    for (const json::value &item : answer.at("instances").as_array()) {
        addresses.push_back({std::string(item.at("address").as_string()),
                             std::string(item.at("requestIdPrefix").as_string())});
    }
    if (!addresses.empty())
        m_addresses = std::move(addresses);
}

Outcomes LoadGenerator::run(double duration, const LoadShape &shape,
                            const std::vector<std::pair<double, std::function<void()>>> &events)
{
    m_start = std::chrono::steady_clock::now();
    for (const ClassLoad &load : m_deployment.classes) {
        m_outcomes[load.requestClass];
        startFiber(m_io,
                   [&, duration](const Fiber &fiber) { generateArrivals(load, duration, shape, fiber); });
    }
    if (!m_baseline) {
        startFiber(m_io, [this, duration](const Fiber &fiber) {
            while (elapsed() < duration) {
                refreshAddresses(fiber);
                sleepFor(RefreshPeriod, fiber);
            }
        });
    }
    std::thread timeline([&] {
        for (const auto &[second, event] : events) {
            std::this_thread::sleep_until(m_start + std::chrono::duration<double>(second));
            event();
        }
    });
    m_io.run();
    timeline.join();
    return m_outcomes;
}

void LoadGenerator::generateArrivals(const ClassLoad &load, double duration, const LoadShape &shape,
                                     const Fiber &fiber)
{
    // Arrivals depend only on the seed and the class, so that the daemon and the baseline get the same load.
    std::mt19937_64 random(stableHash(load.requestClass, m_seed));
    double next = 0;
    for (;;) {
        const double rate = load.rate * shape.factor(load.requestClass, next);
        next += std::exponential_distribution<double>(rate)(random);
        if (next >= duration)
            return;
        const double wait = next - elapsed();
        if (wait > 0)
            sleepFor(milliseconds(static_cast<int>(wait * 1000)), fiber);
        const bool large = std::uniform_real_distribution<double>(0, 1)(random) < shape.largeAccountShare;
        const int account = large ? 0 : std::uniform_int_distribution<int>(1, 9)(random);
        const std::string content =
            load.requestClass + '-' + std::to_string(m_outcomes[load.requestClass].offered++);
        startFiber(m_io, [this, &load, account, content](const Fiber &sending) {
            send(load, "account-" + std::to_string(account), content, sending);
        });
    }
}

void LoadGenerator::send(const ClassLoad &load, const std::string &account, const std::string &content,
                         const Fiber &fiber)
{
    ClassOutcome &outcome = m_outcomes[load.requestClass];
    const RequestClass *item = nullptr;
    for (const RequestClass &candidate : m_deployment.requestClasses) {
        if (candidate.name == load.requestClass)
            item = &candidate;
    }
    const auto arrived = std::chrono::steady_clock::now();
    const std::string body = R"({"model":")" + item->model + R"(","stream":)"
                             + (load.stream ? "true" : "false") + R"(,"messages":[{"role":"user","content":")"
                             + std::to_string(m_seed) + '-' + content + R"("}]})";
    HttpClient client;
    Address address;
    bool connected = false;
    for (int attempts = 0; attempts < MaxConnectAttempts && !connected; ++attempts) {
        std::uniform_int_distribution<std::size_t> any(0, m_addresses.size() - 1);
        address = m_addresses[any(m_random)];
        connected = client.connect(address.address, ConnectTimeout, fiber);
    }
    std::vector<HttpField> fields{{"chestnutsill-account", account},
                                  {"chestnutsill-class", load.requestClass},
                                  {"content-type", "application/json"}};
    const std::string nonce = "bench-" + std::to_string(m_seed) + '-' + content;
    if (!item->repeatable)
        fields.push_back({"chestnutsill-request-id", address.requestIdPrefix + nonce});
    if (!connected || !client.send({"POST", load.target, fields, body}, AnswerTimeout, fiber)) {
        ++outcome.failed;
        return;
    }
    const auto head = client.readHead(AnswerTimeout, fiber);
    std::string text;
    double firstTokenMs = 0;
    bool complete = false;
    while (head) {
        const auto piece = client.readPiece(AnswerTimeout, fiber);
        if (!piece)
            break;
        if (text.empty())
            firstTokenMs =
                std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - arrived).count();
        text += *piece;
        complete = piece->empty();
        if (complete)
            break;
    }
    const bool terminated = !load.stream || text.find("data: [DONE]") != std::string::npos;
    if (complete && head->status == 200 && terminated) {
        ++outcome.answered;
        outcome.tokens += countEvents(text);
        outcome.firstTokenMs.push_back(firstTokenMs);
        if (firstTokenMs <= static_cast<double>(item->firstTokenTarget.count())) {
            ++outcome.attained;
            outcome.tokensInTime += countEvents(text);
        }
    } else if (head && head->field("chestnutsill-verdict") == "not-run") {
        ++outcome.refused;
    } else {
        ++outcome.failed;
    }
}

} // namespace chestnutsill::bench
