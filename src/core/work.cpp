#include "core/work.h"

namespace jujube::core {

namespace {

constexpr size_t BytesPerToken = 4;

} // namespace

std::string_view roleName(Role role)
{
    switch (role) {
    case Role::Mixed:
        return "mixed";
    case Role::Prefill:
        return "prefill";
    case Role::Decode:
        return "decode";
    }
    return "mixed";
}

Role roleFromName(std::string_view name)
{
    if (name == "prefill")
        return Role::Prefill;
    return name == "decode" ? Role::Decode : Role::Mixed;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Whole:
        return "whole";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    }
    return "unknown";
}

uint32_t estimatedTokenCount(std::string_view text)
{
    return static_cast<uint32_t>((text.size() + BytesPerToken - 1) / BytesPerToken);
}

} // namespace jujube::core
