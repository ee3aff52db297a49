#pragma once

/** \file
 * Defines the client for the platform's key-value service (KV).
 */

#include "wire/httpclient.h"
#include "wire/json.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace jujube::state {

/** The value of one key. Revision 0 means that the key does not exist. */
struct KvEntry
{
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool deleted = false; ///< In a watch result: the key was deleted at this revision.
};

/** The entries under a prefix and the revision of the KV at which they were read. */
struct KvListing
{
    std::vector<KvEntry> entries;
    uint64_t revision = 0;
};

/** Whether a write failed because the key's revision is not the expected one. */
bool isConflict(const absl::Status &status);
/** Whether the outcome of a call is unknown: a write may or may not have taken effect. */
bool isOutcomeUnknown(const absl::Status &status);

/** Calls the KV over HTTP. Each call counts once against the service's rate limit, also a watch.
 *
 * Errors: Aborted (the revision is not the expected one), Unavailable (no response, an unreadable
 * one or an unexpected status), NotFound (the lease has expired), InvalidArgument (the service
 * rejected the request).
 */
class KvClient
{
public:
    KvClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout);

    wire::Task<absl::StatusOr<KvEntry>> get(std::string key);
    wire::Task<absl::StatusOr<KvListing>> list(std::string prefix);
    /** Writes a key if it has the expected revision; 0 expects that the key does not exist.
     *
     * \param lease if not empty, the key is deleted when this lease ends.
     * \return the new revision.
     */
    wire::Task<absl::StatusOr<uint64_t>> compareAndSwap(std::string key, uint64_t expected,
                                                        std::string value, std::string lease = {});
    /** Deletes a key if it has the expected revision. */
    wire::Task<absl::Status> remove(std::string key, uint64_t expected);
    /** Waits until a key under the prefix changes after \a revision, but no longer than \a wait. */
    wire::Task<absl::StatusOr<KvListing>> watch(std::string prefix, uint64_t revision,
                                                core::Milliseconds wait);

    wire::Task<absl::StatusOr<std::string>> grantLease(core::Milliseconds ttl);
    wire::Task<absl::Status> renewLease(std::string lease);
    wire::Task<absl::Status> revokeLease(std::string lease);

    /** Reads, changes and writes a key, with a limited number of retries after conflicts and
     * unknown outcomes.
     *
     * After an unknown outcome the key is read back: if it holds the value written, the write took
     * effect. So every value must be unique, for instance by its writer's incarnation and a
     * counter in it.
     *
     * \param change returns the new value for the current entry, or a status that ends the update.
     */
    using Change = std::function<absl::StatusOr<std::string>(const KvEntry &)>;
    wire::Task<absl::StatusOr<KvEntry>> update(std::string key, Change change);

    /** Number of calls made, to compare with the service's rate limit. */
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
