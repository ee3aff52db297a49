#pragma once

/** \file
 * Defines how gateways share and keep the quarantine of prompt blocks that crash engines.
 */

#include "policy/blockquarantine.h"
#include "serving/fleetconfig.h"
#include "serving/requesttypes.h"
#include "serving/storeclient.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

/** Identifies one incarnation of an endpoint in reports to peers. */
uint64_t incarnationHash(const EndpointRecord &record);

/** Applies a BlockQuarantine to the requests of a gateway.
 *
 * Gossip makes a quarantine known to all gateways at once. The store keeps it for gateways that
 * start later, under a lease that ends with it.
 */
class QuarantineKeeper
{
public:
    static constexpr const char *Prefix = "jujube/quarantine/";

    /** \param name of this gateway. */
    QuarantineKeeper(StoreClient &store, std::string name);

    /** Returns the keys of the blocks of a prompt that other requests may share. */
    static std::vector<uint64_t> sharedBlocks(const std::string &service,
                                              const std::vector<PrefixBlock> &blocks);
    /** Records that a run ended with its endpoint, after its answer had begun and without an event.
     */
    void recordCrash(const std::vector<uint64_t> &blocks, const EndpointRecord &endpoint,
                     const std::string &requestId);
    /** Records that a run has sent an event, or an answer to its end. */
    void recordSuccess(const std::vector<uint64_t> &blocks);
    /** Returns for how long no request with these blocks is sent; nothing if it may be sent. */
    std::optional<core::Milliseconds> timeLeft(const std::vector<uint64_t> &blocks) const;
    /** Whether a request that was lost should not be sent to another endpoint. */
    bool suspects(const std::vector<uint64_t> &blocks) const;

    policy::BlockReport report() const { return m_quarantine.report(core::BootClock::now()); }
    void merge(const policy::BlockReport &report);
    /** Applies an item of the store under Prefix. */
    void onItem(const StoreItem &item);
    /** Decides, and writes or erases entries; to be called several times per second.
     * \param mayWrite whether the store answers and this gateway is not shutting down. */
    void tick(bool mayWrite);

private:
    void decide();
    void write(uint64_t block);

    StoreClient &m_store;
    std::string m_name;
    policy::BlockQuarantine m_quarantine;
    std::unordered_map<uint64_t, uint64_t> m_storedRevisions;  ///< By block.
    std::unordered_map<uint64_t, core::TimePoint> m_writeFrom; ///< By block.
    std::set<uint64_t> m_inProgress; ///< Blocks whose entry is being written or erased.
};

} // namespace jujube::serving
