#include "jujubectl/timelinepicture.h"

#include "core/hybridclock.h"
#include "core/text.h"

#include <absl/strings/str_split.h>
#include <QString>

#include <algorithm>
#include <map>

namespace jujube::tools {

namespace {

constexpr int LaneHeight = 34;
constexpr int LabelWidth = 130;
constexpr int PictureWidth = 1600;
constexpr int MarkRadius = 4;

std::string fieldValue(const std::string &line, const std::string &key)
{
    const std::string wanted = key + "=";
    for (const absl::string_view field : absl::StrSplit(line, ' ')) {
        if (core::toStd(field).starts_with(wanted))
            return std::string(core::toStd(field).substr(wanted.size()));
    }
    return {};
}

std::string escapeHtml(const std::string &text)
{
    return QString::fromStdString(text).toHtmlEscaped().toStdString();
}

const char *colourOf(const std::string &name)
{
    if (name.starts_with("request.") || name.starts_with("work."))
        return "#7a9cc6";
    if (name.starts_with("controller.") || name.starts_with("role.") || name.starts_with("engine."))
        return "#c0392b";
    if (name.starts_with("usage."))
        return "#27ae60";
    if (name.starts_with("configuration.") || name.starts_with("endpoint."))
        return "#8e44ad";
    return "#e67e22";
}

} // namespace

TimelineEvent TimelineEvent::parse(const std::string &line)
{
    TimelineEvent event;
    event.line = line;
    event.hybridTime = std::strtoull(fieldValue(line, "t").c_str(), nullptr, 10);
    event.process = fieldValue(line, "process");
    event.name = fieldValue(line, "event");
    return event;
}

std::string renderTimelinePage(const std::vector<TimelineEvent> &events)
{
    std::map<std::string, int> lanes;
    for (const TimelineEvent &it : events)
        lanes.try_emplace(it.process, 0);
    int laneCount = 0;
    for (auto &[process, lane] : lanes)
        lane = laneCount++;
    const uint64_t firstMs =
        events.empty() ? 0 : core::HybridClock::physicalMs(events.front().hybridTime);
    const uint64_t lastMs =
        events.empty() ? 1 : core::HybridClock::physicalMs(events.back().hybridTime);
    const double spanMs = std::max<double>(1, static_cast<double>(lastMs - firstMs));

    std::string svg =
        core::concat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"",
                     LabelWidth + PictureWidth + 20, "\" height=\"", (laneCount + 1) * LaneHeight,
                     "\" font-family=\"sans-serif\" ", "font-size=\"12\">\n");
    for (const auto &[process, lane] : lanes) {
        const int y = lane * LaneHeight + LaneHeight / 2;
        core::append(svg, "<text x=\"4\" y=\"", y + 4, "\">", escapeHtml(process),
                     "</text><line x1=\"", LabelWidth, "\" y1=\"", y, "\" x2=\"",
                     LabelWidth + PictureWidth, "\" y2=\"", y, "\" stroke=\"#ddd\"/>\n");
    }
    for (const TimelineEvent &it : events) {
        const double offsetMs =
            static_cast<double>(core::HybridClock::physicalMs(it.hybridTime) - firstMs);
        const int x = LabelWidth + static_cast<int>(offsetMs / spanMs * PictureWidth);
        const int y = lanes[it.process] * LaneHeight + LaneHeight / 2;
        core::append(svg, "<circle cx=\"", x, "\" cy=\"", y, "\" r=\"", MarkRadius, "\" fill=\"",
                     colourOf(it.name), "\"><title>", escapeHtml(it.line), "</title></circle>\n");
    }
    core::append(svg, "<text x=\"", LabelWidth, "\" y=\"", laneCount * LaneHeight + 20,
                 "\">0 ms</text>", "<text x=\"", LabelWidth + PictureWidth - 60, "\" y=\"",
                 laneCount * LaneHeight + 20, "\">", lastMs - firstMs, " ms</text>\n</svg>\n");
    return core::concat(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>timeline</title>",
        "</head><body><p>Hover over a mark to read its event.</p>", svg, "</body></html>\n");
}

} // namespace jujube::tools
