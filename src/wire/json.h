#pragma once

/** \file
 * Defines short helpers over Qt's JSON classes for UTF-8 std::string data.
 */

#include <absl/status/statusor.h>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <string>
#include <string_view>

namespace jujube::wire {

/** Parses a JSON object; the error names the position. */
absl::StatusOr<QJsonObject> parseObject(std::string_view text);

/** Compact JSON text. */
std::string toJsonText(const QJsonObject &object);

inline QString qstring(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

/** A string member, or an empty string. */
std::string stringMember(const QJsonObject &object, const char *key);

/** An unsigned member; values above 2^53 are sent as decimal strings and read the same way. */
uint64_t uintMember(const QJsonObject &object, const char *key);

/** An unsigned number as a JSON value that loses no digits. */
QJsonValue jsonNumber(uint64_t value);

} // namespace jujube::wire
