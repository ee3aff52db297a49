#pragma once

/** \file
 * Defines the client of the platform's key-value service (KV).
 */

#include "wire/httpclient.h"
#include "wire/json.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace jujube::state {

/** A key's value. Revision 0 means that the key does not exist. */
struct KvEntry
{
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool deleted = false; ///< In a watch result: the key was removed at this revision.
};

/** Entries under a prefix and the KV's revision when they were read. */
struct KvListing
{
    std::vector<KvEntry> entries;
    uint64_t revision = 0;
};

/** The write lost a race: the key's revision is not the expected one. */
bool isConflict(const absl::Status &status);
/** The service gave no answer: a write may or may not have taken effect. */
bool isOutcomeUnknown(const absl::Status &status);

/** Calls the KV over HTTP. Each call counts against the service's rate, a waiting watch as one.
 *
 * Errors of this layer: Aborted for a lost race, Unavailable for no answer, NotFound for a lapsed
 * lease, InvalidArgument for what the service rejects.
 */
class KvClient
{
public:
    KvClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout);

    wire::Task<absl::StatusOr<KvEntry>> get(std::string key);
    wire::Task<absl::StatusOr<KvListing>> list(std::string prefix);
    /** Writes if the key still has the expected revision; 0 expects no such key.
     *
     * \param lease when not empty, the key vanishes with this lease.
     * \return the new revision.
     */
    wire::Task<absl::StatusOr<uint64_t>> compareAndSwap(std::string key, uint64_t expected,
                                                        std::string value, std::string lease = {});
    wire::Task<absl::Status> remove(std::string key, uint64_t expected);
    /** Waits until something under the prefix changes after \a revision, or for \a wait. */
    wire::Task<absl::StatusOr<KvListing>> watch(std::string prefix, uint64_t revision,
                                                core::Milliseconds wait);

    wire::Task<absl::StatusOr<std::string>> grantLease(core::Milliseconds ttl);
    wire::Task<absl::Status> renewLease(std::string lease);
    wire::Task<absl::Status> revokeLease(std::string lease);

    /** Reads, changes and writes a key until the write is confirmed.
     *
     * A write whose answer was lost is found by reading back: every value written is unique, as
     * its writer's incarnation and a counter are part of it.
     *
     * \param change gets the current entry and returns the new value, or a status to give up.
     */
    using Change = std::function<absl::StatusOr<std::string>(const KvEntry &)>;
    wire::Task<absl::StatusOr<KvEntry>> update(std::string key, Change change);

    /** Calls made so far, for the budget of calls. */
    uint64_t callCount() const { return m_calls; }
    const std::string &address() const { return m_address; }

private:
    wire::Task<absl::StatusOr<QJsonObject>> call(std::string method, std::string path,
                                                 std::string body, core::Milliseconds timeout);

    wire::HttpClient &m_http;
    std::string m_address;
    core::Milliseconds m_timeout;
    uint64_t m_calls = 0;
};

} // namespace jujube::state
