#include "chestnutsill/net/querytarget.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace chestnutsill {

namespace {

std::string encoded(std::string_view text)
{
    // Also encodes "+", which many servers read as a space.
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}

} // namespace

std::string queryTarget(std::string_view path, std::initializer_list<QueryField> fields)
{
    std::string target(path);
    char separator = '?';
    for (const QueryField &field : fields) {
        target += separator + encoded(field.name) + '=' + encoded(field.value);
        separator = '&';
    }
    return target;
}

} // namespace chestnutsill
