#pragma once

/** \file
 * Defines a validating reader of TOML tables for settings files and published configuration.
 */

#include <absl/status/statusor.h>
#include <toml++/toml.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::core {

/** Collects all errors of one document, so that a user sees them at once. */
class TomlErrors
{
public:
    explicit TomlErrors(std::string document) : m_document(std::move(document)) { }

    void add(std::string message) { m_messages.push_back(std::move(message)); }
    bool empty() const { return m_messages.empty(); }
    const std::string &document() const { return m_document; }
    /** An InvalidArgument status that lists all messages, or OK. */
    absl::Status status() const;

private:
    std::string m_document;
    std::vector<std::string> m_messages;
};

/** Default value and inclusive bounds of a numeric setting. */
template <typename T> struct Bounds
{
    T fallback;
    T lowest;
    T highest;
};

/** One TOML table whose values are read with type and range checks.
 *
 * An error names the document, the key, the value found and the values allowed. The reading
 * function then returns a substitute, such as the default or an empty value.
 *
 * \code
 * TomlErrors errors("entry1.toml");
 * auto table = TomlTable::parse(text, errors);
 * const auto port = table->integer<uint16_t>("port", {8080, 1, 65535});
 * table->rejectUnknownKeys();
 * return errors.status();
 * \endcode
 */
class TomlTable
{
public:
    /** Parses a document. \a errors must outlive the table. */
    static absl::StatusOr<TomlTable> parse(const std::string &text, TomlErrors &errors);
    /** Reads and parses a file. \return NotFound if it cannot be read. */
    static absl::StatusOr<TomlTable> load(const std::string &path, TomlErrors &errors);

    bool has(std::string_view key) const { return m_table->contains(key); }
    std::string requiredString(std::string_view key);
    std::string string(std::string_view key, std::string_view fallback);
    std::string choice(std::string_view key, std::initializer_list<std::string_view> allowed);
    std::vector<std::string> strings(std::string_view key);
    bool boolean(std::string_view key, bool fallback);
    double number(std::string_view key, Bounds<double> bounds);
    std::chrono::milliseconds milliseconds(std::string_view key, Bounds<int64_t> bounds);
    /** Reads an IP address and port, such as "127.0.0.1:8080". */
    std::string socketAddress(std::string_view key, bool required = true);
    /** Reads an array of IP addresses with ports; an absent key is an empty array. */
    std::vector<std::string> socketAddresses(std::string_view key);

    template <typename T> T integer(std::string_view key, Bounds<T> bounds)
    {
        return static_cast<T>(boundedInteger(key,
                                             {static_cast<int64_t>(bounds.fallback),
                                              static_cast<int64_t>(bounds.lowest),
                                              static_cast<int64_t>(bounds.highest)}));
    }

    /** Calls \a visit for each table of an array of tables. */
    void forEachTable(std::string_view key, const std::function<void(TomlTable &)> &visit);
    /** Adds an error for each key that no function of this table has read. */
    void rejectUnknownKeys();

private:
    TomlTable(std::shared_ptr<toml::table> table, TomlErrors &errors, std::string path);

    const toml::node *find(std::string_view key);
    int64_t boundedInteger(std::string_view key, Bounds<int64_t> bounds);
    void addError(std::string_view key, const toml::node *node, std::string_view allowed);

    std::shared_ptr<toml::table> m_table;
    TomlErrors *m_errors;
    std::string m_path;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace jujube::core
