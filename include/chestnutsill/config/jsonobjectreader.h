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

/// Reads typed fields from one JSON object and collects a fault for each that is missing, of the wrong type,
/// out of range or unknown. A field that can't be read yields a neutral value, so that reading goes on.
class JsonObjectReader
{
public:
    /// A reader for `value`, which should be an object. `path` names it in errors.
    JsonObjectReader(const boost::json::value &value, std::string path, ValidationErrors &errors);

    /// A text of at least one character.
    [[nodiscard]] std::string text(std::string_view field);

    /// A text that may be empty; nothing when it is none.
    [[nodiscard]] std::optional<std::string> possiblyEmptyText(std::string_view field);

    /// An IP address and a port.
    [[nodiscard]] std::string address(std::string_view field);

    /// A text that may stand in a request id or a log: letters, digits, hyphens, underscores.
    [[nodiscard]] std::string name(std::string_view field);

    /// A whole number in [min, max].
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t min, std::int64_t max);

    /// A number in [min, max].
    [[nodiscard]] double number(std::string_view field, double min, double max);

    /// A time that the document gives as a whole number of milliseconds, or as a number of seconds, from 0 to
    /// `longest`.
    [[nodiscard]] std::chrono::milliseconds inMilliseconds(std::string_view field,
                                                           std::chrono::milliseconds longest);
    [[nodiscard]] std::chrono::milliseconds inSeconds(std::string_view field,
                                                      std::chrono::milliseconds longest);

    /// A truth value; false when the field is absent.
    [[nodiscard]] bool flag(std::string_view field);

    /// Calls `each` with the value and path of each element of a list. Elements that must be present:
    /// `minSize`.
    void list(std::string_view field, std::size_t minSize,
              const std::function<void(const boost::json::value &, const std::string &)> &each);

    /// Whether the object has a field, whatever its type.
    [[nodiscard]] bool has(std::string_view field) const;

    /// A reader for the object in a field.
    [[nodiscard]] JsonObjectReader object(std::string_view field);

    /// Path of a field, for errors found by the caller.
    [[nodiscard]] std::string pathOf(std::string_view field) const;

    /// Records a fault of a field.
    void addError(std::string_view field, std::string_view message);

    /// Records a fault for each field that was not read. Call it last.
    void rejectUnknownFields();

private:
    [[nodiscard]] const boost::json::value *find(std::string_view field);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    ValidationErrors &m_errors;
    std::set<std::string, std::less<>> m_read;
};

/// Parses a JSON text. Records a fault and returns null when it is malformed.
[[nodiscard]] boost::json::value parseJson(std::string_view text, ValidationErrors &errors);

} // namespace chestnutsill
