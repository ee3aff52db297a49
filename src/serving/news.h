#pragma once

/** \file
 * Defines what gateways tell each other, and its form on the wire.
 */

#include "serving/endpoints.h"
#include "serving/storetypes.h"
#include "serving/tokenrates.h"
#include "serving/usagecounts.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace jujube::serving {

struct NewsWindow
{
    uint64_t run = 0;
    uint64_t window = 0;
    TeamCounts counts;
};

/** A shared part of a prompt that the sender has sent to an endpoint. */
struct NewsPart
{
    uint64_t endpoint = 0;
    policy::PrefixBlock link;
};

/** What a message is for. */
enum class NewsKind {
    Whole,  ///< Everything, to every peer.
    Load,   ///< A gateway's load, to the hub.
    Summary ///< The load of all other gateways, from the hub.
};

struct News
{
    NewsKind kind = NewsKind::Whole;
    std::string name;
    uint64_t run = 0; ///< Incarnation of the sender.
    uint64_t sequence = 0;
    uint64_t configVersion = 0;
    StoreVersion storeVersion;     ///< Of the sender's mirror.
    core::Milliseconds wallTime{}; ///< The sender's time of day as it sent this; 0: not told.
    double processorShare = 0;
    TokenRates rates;
    double readPace = 0;  ///< Prompt tokens a second that an engine reads; 0: not learnt yet.
    bool watches = false; ///< The sender watches the store, which answers it.
    std::vector<NewsShare> shares;
    std::vector<NewsWindow> windows;
    std::vector<NewsPart> parts;
};

std::string encodeNews(const News &news);
absl::StatusOr<News> decodeNews(std::string_view bytes);
/** The mirrored part of the store, for a gateway that cannot reach the store itself. */
std::string encodeState(const StorePage &state);
absl::StatusOr<StorePage> decodeState(std::string_view bytes);

} // namespace jujube::serving
