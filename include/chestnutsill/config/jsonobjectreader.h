#pragma once

#include "chestnutsill/config/validationerror.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Reads typed fields from a JSON object and collects an error for each field that is missing, has the wrong
/// type, is out of range or is unknown. An invalid field yields a default value, so that one pass finds all
/// errors of a document.
class JsonObjectReader
{
public:
    /// Reads the fields of `value`, or adds an error when it is not an object. `path` is its JSON path in
    /// errors. `value` and `errors` must outlive the reader.
    JsonObjectReader(const boost::json::value &value, std::string path, ValidationErrors &errors);

    /// A non-empty string.
    [[nodiscard]] std::string text(std::string_view field);

    /// A string that may be empty; `std::nullopt` when the field is missing or not a string.
    [[nodiscard]] std::optional<std::string> possiblyEmptyText(std::string_view field);

    /// An address of the form `ip:port`.
    [[nodiscard]] std::string address(std::string_view field);

    /// A name that is safe in request ids and log lines: letters, digits, hyphens and underscores.
    [[nodiscard]] std::string name(std::string_view field);

    /// An integer in [min, max].
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t min, std::int64_t max);

    /// A number in [min, max].
    [[nodiscard]] double number(std::string_view field, double min, double max);

    /// A duration from 0 to `max` that the document gives as an integer number of milliseconds.
    [[nodiscard]] std::chrono::milliseconds inMilliseconds(std::string_view field,
                                                           std::chrono::milliseconds max);

    /// A duration from 0 to `max` that the document gives as a number of seconds, truncated to milliseconds.
    [[nodiscard]] std::chrono::milliseconds inSeconds(std::string_view field, std::chrono::milliseconds max);

    /// A boolean; false when the field is absent.
    [[nodiscard]] bool flag(std::string_view field);

    /// Calls `each` with the value and the path of every element of an array, which must have at least
    /// `minSize` elements.
    void list(std::string_view field, std::size_t minSize,
              const std::function<void(const boost::json::value &, const std::string &)> &each);

    /// Returns whether the object has a field, of any type.
    [[nodiscard]] bool has(std::string_view field) const;

    /// A reader for the nested object in a field.
    [[nodiscard]] JsonObjectReader object(std::string_view field);

    /// JSON path of a field, for errors that the caller adds itself.
    [[nodiscard]] std::string pathOf(std::string_view field) const;

    /// Adds an error for a field.
    void addError(std::string_view field, std::string_view message);

    /// Adds an error for each field of the object that was not read. Must be called last.
    void rejectUnknownFields();

private:
    [[nodiscard]] const boost::json::value *find(std::string_view field);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    ValidationErrors &m_errors;
    std::set<std::string, std::less<>> m_read;
};

/// Whether strings must be valid UTF-8.
enum class Utf8Check { Strict, Skipped };

/// Parses JSON text. Adds an error and returns null when it is malformed.
[[nodiscard]] boost::json::value parseJson(std::string_view text, ValidationErrors &errors,
                                           Utf8Check check = Utf8Check::Strict);

/// Parses the text of a JSON object member by member. Those that are malformed are left out, and the others
/// are kept. Adds an error for the first one, whose path begins with `path`. Text that is no object has an
/// error and no members.
[[nodiscard]] boost::json::object parseMembers(std::string_view text, std::string_view path,
                                               ValidationErrors &errors, Utf8Check check = Utf8Check::Strict);

} // namespace chestnutsill
