#include "chestnutsill/config/jsonobjectreader.h"

#include "chestnutsill/config/address.h"
#include "chestnutsill/config/jsonparts.h"
#include "chestnutsill/policy/requestid.h"

#include <utility>

namespace chestnutsill {

namespace json = boost::json;

JsonObjectReader::JsonObjectReader(const json::value &value, std::string path, ValidationErrors &errors)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (m_object == nullptr)
        m_errors.push_back({m_path.empty() ? "$" : m_path, "must be an object"});
}

std::string JsonObjectReader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : m_path + '.' + std::string(field);
}

void JsonObjectReader::addError(std::string_view field, std::string_view message)
{
    m_errors.push_back({pathOf(field), std::string(message)});
}

const json::value *JsonObjectReader::find(std::string_view field)
{
    if (m_object == nullptr)
        return nullptr;
    m_read.emplace(field);
    return m_object->if_contains(field);
}

std::string JsonObjectReader::text(std::string_view field)
{
    const json::value *value = find(field);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        addError(field, value == nullptr ? "is missing" : "must be a non-empty string");
        return {};
    }
    const auto &string = value->get_string();
    return {string.data(), string.size()};
}

std::optional<std::string> JsonObjectReader::possiblyEmptyText(std::string_view field)
{
    const json::value *value = find(field);
    if (value == nullptr || !value->is_string()) {
        addError(field, value == nullptr ? "is missing" : "must be a string");
        return std::nullopt;
    }
    const auto &string = value->get_string();
    return std::string(string.data(), string.size());
}

std::string JsonObjectReader::address(std::string_view field)
{
    std::string value = text(field);
    if (!value.empty() && !isAddress(value))
        addError(field, "must be an IP address and a port");
    return value;
}

std::string JsonObjectReader::name(std::string_view field)
{
    std::string value = text(field);
    if (!value.empty() && !isValidName(value))
        addError(field, "must be 1 to 64 letters, digits, hyphens or underscores");
    return value;
}

std::int64_t JsonObjectReader::integer(std::string_view field, std::int64_t min, std::int64_t max)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        addError(field, "is missing");
        return min;
    }
    json::error_code error;
    const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : min - 1;
    if (error || number < min || number > max) {
        addError(field, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return number;
}

double JsonObjectReader::number(std::string_view field, double min, double max)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        addError(field, "is missing");
        return min;
    }
    const double number = value->is_number() ? value->to_number<double>() : min - 1;
    if (!(number >= min && number <= max)) {
        addError(field, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return number;
}

std::chrono::milliseconds JsonObjectReader::inMilliseconds(std::string_view field,
                                                           std::chrono::milliseconds max)
{
    return std::chrono::milliseconds(integer(field, 0, max.count()));
}

std::chrono::milliseconds JsonObjectReader::inSeconds(std::string_view field, std::chrono::milliseconds max)
{
    using Seconds = std::chrono::duration<double>;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Seconds(number(field, 0, Seconds(max).count())));
}

bool JsonObjectReader::flag(std::string_view field)
{
    const json::value *value = find(field);
    if (value == nullptr)
        return false;
    if (!value->is_bool()) {
        addError(field, "must be true or false");
        return false;
    }
    return value->get_bool();
}

void JsonObjectReader::list(std::string_view field, std::size_t minSize,
                            const std::function<void(const json::value &, const std::string &)> &each)
{
    const json::value *value = find(field);
    if (value == nullptr || !value->is_array()) {
        addError(field, value == nullptr ? "is missing" : "must be an array");
        return;
    }
    const json::array &array = value->get_array();
    if (array.size() < minSize)
        addError(field, "needs at least " + std::to_string(minSize) + " entries");
    for (std::size_t i = 0; i < array.size(); ++i)
        each(array[i], pathOf(field) + '[' + std::to_string(i) + ']');
}

bool JsonObjectReader::has(std::string_view field) const
{
    return m_object != nullptr && m_object->contains(field);
}

JsonObjectReader JsonObjectReader::object(std::string_view field)
{
    static const json::value missing;
    const json::value *value = find(field);
    return {value != nullptr ? *value : missing, pathOf(field), m_errors};
}

void JsonObjectReader::rejectUnknownFields()
{
    if (m_object == nullptr)
        return;
    for (const auto &member : *m_object) {
        const std::string key(member.key());
        if (!m_read.contains(key))
            addError(key, "is not a known field");
    }
}

json::value parseJson(std::string_view text, ValidationErrors &errors, Utf8Check check)
{
    json::error_code error;
    json::parse_options options;
    options.allow_invalid_utf8 = check == Utf8Check::Skipped;
    json::value value = json::parse({text.data(), text.size()}, error, {}, options);
    if (error) {
        errors.push_back({"$", "is not valid JSON: " + error.message()});
        return nullptr;
    }
    return value;
}

json::object parseMembers(std::string_view text, std::string_view path, ValidationErrors &errors,
                          Utf8Check check)
{
    json::object members;
    bool hasError = false;
    const bool isComplete = splitJsonObject(text, [&](std::string_view name, std::string_view member) {
        ValidationErrors memberErrors;
        json::value value = parseJson(member, memberErrors, check);
        if (memberErrors.empty())
            members.insert_or_assign({name.data(), name.size()}, std::move(value));
        else if (!std::exchange(hasError, true))
            errors.push_back({std::string(path) + '.' + std::string(name), memberErrors[0].message});
    });
    if (!isComplete) {
        errors.push_back({std::string(path), "must be an object"});
        members.clear();
    }
    return members;
}

} // namespace chestnutsill
