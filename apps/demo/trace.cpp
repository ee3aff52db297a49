#include "demo/trace.h"

#include "core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <fstream>

namespace jujube::demo {

namespace {

constexpr size_t Columns = 7;
constexpr size_t BytesPerToken = 4;
// The end of a prompt that differs between the requests on one document.
constexpr uint32_t UniqueSuffixTokens = 24;

// Generates text that is the same for each request on a document and differs between documents.
std::string documentText(uint32_t document, size_t bytes)
{
    std::string text;
    text.reserve(bytes + 32);
    uint32_t line = 0;
    while (text.size() < bytes)
        core::append(text, "d", document, " l", line++, " bearing 62", document % 90 + 10, "-",
                     line, "; ");
    text.resize(bytes);
    return text;
}

absl::StatusOr<RequestKind> parseKind(const std::string &text)
{
    if (text == "completion")
        return RequestKind::Completion;
    if (text == "chat")
        return RequestKind::Chat;
    if (text == "service")
        return RequestKind::Service;
    return absl::InvalidArgumentError(
        core::concat("kind is '", text, "'; allowed: completion, chat, service"));
}

absl::StatusOr<TraceRow> parseRow(const std::string &line)
{
    const std::vector<std::string> columns = absl::StrSplit(line, ',');
    if (columns.size() != Columns)
        return absl::InvalidArgumentError(core::concat("expected ", Columns, " columns"));
    const auto kind = parseKind(columns[2]);
    if (!kind.ok())
        return kind.status();
    TraceRow row;
    uint32_t atMs = 0;
    const bool numbers = absl::SimpleAtoi(columns[0], &atMs)
        && absl::SimpleAtoi(columns[4], &row.promptTokens)
        && absl::SimpleAtoi(columns[5], &row.outputTokens)
        && absl::SimpleAtoi(columns[6], &row.document);
    if (!numbers)
        return absl::InvalidArgumentError("a number is malformed");
    row.at = core::Milliseconds(atMs);
    row.team = columns[1];
    row.kind = *kind;
    row.target = columns[3];
    return row;
}

} // namespace

bool TraceRow::changesState() const
{
    return kind == RequestKind::Service && !target.starts_with("GET ");
}

absl::StatusOr<std::vector<TraceRow>> loadTrace(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(core::concat(path, ": cannot be read"));
    std::vector<TraceRow> rows;
    std::string line;
    int number = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty() || line.starts_with("#") || line.starts_with("at_ms"))
            continue;
        const auto row = parseRow(line);
        if (!row.ok())
            return absl::InvalidArgumentError(
                core::concat(path, ": line ", number, ": ", core::toStd(row.status().message())));
        rows.push_back(*row);
    }
    return rows;
}

std::string promptOf(const TraceRow &row, uint64_t number)
{
    const uint32_t shared =
        row.promptTokens > UniqueSuffixTokens ? row.promptTokens - UniqueSuffixTokens : 0;
    std::string prompt = documentText(row.document, shared * BytesPerToken);
    core::append(prompt, "question ", number, ": ");
    prompt.resize(std::max<size_t>(row.promptTokens, 8) * BytesPerToken, '.');
    return prompt;
}

} // namespace jujube::demo
