#include "core/tomltable.h"
#include "core/text.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <fstream>
#include <QHostAddress>
#include <QString>
#include <sstream>

namespace jujube::core {

namespace {

std::string valueText(const toml::node *node)
{
    if (!node)
        return "nothing";
    std::ostringstream out;
    node->visit([&out](const auto &it) { out << it; });
    return out.str();
}

bool isSocketAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    bool ok = false;
    const uint port = QString::fromStdString(text.substr(colon + 1)).toUInt(&ok);
    const QHostAddress address(QString::fromStdString(text.substr(0, colon)));
    return ok && port > 0 && port < 65'536 && !address.isNull();
}

} // namespace

absl::Status TomlErrors::status() const
{
    if (m_messages.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(concat(m_document, ": ", absl::StrJoin(m_messages, "; ")));
}

TomlTable::TomlTable(std::shared_ptr<toml::table> table, TomlErrors &errors, std::string path)
    : m_table(std::move(table)), m_errors(&errors), m_path(std::move(path))
{
}

absl::StatusOr<TomlTable> TomlTable::parse(const std::string &text, TomlErrors &errors)
{
    try {
        auto table = std::make_shared<toml::table>(toml::parse(text));
        return TomlTable(std::move(table), errors, {});
    } catch (const toml::parse_error &ex) {
        return absl::InvalidArgumentError(concat(errors.document(), ": line ",
                                                 ex.source().begin.line, ": ",
                                                 std::string(ex.description())));
    }
}

absl::StatusOr<TomlTable> TomlTable::load(const std::string &path, TomlErrors &errors)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(concat(path, ": cannot be read"));
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), errors);
}

const toml::node *TomlTable::find(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table->get(key);
}

void TomlTable::addError(std::string_view key, const toml::node *node, std::string_view allowed)
{
    m_errors->add(concat(m_path, key, " is ", valueText(node), "; allowed: ", allowed));
}

std::string TomlTable::requiredString(std::string_view key)
{
    const toml::node *node = find(key);
    const auto value = node ? node->value_exact<std::string>() : std::nullopt;
    if (!value || value->empty()) {
        addError(key, node, "a non-empty string");
        return {};
    }
    return *value;
}

std::string TomlTable::string(std::string_view key, std::string_view fallback)
{
    const toml::node *node = find(key);
    if (!node)
        return std::string(fallback);
    const auto value = node->value_exact<std::string>();
    if (!value)
        addError(key, node, "a string");
    return value.value_or(std::string(fallback));
}

std::string TomlTable::choice(std::string_view key, std::initializer_list<std::string_view> allowed)
{
    const toml::node *node = find(key);
    const auto value = node ? node->value_exact<std::string>() : std::nullopt;
    if (value && std::find(allowed.begin(), allowed.end(), *value) != allowed.end())
        return *value;
    addError(key, node,
             concat("one of ",
                    absl::StrJoin(std::vector<std::string>(allowed.begin(), allowed.end()), ", ")));
    return std::string(*allowed.begin());
}

std::vector<std::string> TomlTable::strings(std::string_view key)
{
    std::vector<std::string> result;
    const toml::node *node = find(key);
    if (!node)
        return result;
    const toml::array *array = node->as_array();
    if (!array) {
        addError(key, node, "an array of strings");
        return result;
    }
    for (const toml::node &it : *array) {
        const auto value = it.value_exact<std::string>();
        if (value)
            result.push_back(*value);
        else
            addError(key, &it, "a string in the array");
    }
    return result;
}

bool TomlTable::boolean(std::string_view key, bool fallback)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        addError(key, node, "true or false");
    return value.value_or(fallback);
}

double TomlTable::number(std::string_view key, Bounds<double> bounds)
{
    const toml::node *node = find(key);
    if (!node)
        return bounds.fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= bounds.lowest && *value <= bounds.highest)
        return *value;
    addError(key, node, concat("a number from ", bounds.lowest, " to ", bounds.highest));
    return bounds.fallback;
}

int64_t TomlTable::boundedInteger(std::string_view key, Bounds<int64_t> bounds)
{
    const toml::node *node = find(key);
    if (!node)
        return bounds.fallback;
    const auto value = node->value_exact<int64_t>();
    if (value && *value >= bounds.lowest && *value <= bounds.highest)
        return *value;
    addError(key, node, concat("an integer from ", bounds.lowest, " to ", bounds.highest));
    return bounds.fallback;
}

std::chrono::milliseconds TomlTable::milliseconds(std::string_view key, Bounds<int64_t> bounds)
{
    return std::chrono::milliseconds(boundedInteger(key, bounds));
}

std::string TomlTable::socketAddress(std::string_view key, bool required)
{
    const toml::node *node = find(key);
    if (!node && !required)
        return {};
    const auto value = node ? node->value_exact<std::string>() : std::nullopt;
    if (value && isSocketAddress(*value))
        return *value;
    addError(key, node, "an IP address and port, such as 127.0.0.1:8080");
    return {};
}

std::vector<std::string> TomlTable::socketAddresses(std::string_view key)
{
    std::vector<std::string> result;
    for (std::string &it : strings(key)) {
        if (isSocketAddress(it))
            result.push_back(std::move(it));
        else
            m_errors->add(concat(m_path, key, " holds '", it,
                                 "'; allowed: an IP address and port, such as 127.0.0.1:8080"));
    }
    return result;
}

void TomlTable::forEachTable(std::string_view key, const std::function<void(TomlTable &)> &visit)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const toml::array *array = node->as_array();
    if (!array) {
        addError(key, node, concat("an array of tables, written [[", key, "]]"));
        return;
    }
    size_t index = 0;
    for (const toml::node &it : *array) {
        const std::string path = concat(m_path, key, "[", index++, "].");
        if (!it.is_table()) {
            addError(key, &it, "a table");
            continue;
        }
        TomlTable child(std::make_shared<toml::table>(*it.as_table()), *m_errors, path);
        visit(child);
    }
}

void TomlTable::rejectUnknownKeys()
{
    for (const auto &[key, node] : *m_table) {
        if (!m_readKeys.contains(key.str()))
            addError(key.str(), &node, "no such setting; check its spelling");
    }
}

} // namespace jujube::core
