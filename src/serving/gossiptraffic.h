#pragma once

/** \file
 * Defines the accounting of the datagrams that a gateway sends to its peers.
 */

#include "core/clock.h"
#include "serving/gossip.h"

#include <array>

namespace jujube::serving {

/** Counts the bytes sent to peers by kind of message, as the counter `jujube_gossip_bytes_total`
 * and in one log line per interval. */
class GossipTraffic
{
public:
    static constexpr core::Milliseconds LogInterval{2'000};

    /** Counts one datagram. */
    void noteSent(GossipKind kind, size_t bytes);
    /** Counts a datagram that the kernel refused, such as one that exceeds the size limit. */
    void noteRefused() { ++m_refused; }
    /** Logs the bytes since the last line once an interval has passed.
     * \param departedWindows usage windows of departed gateways that this gateway relays.
     * \param linkBytesPerSecond capacity of the VM's link; 0: not stated. */
    void logIfDue(core::TimePoint now, size_t departedWindows, double linkBytesPerSecond);

private:
    struct Sum
    {
        size_t bytes = 0;
        size_t largest = 0;
    };

    std::array<Sum, 4> m_sums; ///< By kind of message.
    size_t m_refused = 0;
    core::TimePoint m_loggedAt{};
};

} // namespace jujube::serving
