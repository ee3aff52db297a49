#include "entry/completionrequest.h"

#include "core/text.h"
#include "wire/json.h"

#include <algorithm>

namespace jujube::entry {

namespace {

constexpr uint32_t DefaultMaxTokens = 256;

absl::Status invalidField(std::string_view field, std::string_view wanted)
{
    return absl::InvalidArgumentError(core::concat("field '", field, "' must be ", wanted));
}

absl::StatusOr<std::string> contentText(const QJsonValue &content, const std::string &field)
{
    if (content.isString())
        return content.toString().toStdString();
    if (!content.isArray())
        return invalidField(field, "a string or an array of text parts");
    std::string text;
    for (const auto &it : content.toArray()) {
        const QJsonObject part = it.toObject();
        if (!part["text"].isString())
            return invalidField(field, "an array of parts with a string 'text'");
        text += part["text"].toString().toStdString();
    }
    return text;
}

absl::StatusOr<std::string> promptFromMessages(const QJsonValue &messages)
{
    if (!messages.isArray() || messages.toArray().isEmpty())
        return invalidField("messages", "a non-empty array");
    std::string prompt;
    int index = 0;
    for (const auto &it : messages.toArray()) {
        const QJsonObject message = it.toObject();
        const std::string field = core::concat("messages[", index++, "]");
        if (!message["role"].isString())
            return invalidField(field + ".role", "a string");
        const auto content = contentText(message["content"], field + ".content");
        if (!content.ok())
            return content.status();
        core::append(prompt, message["role"].toString().toStdString(), ": ", *content, "\n");
    }
    return prompt;
}

absl::StatusOr<uint32_t> tokenLimit(const QJsonValue &value, std::string_view field)
{
    if (value.isUndefined() || value.isNull())
        return 0;
    const double number = value.toDouble(-1);
    if (!value.isDouble() || number < 1 || number != static_cast<uint32_t>(number))
        return invalidField(field, "a positive integer");
    return static_cast<uint32_t>(number);
}

QJsonObject usageObject(const core::Usage &usage)
{
    QJsonObject object;
    object["prompt_tokens"] = wire::jsonNumber(usage.promptTokens);
    object["completion_tokens"] = wire::jsonNumber(usage.outputTokens);
    object["total_tokens"] = wire::jsonNumber(usage.promptTokens + usage.outputTokens);
    QJsonObject details;
    details["cached_tokens"] = wire::jsonNumber(usage.cachedTokens);
    object["prompt_tokens_details"] = details;
    return object;
}

} // namespace

absl::StatusOr<CompletionRequest> CompletionRequest::parse(CompletionStyle style,
                                                           std::string_view body)
{
    const auto object = wire::parseObject(body);
    if (!object.ok())
        return object.status();
    CompletionRequest request;
    request.style = style;
    if (!object->value("model").isString())
        return invalidField("model", "a string that names a profile");
    request.profile = wire::stringMember(*object, "model");
    if (style == CompletionStyle::Text) {
        if (!object->value("prompt").isString())
            return invalidField("prompt", "a string");
        request.prompt = wire::stringMember(*object, "prompt");
    } else {
        auto prompt = promptFromMessages(object->value("messages"));
        if (!prompt.ok())
            return prompt.status();
        request.prompt = std::move(*prompt);
    }
    for (const char *field : {"max_tokens", "max_completion_tokens"}) {
        const auto limit = tokenLimit(object->value(QLatin1String(field)), field);
        if (!limit.ok())
            return limit.status();
        request.maxTokens = std::max(request.maxTokens, *limit);
    }
    const QJsonValue stream = object->value("stream");
    if (!stream.isUndefined() && !stream.isNull() && !stream.isBool())
        return invalidField("stream", "true or false");
    request.stream = stream.toBool(false);
    const QJsonValue count = object->value("n");
    if (!count.isUndefined() && !count.isNull() && count.toInt(-1) != 1)
        return invalidField("n", "1; one answer is given for each request");
    return request;
}

absl::Status CompletionRequest::applyProfile(const core::Profile &profile)
{
    if (maxTokens == 0)
        maxTokens = std::min(DefaultMaxTokens, profile.maxOutputTokens);
    if (maxTokens > profile.maxOutputTokens) {
        return absl::InvalidArgumentError(
            core::concat("field 'max_tokens' is ", maxTokens, "; profile '", profile.name,
                         "' allows at most ", profile.maxOutputTokens));
    }
    const uint32_t promptTokens = core::estimatedTokenCount(prompt);
    if (promptTokens > profile.maxPromptTokens) {
        return absl::InvalidArgumentError(
            core::concat("the prompt has ", promptTokens, " tokens; profile '", profile.name,
                         "' allows at most ", profile.maxPromptTokens));
    }
    return absl::OkStatus();
}

CompletionWriter::CompletionWriter(const CompletionRequest &request, std::string id)
    : m_style(request.style),
      m_id(std::move(id)),
      m_profile(request.profile),
      m_created(std::chrono::duration_cast<std::chrono::seconds>(core::wallTime()).count())
{
}

std::string CompletionWriter::completeResponse(const std::string &text,
                                               const core::Usage &usage) const
{
    QJsonObject choice;
    choice["index"] = 0;
    choice["finish_reason"] = "stop";
    if (m_style == CompletionStyle::Chat)
        choice["message"] = QJsonObject{{"role", "assistant"}, {"content", wire::qstring(text)}};
    else
        choice["text"] = wire::qstring(text);
    QJsonObject object;
    object["id"] = wire::qstring(m_id);
    object["object"] = m_style == CompletionStyle::Chat ? "chat.completion" : "text_completion";
    object["created"] = static_cast<qint64>(m_created);
    object["model"] = wire::qstring(m_profile);
    object["choices"] = QJsonArray{choice};
    object["usage"] = usageObject(usage);
    return wire::toJsonText(object);
}

QJsonObject CompletionWriter::chunkObject(const QJsonObject &choice) const
{
    QJsonObject object;
    object["id"] = wire::qstring(m_id);
    object["object"] =
        m_style == CompletionStyle::Chat ? "chat.completion.chunk" : "text_completion";
    object["created"] = static_cast<qint64>(m_created);
    object["model"] = wire::qstring(m_profile);
    object["choices"] = QJsonArray{choice};
    return object;
}

std::string CompletionWriter::pieceEvent(const std::string &text) const
{
    QJsonObject choice;
    choice["index"] = 0;
    choice["finish_reason"] = QJsonValue::Null;
    if (m_style == CompletionStyle::Chat)
        choice["delta"] = QJsonObject{{"content", wire::qstring(text)}};
    else
        choice["text"] = wire::qstring(text);
    return core::concat("data: ", wire::toJsonText(chunkObject(choice)), "\n\n");
}

std::string CompletionWriter::finalEvents(const core::Usage &usage) const
{
    QJsonObject choice;
    choice["index"] = 0;
    choice["finish_reason"] = "stop";
    if (m_style == CompletionStyle::Chat)
        choice["delta"] = QJsonObject{};
    else
        choice["text"] = "";
    QJsonObject object = chunkObject(choice);
    object["usage"] = usageObject(usage);
    return core::concat("data: ", wire::toJsonText(object), "\n\ndata: [DONE]\n\n");
}

} // namespace jujube::entry
