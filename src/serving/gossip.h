#pragma once

/** \file
 * Defines the gossip messages between gateways and their encoding.
 */

#include "policy/blockquarantine.h"
#include "policy/quotaledger.h"
#include "policy/teamshares.h"
#include "serving/endpoints.h"
#include "serving/storetypes.h"
#include "serving/tokenrates.h"
#include "serving/usagecounts.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace jujube::serving {

/** Usage counts of one gateway incarnation in one usage window. */
struct GossipUsageWindow
{
    uint64_t run = 0;
    uint64_t window = 0;
    TeamCounts counts;
};

/** A prefix block of a prompt that the sender has sent to an endpoint. */
struct GossipPrefixBlock
{
    uint64_t endpoint = 0; ///< Hash of the endpoint's id.
    policy::PrefixLink link;
};

/** The limit that an endpoint named in an answer. */
struct GossipLimit
{
    uint64_t endpoint = 0;           ///< Hash of the endpoint's id.
    std::optional<double> perSecond; ///< Nothing: the answer named none.
    core::Milliseconds age{};
};

/** Evidence of the sender on the speed of an engine. */
struct GossipEngineSpeed
{
    uint64_t endpoint = 0; ///< Hash of the endpoint's id.
    policy::SpeedEvidence evidence;
};

/** Engine time that the sender gave to a team of a service lately. */
struct GossipTeamUse
{
    uint64_t service = 0; ///< Hash of the service's name.
    policy::TeamUse use;
};

/** Purpose of a message. */
enum class GossipKind {
    Full,    ///< The full state of a gateway, sent to every peer.
    Load,    ///< The load of a gateway, sent to the hub.
    Summary, ///< The load of all other gateways, sent by the hub.
    Counts   ///< Usage counts of departed gateways, sent by their relays.
};

/** State that a gateway sends to its peers in one datagram. */
struct GossipMessage
{
    GossipKind kind = GossipKind::Full;
    std::string name;
    uint64_t run = 0; ///< Incarnation of the sender.
    uint64_t sequence = 0;
    uint64_t configVersion = 0;
    StoreVersion storeVersion;     ///< Version of the sender's store mirror.
    core::Milliseconds wallTime{}; ///< The sender's time of day at sending; 0: not stated.
    double processorShare = 0;     ///< Cores that the sender may use.
    TokenRates rates;
    double prefillTokensPerSecond = 0; ///< Tokens per second of one engine; 0: not measured yet.
    bool watchesStore = false;         ///< The sender watches the store, and the store responds.
    std::vector<GossipLoadShare> shares;
    std::vector<GossipUsageWindow> windows;
    std::vector<GossipPrefixBlock> prefixBlocks;
    std::vector<GossipLimit> limits;
    std::vector<GossipEngineSpeed> engineSpeeds; ///< In full messages, about once per second.
    std::vector<GossipTeamUse> teamUse;          ///< The largest ones; sent as engineSpeeds.
    double requestsPerSecond = 0;                ///< Requests of clients that the sender receives.
    policy::BlockReport blocks;                  ///< Blocks that are suspected of crashing engines.
    std::vector<policy::QuotaCount> quotaCounts; ///< Tokens charged to teams by the sender.
    /** In summaries and for peers that have just started. */
    std::vector<policy::QuotaLevel> quotaLevels;
    std::vector<uint64_t> heardPeers; ///< Hashes of the names of connected peers; without a hub.
};

/** Limit of an unpacked state. */
inline constexpr size_t MaxStateBytes = 16UL << 20U;

/** Serializes a message into one datagram. */
std::string encodeGossip(const GossipMessage &gossip);
/** \return InvalidArgument if the bytes are not a valid message. */
absl::StatusOr<GossipMessage> decodeGossip(std::string_view bytes);
/** Serializes mirrored store state for a gateway that does not watch or cannot reach the store. */
std::string encodeState(const StorePage &state);
/** \return InvalidArgument if the bytes are not a valid state. */
absl::StatusOr<StorePage> decodeState(std::string_view bytes);

} // namespace jujube::serving
