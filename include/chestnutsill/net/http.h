#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutsill {

/// One HTTP header field.
struct HttpField
{
    std::string name;
    std::string value;
};

/// Whether two texts are the same but for the case of their letters, as names of header fields are compared.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept;

/// Why a request could not be read as a whole.
struct HttpError
{
    /// HTTP status code to answer with.
    int status = 400;
    std::string reason;
    /// Part of the request at fault, for example `body`.
    std::string field;
    std::string message;
};

/// A request as read from a caller.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<HttpField> fields;
    std::string body;
    /// Set when the request is not whole; the other members hold what was read.
    std::optional<HttpError> error;

    /// Value of a header field, or an empty text. Names are compared without regard to case.
    [[nodiscard]] std::string_view field(std::string_view name) const noexcept;
};

/// Status and fields of a response.
struct HttpHead
{
    int status = 0;
    std::vector<HttpField> fields;
    /// Length of the body, if the response states it.
    std::optional<std::uint64_t> length;
    /// Whether the connection can be used again after the body.
    bool keepAlive = false;

    /// Value of a header field, or an empty text.
    [[nodiscard]] std::string_view field(std::string_view name) const noexcept;
};

/// A whole response.
struct HttpResponse
{
    HttpHead head;
    std::string body;
};

} // namespace chestnutsill
