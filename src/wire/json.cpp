#include "wire/json.h"
#include "core/text.h"

namespace jujube::wire {

namespace {

constexpr uint64_t LargestExactDouble = 1ULL << 53U;

} // namespace

absl::StatusOr<QJsonObject> parseObject(std::string_view text)
{
    QJsonParseError error;
    const QByteArray bytes(text.data(), static_cast<qsizetype>(text.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes, &error);
    if (error.error != QJsonParseError::NoError) {
        return absl::InvalidArgumentError(core::concat(
            "not JSON: ", error.errorString().toStdString(), " at byte ", error.offset));
    }
    if (!document.isObject())
        return absl::InvalidArgumentError("not a JSON object");
    return document.object();
}

std::string toJsonText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string stringMember(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

uint64_t uintMember(const QJsonObject &object, const char *key)
{
    const QJsonValue value = object.value(QLatin1String(key));
    if (value.isString())
        return value.toString().toULongLong();
    // Conversions of other doubles are undefined.
    constexpr double end = 18446744073709551616.0; // 2^64
    const double number = value.toDouble();
    return number >= 0 && number < end ? static_cast<uint64_t>(number) : 0;
}

QJsonValue jsonNumber(uint64_t value)
{
    if (value < LargestExactDouble)
        return static_cast<qint64>(value);
    return QString::number(value);
}

} // namespace jujube::wire
