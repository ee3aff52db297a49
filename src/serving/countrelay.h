#pragma once

/** \file
 * Defines how the usage counts of departed gateways are relayed to the live ones.
 */

#include "core/clock.h"
#include "serving/usagecounts.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujube::serving {

/** Identifies the counts of one incarnation of a gateway in one usage window. */
struct UsageWindowId
{
    uint64_t run = 0;
    uint64_t window = 0;

    auto operator<=>(const UsageWindowId &) const = default;
};

/** Selects which counts of departed gateways go to which peer next.
 *
 * The counts of a departed incarnation no longer change, so each peer receives them once from each
 * relay, and again after it has started or was silent. Peers that have started last come first: the
 * others have received most of the counts from the departed gateway itself.
 */
class CountRelay
{
public:
    /** Counts for one or several peers that lack the same ones. */
    struct Message
    {
        std::vector<UsageWindowId> windows;
        std::vector<std::string> peers;
    };

    /** Returns the number of teams in a window, 0 if its counts are gone. */
    using TeamCount = std::function<size_t(const UsageWindowId &)>;

    /** Starts again for a peer, as a new incarnation of it was heard, or it after a silence. */
    void restart(const std::string &peer);
    void removePeer(const std::string &peer) { m_peers.erase(peer); }
    /** Adds the windows of departed incarnations that are not known yet.
     * \param oldestWindow earlier windows are no longer relayed. */
    void update(const std::vector<UsageWindowId> &departed, uint64_t oldestWindow);
    /** Returns the next message; without peers if nothing is due. */
    Message next(const TeamCount &teamCount);
    /** Number of windows that are relayed. */
    size_t windowCount() const { return m_windows.size(); }

private:
    struct Peer
    {
        uint64_t position = 0;   ///< Of the next window to send.
        uint64_t startOrder = 0; ///< Grows with each start; the latest peer comes first.
    };

    std::map<std::string, Peer> m_peers;
    std::deque<UsageWindowId> m_windows;
    uint64_t m_firstPosition = 0; ///< Of the first element of m_windows.
    uint64_t m_startCount = 0;
};

} // namespace jujube::serving
