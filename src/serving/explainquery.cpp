#include "serving/explainquery.h"

#include <QUrl>

#include <set>

namespace jujube::serving {

namespace {

struct Parameter
{
    std::string_view name;
    std::string ExplainQuery::*value;
};

constexpr std::string_view FormatParameter = "format";
constexpr std::string_view JsonFormat = "json";
constexpr Parameter Parameters[] = {
    {"host", &ExplainQuery::host}, {"path", &ExplainQuery::path},
    {"key", &ExplainQuery::key},   {"tokens", &ExplainQuery::tokens},
    {"hint", &ExplainQuery::hint}, {"prefix", &ExplainQuery::prefix}};

std::string percentEncoded(const std::string &text)
{
    return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

std::string percentDecoded(std::string_view text)
{
    const QByteArray bytes(text.data(), static_cast<qsizetype>(text.size()));
    return QByteArray::fromPercentEncoding(bytes).toStdString();
}

absl::Status setParameter(ExplainQuery &query, std::string_view name, std::string value)
{
    if (name == FormatParameter) {
        query.json = value == JsonFormat;
        return query.json || value == "text"
            ? absl::OkStatus()
            : absl::InvalidArgumentError("format must be json or text");
    }
    for (const Parameter &it : Parameters) {
        if (it.name != name)
            continue;
        query.*it.value = std::move(value);
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError("unknown parameter " + std::string(name));
}

} // namespace

std::string encodeExplainTarget(const ExplainQuery &query)
{
    std::string target(ExplainPath);
    char separator = '?';
    for (const Parameter &it : Parameters) {
        const std::string &value = query.*it.value;
        if (value.empty())
            continue;
        target += std::exchange(separator, '&');
        target += std::string(it.name) + "=" + percentEncoded(value);
    }
    if (query.json)
        target += separator + std::string(FormatParameter) + "=" + std::string(JsonFormat);
    return target;
}

absl::StatusOr<ExplainQuery> decodeExplainTarget(std::string_view target)
{
    ExplainQuery query;
    std::set<std::string> given;
    const size_t begin = target.find('?');
    std::string_view rest = begin == target.npos ? std::string_view() : target.substr(begin + 1);
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(item.size() + 1, rest.size()));
        const size_t equals = std::min(item.find('='), item.size());
        const std::string name(item.substr(0, equals));
        if (!given.insert(name).second)
            return absl::InvalidArgumentError("parameter " + name + " is given twice");
        const absl::Status status = setParameter(
            query, name, percentDecoded(item.substr(std::min(equals + 1, item.size()))));
        if (!status.ok())
            return status;
    }
    return query;
}

} // namespace jujube::serving
