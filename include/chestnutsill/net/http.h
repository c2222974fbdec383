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

/// Compares two strings without regard to ASCII case, as for names of header fields.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept;

/// Why a request could not be read completely.
struct HttpError
{
    /// HTTP status code of the response.
    int status = 400;
    /// Machine-readable code of the error, for example `body-too-large`.
    std::string reason;
    /// Invalid part of the request, for example `body`.
    std::string field;
    /// Explanation for people.
    std::string message;
};

/// A request as read from a caller.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<HttpField> fields;
    std::string body;
    /// Set if the request could not be read completely; the other members hold what was read.
    std::optional<HttpError> error;

    /// Value of the first header field with this name, compared without regard to case; empty if there is
    /// none.
    [[nodiscard]] std::string_view field(std::string_view name) const noexcept;
};

/// Status and fields of a response.
struct HttpHead
{
    int status = 0;
    std::vector<HttpField> fields;
    /// Length of the body in bytes, if the response states it.
    std::optional<std::uint64_t> length;
    /// Whether the connection can be reused after the body.
    bool keepAlive = false;
    /// Whether the end of the connection marks the end of the body, so that a body that was cut short looks
    /// like a complete one.
    bool endsWithConnection = false;

    /// Value of the first header field with this name, compared without regard to case; empty if there is
    /// none.
    [[nodiscard]] std::string_view field(std::string_view name) const noexcept;
};

/// A complete response.
struct HttpResponse
{
    HttpHead head;
    std::string body;
};

} // namespace chestnutsill
