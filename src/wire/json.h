#pragma once

/** \file
 * Defines helper functions to use Qt's JSON classes with UTF-8 strings.
 */

#include <absl/status/statusor.h>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <string>
#include <string_view>

namespace jujube::wire {

/** Parses a JSON object. Errors: InvalidArgument with the byte offset. */
absl::StatusOr<QJsonObject> parseObject(std::string_view text);

/** Serializes an object without white space. */
std::string toJsonText(const QJsonObject &object);

inline QString qstring(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

/** Returns a string member, or an empty string if it is missing or of another type. */
std::string stringMember(const QJsonObject &object, const char *key);

/** Returns an unsigned integer member, or 0 if it is missing or of another type. Accepts numbers
 * and decimal strings, see jsonNumber(). */
uint64_t uintMember(const QJsonObject &object, const char *key);

/** Converts an unsigned integer to a JSON value without loss: values from 2^53, which
 * a double may round, become decimal strings. */
QJsonValue jsonNumber(uint64_t value);

} // namespace jujube::wire
