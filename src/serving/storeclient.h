#pragma once

/** \file
 * Defines the client of the platform's store.
 */

#include "http/caller.h"
#include "serving/storetypes.h"

#include <functional>
#include <string>
#include <vector>

namespace jujube::serving {

/** Calls to the store. Each callback gets one result; Unknown, DeadlineExceeded or Cancelled: the
 * change may have been made, or may be made later.
 *
 * Follows the era of the store. Listeners hear of a new one before the answer that states it is
 * used. An answer of an earlier era is dropped, and so is one to a change or lease of an earlier
 * era, whose conditions may have matched something else (Cancelled).
 */
class StoreClient
{
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    StoreClient(http::Client &caller, std::string address);

    void get(const std::string &key, Callback<StoreItem> done);
    void list(const std::string &prefix, const std::string &afterKey, Callback<StorePage> done);
    void watch(const std::string &prefix, uint64_t afterRevision, core::Milliseconds wait,
               Callback<StorePage> done);
    void commit(const StoreCommit &commit, Callback<StoreVersion> done);
    void grantLease(core::Milliseconds lifetime, Callback<uint64_t> done);
    void renewLease(uint64_t lease, std::function<void(absl::Status)> done);

    /** The latest era heard of; 0: none. */
    uint64_t era() const { return m_era; }
    /** Notes an era that a peer knows of. */
    void learnEra(uint64_t era);
    /** Adds a listener for eras that begin, the first one heard of included. */
    void onEra(std::function<void(uint64_t era)> listener);

private:
    /** Whether an answer depends on what was true when its call was sent. */
    enum class Depends { Free, OnEra };

    template <typename T, typename Decode>
    std::function<void(http::CallResult)> decoding(Callback<T> done, Depends depends,
                                                   Decode decode);
    absl::StatusOr<uint64_t> admit(const http::Head &head);

    http::Client &m_caller;
    std::string m_address;
    std::vector<std::function<void(uint64_t)>> m_listeners;
    uint64_t m_era = 0;
};

} // namespace jujube::serving
