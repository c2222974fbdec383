#include "standin.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <deque>
#include <list>
#include <tuple>

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

std::string encodeBase64(std::string text)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string encoded(Encoder(text.cbegin()), Encoder(text.cend()));
    encoded.append((3 - text.size() % 3) % 3, '=');
    return encoded;
}

std::string withEscapedBytes(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x80)
            escaped += character;
        else
            escaped += std::string("\\udc") + Digits[byte >> 4] + Digits[byte & 0xF];
    }
    return escaped;
}

/// Value of a field of a target's query, decoded; empty if there is none.
std::string query(const std::string &target, const std::string &name)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return {};
    const auto params = url->params();
    const auto field = params.find(name);
    return field == params.end() ? std::string() : (*field).value;
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::string text = query(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

/// Stand-in for the platform's store as instances read it, with paged ranges, long-polling watches and a
/// history that can be dropped. Operators and upstreams write with PUT and DELETE /item?key=KEY. Commands to
/// /control have the fields `mode` (pass, refuse, silent), `dropHistory`, `copy` (keeps a copy of all items),
/// `restore` (returns to the copy, so that later revisions are given out again), `pageItems` and `pageBytes`
/// (items and bytes of values after which a page ends), and `escapeBytes` (responses have the code point
/// U+DC00 + byte, half of a surrogate pair, for each byte that is not ASCII). Options: listen, page (items
/// per page).
class Store
{
public:
    Store(boost::asio::io_context &io, const Options &options)
        : m_page(static_cast<std::size_t>(number(options, "page", 5)))
        , m_server(io, options.at("listen"), HttpLimits{},
                   [this](Exchange &exchange, const Fiber &fiber) { handle(exchange, fiber); })
    {}

private:
    struct Item
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    static json::object describe(const Item &item)
    {
        if (item.deleted)
            return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
        return {{"key", item.key},
                {"value", encodeBase64(item.value)},
                {"revision", item.revision},
                {"created", item.revision},
                {"lease", 0}};
    }

    void handle(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        if (request.target == "/control")
            return control(exchange, fiber);
        if (request.target == "/stats")
            return respondJson(exchange, 200, json::object{{"calls", m_calls}}, fiber);
        if (request.target.starts_with("/item"))
            return write(exchange, fiber);
        ++m_calls;
        if (m_mode == "refuse")
            return answer(exchange, 503, json::object{}, fiber);
        if (m_mode == "silent")
            return sleepFor(std::chrono::seconds(30), fiber);
        if (request.target.starts_with("/api/kv-range"))
            range(exchange, fiber);
        else if (request.target.starts_with("/api/kv-watch"))
            watch(exchange, fiber);
        else
            respondJson(exchange, 404, json::object{}, fiber);
    }

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        if (const auto *mode = command.if_contains("mode"))
            m_mode = json::value_to<std::string>(*mode);
        if (const auto *odd = command.if_contains("oddItems"))
            m_oddItems = odd->as_array();
        if (const auto *items = command.if_contains("pageItems"))
            m_page = json::value_to<std::size_t>(*items);
        if (const auto *bytes = command.if_contains("pageBytes"))
            m_pageBytes = json::value_to<std::size_t>(*bytes);
        if (command.contains("escapeBytes"))
            m_escapesBytes = flag(command, "escapeBytes");
        if (flag(command, "dropHistory")) {
            m_history.clear();
            m_historyStart = m_revision;
        }
        if (flag(command, "copy"))
            m_copy = {m_items, m_history, m_historyStart, m_revision};
        if (flag(command, "restore"))
            restore();
        respondJson(exchange, 200, json::object{{"ok", true}}, fiber);
    }

    void restore()
    {
        std::tie(m_items, m_history, m_historyStart, m_revision) = m_copy;
        ++m_era;
        for (boost::asio::steady_timer *timer : m_waiting)
            timer->cancel();
    }

    /// Answers with the number of restorations, which all responses of the store state.
    void answer(Exchange &exchange, int status, const json::value &value, const Fiber &fiber) const
    {
        std::string body = json::serialize(value);
        if (m_escapesBytes)
            body = withEscapedBytes(body);
        exchange.respond(status, "application/json", body + '\n',
                         std::vector<HttpField>{{"Store-Era", std::to_string(m_era)}}, fiber);
    }

    void write(Exchange &exchange, const Fiber &fiber)
    {
        const HttpRequest &request = exchange.request();
        Item item{query(request.target, "key"), request.body, ++m_revision, request.method == "DELETE"};
        if (item.deleted)
            m_items.erase(item.key);
        else
            m_items[item.key] = item;
        m_history.push_back(std::move(item));
        for (boost::asio::steady_timer *timer : m_waiting)
            timer->cancel();
        respondJson(exchange, 200, json::object{{"revision", m_revision}}, fiber);
    }

    void range(Exchange &exchange, const Fiber &fiber)
    {
        const std::string &target = exchange.request().target;
        const std::string prefix = query(target, "path_prefix");
        json::array items = m_oddItems;
        bool more = false;
        std::size_t bytes = 0;
        for (auto item = m_items.upper_bound(query(target, "after")); item != m_items.end(); ++item) {
            if (!item->first.starts_with(prefix))
                continue;
            more = items.size() == m_page + m_oddItems.size() || bytes >= m_pageBytes;
            if (more)
                break;
            items.push_back(describe(item->second));
            bytes += item->second.value.size();
        }
        answer(exchange, 200,
               json::object{{"items", std::move(items)}, {"has_more", more}, {"at", m_revision}}, fiber);
    }

    void watch(Exchange &exchange, const Fiber &fiber)
    {
        const std::string &target = exchange.request().target;
        const std::uint64_t after = queryNumber(target, "after");
        const std::uint64_t era = m_era;
        if (after < m_historyStart || after > m_revision)
            return answer(exchange, 410, json::object{}, fiber);
        if (m_revision <= after) {
            boost::asio::steady_timer timer(fiber.get_executor(),
                                            milliseconds(queryNumber(target, "wait_ms")));
            const auto position = m_waiting.insert(m_waiting.end(), &timer);
            boost::system::error_code ignored;
            timer.async_wait(fiber[ignored]);
            m_waiting.erase(position);
        }
        if (m_mode != "pass" || era != m_era)
            return exchange.abort();
        const std::string prefix = query(target, "path_prefix");
        json::array events = m_oddItems;
        for (const Item &item : m_history) {
            if (item.revision > after && item.key.starts_with(prefix))
                events.push_back(describe(item));
        }
        answer(exchange, 200, json::object{{"events", std::move(events)}, {"at", m_revision}}, fiber);
    }

    /// Items, history, the revision before it, and the revision of the copy.
    using Copy = std::tuple<std::map<std::string, Item>, std::deque<Item>, std::uint64_t, std::uint64_t>;

    std::size_t m_page;
    std::size_t m_pageBytes = 1'000'000;
    bool m_escapesBytes = false;
    /// Items that all responses hold besides.
    json::array m_oddItems;
    std::map<std::string, Item> m_items;
    std::deque<Item> m_history;
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_revision = 1;
    Copy m_copy;
    std::uint64_t m_era = 1;
    std::list<boost::asio::steady_timer *> m_waiting;
    std::string m_mode = "pass";
    std::int64_t m_calls = 0;
    HttpServer m_server;
};

} // namespace

void runStore(boost::asio::io_context &io, const Options &options)
{
    const Store store(io, options);
    io.run();
}

} // namespace chestnutsill::standin
