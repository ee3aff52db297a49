#pragma once

/** \file
 * Defines the client of the platform's key-value store.
 */

#include "http/client.h"
#include "serving/storetypes.h"

#include <functional>
#include <string>
#include <vector>

namespace jujube::serving {

/** Sends calls to the store. Each callback is called once; after Unknown, DeadlineExceeded or
 * Cancelled a change may have been made, or may be made later.
 *
 * Tracks the era of the store. Listeners are called for a new era before the answer that states it
 * is used. An answer of an earlier era fails with Cancelled. So does the answer to a watch, commit
 * or lease call that was sent in an earlier era, as its conditions may have matched other items.
 */
class StoreClient
{
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    StoreClient(http::Client &httpClient, std::string address);

    void get(const std::string &key, Callback<StoreItem> done);
    void list(const std::string &prefix, const std::string &afterKey, Callback<StorePage> done);
    void watch(const std::string &prefix, uint64_t afterRevision, core::Milliseconds wait,
               Callback<StorePage> done);
    void commit(const StoreCommit &commit, Callback<StoreVersion> done);
    void grantLease(core::Milliseconds lifetime, Callback<uint64_t> done);
    void renewLease(uint64_t lease, std::function<void(absl::Status)> done);

    /** The latest observed era; 0: none. */
    uint64_t era() const { return m_era; }
    /** Records an era that an answer or a peer states. */
    void observeEra(uint64_t era);
    /** Adds a listener for new eras, including the first observed one. */
    void onEra(std::function<void(uint64_t era)> listener);

private:
    /** Whether an answer is valid only in the era in which its call was sent. */
    enum class EraCheck { AnyEra, SameEra };

    /** Returns a handler that checks the era of an answer, decodes it and calls \a done. */
    template <typename T, typename Decode>
    std::function<void(http::CallResult)> responseHandler(Callback<T> done, EraCheck eraCheck,
                                                          Decode decode);
    /** Returns the era of an answer, or Cancelled if it is an earlier one. */
    absl::StatusOr<uint64_t> checkEra(const http::Head &head);

    http::Client &m_httpClient;
    std::string m_address;
    std::vector<std::function<void(uint64_t)>> m_eraListeners;
    uint64_t m_era = 0;
};

} // namespace jujube::serving
