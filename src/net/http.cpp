#include "chestnutsill/net/http.h"

#include "chestnutsill/net/fiber.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>

namespace chestnutsill {

namespace {

std::string_view findField(const std::vector<HttpField> &fields, std::string_view name) noexcept
{
    for (const HttpField &field : fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view HttpRequest::field(std::string_view name) const noexcept
{
    return findField(fields, name);
}

std::string_view HttpHead::field(std::string_view name) const noexcept
{
    return findField(fields, name);
}

void sleepFor(std::chrono::milliseconds time, const Fiber &fiber)
{
    boost::asio::steady_timer timer(fiber.get_executor(), time);
    boost::system::error_code ignored;
    timer.async_wait(fiber[ignored]);
}

} // namespace chestnutsill
